/** The permits for the slots of a pool, by replica, holder and request. */
import { EntityTable, InvariantName, checkInvariant } from '@fighub/core';

import type { OrganisationLimits } from './organisation-limits.js';
import type { Permit } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { PreemptibleStreams } from './preemptible-streams.js';

/** A permit expires when it has not been renewed for this long. */
export const PERMIT_LIFETIME_MS = 4_000;
/**
 * Age from which a permit that a renewal does not list counts as ended. A renewal that the holder sent before it
 * received the grant is applied before the permit reaches this age.
 */
const GRANT_DELIVERY_LIMIT_MS = 700;

/** The permits for slots of one replica. */
interface ReplicaPermits {
  readonly permits: Map<string, Permit>;
  /** Preempted permits, whose slots count as free during the grace period. */
  readonly revoked: Set<Permit>;
  /** Tokens in the memory of the replica that the requests of these permits may need. */
  memoryTokens: number;
}

/** Keeps permits and counts of them, which change with each permit instead of being computed by scans. */
export class PermitTable {
  readonly all = new EntityTable<Permit>();
  readonly preemptible = new PreemptibleStreams();
  private readonly byReplica = new Map<string, ReplicaPermits>();
  private readonly byHolder = new Map<string, Map<string, Permit>>();
  private readonly byRequestId = new Map<string, Permit>();
  private onlineStreams = 0;
  private nonResumableStreams = 0;
  /** No permit expires earlier. */
  private expiryBoundMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly limits: OrganisationLimits,
    /** Called after each change of the permits at a replica. */
    private readonly onChanged: (replicaId: string) => void,
  ) {}

  /** Adds a permit that was just granted, and checks the invariant that each permit id is granted only once. */
  add(permit: Permit): void {
    checkInvariant(InvariantName.permitUsedOnce, !this.all.has(permit.permitId), () => ({ permit }));
    this.put(permit);
  }

  /** Removes a permit and returns it, or undefined when there is none with this id. */
  take(permitId: string): Permit | undefined {
    const permit = this.all.take(permitId);
    if (!permit) return undefined;
    const { request, replicaId } = permit;
    this.limits.onRelease(request.organisation);
    this.preemptible.remove(permitId);
    this.count(permit, -1);
    if (this.byRequestId.get(request.requestId) === permit) this.byRequestId.delete(request.requestId);
    const atReplica = this.atReplica(replicaId);
    atReplica.permits.delete(permitId);
    atReplica.revoked.delete(permit);
    atReplica.memoryTokens -= request.memoryTokens ?? 0;
    if (atReplica.permits.size === 0) this.byReplica.delete(replicaId);
    const ofHolder = this.byHolder.get(request.holder);
    ofHolder?.delete(permitId);
    if (ofHolder?.size === 0) this.byHolder.delete(request.holder);
    this.onChanged(replicaId);
    return permit;
  }

  /** Marks a permit as preempted; its slot counts as free before `revokedUntilMs`. */
  revoke(permit: Permit, revokedUntilMs: number): void {
    permit.revokedUntilMs = revokedUntilMs;
    this.preemptible.remove(permit.permitId);
    this.atReplica(permit.replicaId).revoked.add(permit);
    this.onChanged(permit.replicaId);
  }

  /** Removes the permits that have expired. */
  dropExpired(nowMs: number): void {
    if (nowMs < this.expiryBoundMs) return;
    this.drop(this.all.all().filter((permit) => permit.expiresAtMs <= nowMs));
    this.expiryBoundMs = this.all
      .all()
      .reduce((boundMs, { expiresAtMs }) => Math.min(boundMs, expiresAtMs), Number.POSITIVE_INFINITY);
  }

  /**
   * Applies a renewal, which lists all permits that a holder has. Listed permits are extended, and adopted when a
   * former owner of the pool granted them. Other permits of the holder have ended although no release arrived, and
   * are removed.
   */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    const held = new Set(permits.map((permit) => permit.permitId));
    this.drop(
      this.ofHolder(holder).filter(
        ({ permitId, grantedAtMs }) => !held.has(permitId) && nowMs - grantedAtMs >= GRANT_DELIVERY_LIMIT_MS,
      ),
    );
    const expiresAtMs = nowMs + PERMIT_LIFETIME_MS;
    permits.forEach((permit) => {
      const known = this.all.get(permit.permitId);
      if (known) known.expiresAtMs = expiresAtMs;
      else this.put({ ...permit, expiresAtMs });
    });
  }

  /** The permit that was granted to a request, or undefined when it has none. */
  ofRequest(requestId: string): Permit | undefined {
    return this.byRequestId.get(requestId);
  }

  /** Instances that hold permits of this pool. */
  holders(): string[] {
    return [...this.byHolder.keys()];
  }

  /** Removes all permits of a holder. */
  removeHolder(holder: string): void {
    this.drop(this.ofHolder(holder));
  }

  /** Permits for slots of a replica, including preempted ones. */
  at(replicaId: string): Permit[] {
    return [...(this.byReplica.get(replicaId)?.permits.values() ?? [])];
  }

  /** Tokens in the memory of a replica that the requests there may need, including preempted ones. */
  memoryTokensAt(replicaId: string): number {
    return this.byReplica.get(replicaId)?.memoryTokens ?? 0;
  }

  /** Number of permits of a work class. */
  streamsOf(workClass: WorkClass): number {
    return workClass === WorkClass.online ? this.onlineStreams : this.all.size - this.onlineStreams;
  }

  /** Number of permits of batch streams that cannot be resumed, and so are never preempted. */
  get nonResumableBatchStreams(): number {
    return this.nonResumableStreams;
  }

  /** Number of permits that occupy a slot of a replica. Preempted ones do not count during the grace period. */
  inFlight(replicaId: string, nowMs: number): number {
    const atReplica = this.byReplica.get(replicaId);
    if (!atReplica) return 0;
    if (atReplica.revoked.size === 0) return atReplica.permits.size;
    const inGrace = [...atReplica.revoked].filter((permit) => isWithinRevokeGrace(permit, nowMs));
    return atReplica.permits.size - inGrace.length;
  }

  /** Whether a preempted stream at the replica still counts as gone. */
  hasRevokeGrace(replicaId: string, nowMs: number): boolean {
    const revoked = this.byReplica.get(replicaId)?.revoked;
    return revoked !== undefined && [...revoked].some((permit) => isWithinRevokeGrace(permit, nowMs));
  }

  private put(permit: Permit): void {
    const { request, replicaId, permitId } = permit;
    this.limits.onGrant(request.organisation);
    this.all.set(permitId, permit);
    this.preemptible.add(permit);
    this.count(permit, 1);
    this.byRequestId.set(request.requestId, permit);
    const atReplica = this.atReplica(replicaId);
    atReplica.permits.set(permitId, permit);
    atReplica.memoryTokens += request.memoryTokens ?? 0;
    const ofHolder = this.byHolder.get(request.holder) ?? new Map<string, Permit>();
    this.byHolder.set(request.holder, ofHolder.set(permitId, permit));
    this.expiryBoundMs = Math.min(this.expiryBoundMs, permit.expiresAtMs);
    this.onChanged(replicaId);
  }

  private count({ request }: Permit, change: 1 | -1): void {
    if (request.workClass === WorkClass.online) this.onlineStreams += change;
    else if (!request.resumable) this.nonResumableStreams += change;
  }

  private atReplica(replicaId: string): ReplicaPermits {
    const known = this.byReplica.get(replicaId);
    if (known) return known;
    const created = { permits: new Map<string, Permit>(), revoked: new Set<Permit>(), memoryTokens: 0 };
    this.byReplica.set(replicaId, created);
    return created;
  }

  private ofHolder(holder: string): Permit[] {
    return [...(this.byHolder.get(holder)?.values() ?? [])];
  }

  private drop(permits: readonly Permit[]): void {
    permits.forEach((permit) => this.take(permit.permitId));
  }
}

/** Whether the permit was preempted and its slot still counts as free. */
function isWithinRevokeGrace(permit: Permit, nowMs: number): boolean {
  return permit.revokedUntilMs !== undefined && nowMs < permit.revokedUntilMs;
}

/** The replicas of a pool and the permits for their slots. A slot is one concurrent stream that a replica can run. */
import { EntityTable, InvariantName, checkInvariant } from '@fighub/core';

import { ConcurrencyLimit } from './concurrency.js';
import { LoadDrift } from './load-drift.js';
import type { OrganisationLimits } from './organisation-limits.js';
import type { Permit, PoolReplica, ReplicaInfo, ReplicaLoadReport } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { ReplicaHealth } from './replica-health.js';

/** A permit expires when it has not been renewed for this long. */
export const PERMIT_LIFETIME_MS = 4_000;
/**
 * Age from which a permit that a renewal does not list counts as ended. A renewal that the holder sent before it
 * received the grant is applied before the permit reaches this age.
 */
const GRANT_DELIVERY_LIMIT_MS = 700;
/** Time after the grant by which a stream has reached its replica and is counted in the replica's load reports. */
const SETTLED_AFTER_MS = 300;

/** Keeps the replicas and permits of one pool and counts their slots and streams. */
export class PoolSlots {
  readonly replicas = new EntityTable<PoolReplica>();
  readonly permits = new EntityTable<Permit>();

  constructor(private readonly limits: OrganisationLimits) {}

  /**
   * Adds, updates and removes replicas so that they match `infos`. A replica whose address changed is replaced,
   * and starts with a new concurrency limit, health and drift.
   */
  setReplicas(infos: readonly ReplicaInfo[]): void {
    const wanted = new Set(infos.map((info) => info.replicaId));
    this.replicas
      .ids()
      .filter((id) => !wanted.has(id))
      .forEach((id) => this.replicas.take(id));
    infos.forEach((info) => this.setReplica(info));
  }

  /** Adds a permit that was just granted, and checks the invariant that each permit id is granted only once. */
  add(permit: Permit): void {
    checkInvariant(InvariantName.permitUsedOnce, !this.permits.has(permit.permitId), () => ({ permit }));
    this.put(permit);
  }

  /** Removes a permit and returns it, or undefined when there is none with this id. */
  take(permitId: string): Permit | undefined {
    const permit = this.permits.take(permitId);
    if (permit) this.limits.onRelease(permit.request.organisation);
    return permit;
  }

  /** Removes the permits that have expired. */
  dropExpired(nowMs: number): void {
    this.dropWhere((permit) => permit.expiresAtMs <= nowMs);
  }

  /**
   * Applies a renewal, which lists all permits that a holder has. Listed permits are extended, and adopted when a
   * former owner of the pool granted them. Other permits of the holder have ended although no release arrived, and
   * are removed.
   */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    const held = new Set(permits.map((permit) => permit.permitId));
    this.dropWhere(
      (permit) =>
        permit.request.holder === holder &&
        !held.has(permit.permitId) &&
        nowMs - permit.grantedAtMs >= GRANT_DELIVERY_LIMIT_MS,
    );
    const expiresAtMs = nowMs + PERMIT_LIFETIME_MS;
    permits.forEach((permit) => {
      const known = this.permits.get(permit.permitId);
      if (known) known.expiresAtMs = expiresAtMs;
      else this.put({ ...permit, expiresAtMs });
    });
  }

  /** Instances that hold permits of this pool. */
  holders(): string[] {
    return [...new Set(this.permits.all().map((permit) => permit.request.holder))];
  }

  /** Removes all permits of a holder. */
  removeHolder(holder: string): void {
    this.dropWhere((permit) => permit.request.holder === holder);
  }

  /** Records the number of streams that a replica reported with a response, to compare it with the permits. */
  observeLoad(report: ReplicaLoadReport, nowMs: number): void {
    const permits = this.permitsAt(report.replicaId);
    const settled = permits.filter((permit) => nowMs - permit.grantedAtMs >= SETTLED_AFTER_MS);
    const observation = {
      reported: report.running + report.waiting,
      permitted: permits.length,
      settled: settled.length,
    };
    this.replicas.get(report.replicaId)?.drift.observe(observation, nowMs);
  }

  /** Permits for slots of a replica, including preempted ones. */
  permitsAt(replicaId: string): Permit[] {
    return this.permits.all().filter((permit) => permit.replicaId === replicaId);
  }

  /** Number of permits of a work class. */
  streamsOf(workClass: WorkClass): number {
    return this.permits.all().filter((permit) => permit.request.workClass === workClass).length;
  }

  /** Number of permits of batch streams that cannot be resumed, and so are never preempted. */
  nonResumableBatchStreams(): number {
    return this.permits
      .all()
      .filter(({ request }) => request.workClass === WorkClass.batch && !request.resumable).length;
  }

  /** Number of permits that occupy a slot of a replica. Preempted ones do not count during the grace period. */
  inFlight(replicaId: string, nowMs: number): number {
    return this.permitsAt(replicaId).filter((permit) => !isWithinRevokeGrace(permit, nowMs)).length;
  }

  /** Estimated number of streams at a replica: its occupied slots by permit, corrected by the drift. */
  occupied({ replicaId, drift }: PoolReplica, nowMs: number): number {
    return Math.max(0, this.inFlight(replicaId, nowMs) + drift.balance(nowMs));
  }

  /** Number of slots of all replicas that are not leaving. */
  total(): number {
    return this.replicas
      .all()
      .filter((replica) => !replica.leaving)
      .reduce((sum, replica) => sum + replica.limit.places, 0);
  }

  /**
   * Number of free slots of all replicas that may get work now, without the replica `exceptReplicaId`. Replicas that
   * run more streams than their limits reduce it, and it may be negative.
   */
  freeSlots(exceptReplicaId: string | undefined, nowMs: number): number {
    return this.replicas
      .all()
      .filter((replica) => !replica.leaving && replica.replicaId !== exceptReplicaId)
      .filter((replica) => replica.health.isAvailable(nowMs))
      .reduce((sum, replica) => sum + replica.limit.places - this.occupied(replica, nowMs), 0);
  }

  /** Estimated number of streams without a permit minus permits without a stream, over all replicas. */
  drift(nowMs: number): number {
    return this.replicas.all().reduce((sum, { drift }) => sum + drift.balance(nowMs), 0);
  }

  /** State of the replicas, for the dump. */
  describe(nowMs: number): Record<string, unknown>[] {
    return this.replicas.all().map((replica) => ({
      replicaId: replica.replicaId,
      places: replica.limit.places,
      inFlight: this.inFlight(replica.replicaId, nowMs),
      unknownStreams: replica.drift.unknownStreams(nowMs),
      endedStreams: replica.drift.endedStreams(nowMs),
      leaving: replica.leaving,
      missedReports: replica.missedReports,
      open: replica.health.isAvailable(nowMs),
      onProbation: replica.health.onProbation,
    }));
  }

  private setReplica(info: ReplicaInfo): void {
    const known = this.replicas.get(info.replicaId);
    if (known?.address === info.address) {
      known.limit.setMaximum(info.maxConcurrency);
      known.leaving = info.leaving;
      return;
    }
    this.replicas.set(info.replicaId, {
      replicaId: info.replicaId,
      address: info.address,
      failureDomain: info.failureDomain,
      limit: new ConcurrencyLimit(info.maxConcurrency),
      health: new ReplicaHealth(),
      drift: new LoadDrift(),
      leaving: info.leaving,
      missedReports: 0,
    });
  }

  private put(permit: Permit): void {
    this.limits.onGrant(permit.request.organisation);
    this.permits.set(permit.permitId, permit);
  }

  private dropWhere(isDropped: (permit: Permit) => boolean): void {
    this.permits
      .all()
      .filter(isDropped)
      .forEach((permit) => this.take(permit.permitId));
  }
}

/** Whether the permit was preempted and its slot still counts as free. */
function isWithinRevokeGrace(permit: Permit, nowMs: number): boolean {
  return permit.revokedUntilMs !== undefined && nowMs < permit.revokedUntilMs;
}

/** The replicas of a pool and the permits for their places. */
import { EntityTable, InvariantName, checkInvariant } from '@fighub/core';

import { ConcurrencyLimit } from './concurrency.js';
import { LoadDrift } from './load-drift.js';
import type { OrganisationLimits } from './organisation-limits.js';
import type { Permit, PoolReplica, ReplicaInfo, ReplicaLoadReport } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { ReplicaHealth } from './replica-health.js';

/** How long a permit lives without renewal, in milliseconds. */
export const PERMIT_LIFETIME_MS = 4_000;
/** A renewal that was sent before the grant arrived is taken in before this time has passed. */
const GRANT_ARRIVED_MS = 700;
/** A stream has reached its replica by then, and the replica's reports count it. */
const SETTLED_AFTER_MS = 300;

/** Counts places and streams. */
export class PoolPlaces {
  readonly replicas = new EntityTable<PoolReplica>();
  readonly permits = new EntityTable<Permit>();

  constructor(private readonly limits: OrganisationLimits) {}

  /** Brings the replicas in line with the table and the instance list. */
  setReplicas(infos: readonly ReplicaInfo[]): void {
    const wanted = new Set(infos.map((info) => info.replicaId));
    this.replicas
      .ids()
      .filter((id) => !wanted.has(id))
      .forEach((id) => this.replicas.take(id));
    infos.forEach((info) => this.setReplica(info));
  }

  /** Adds a permit that was just granted. Each id is granted once. */
  add(permit: Permit): void {
    checkInvariant(InvariantName.permitUsedOnce, !this.permits.has(permit.permitId), () => ({ permit }));
    this.put(permit);
  }

  /** Takes a permit out. */
  take(permitId: string): Permit | undefined {
    const permit = this.permits.take(permitId);
    if (permit) this.limits.onRelease(permit.request.organisation);
    return permit;
  }

  /** Drops permits that were not renewed in time. */
  dropExpired(nowMs: number): void {
    this.dropWhere((permit) => permit.expiresAtMs <= nowMs);
  }

  /**
   * Takes in all permits that a holder has: they are extended, and adopted when a former owner granted them. Others of
   * the holder have ended without a release that arrived.
   */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    const held = new Set(permits.map((permit) => permit.permitId));
    this.dropWhere(
      (permit) =>
        permit.request.holder === holder &&
        !held.has(permit.permitId) &&
        nowMs - permit.grantedAtMs >= GRANT_ARRIVED_MS,
    );
    const expiresAtMs = nowMs + PERMIT_LIFETIME_MS;
    permits.forEach((permit) => {
      const known = this.permits.get(permit.permitId);
      if (known) known.expiresAtMs = expiresAtMs;
      else this.put({ ...permit, expiresAtMs });
    });
  }

  /** Instances that have permits here. */
  holders(): string[] {
    return [...new Set(this.permits.all().map((permit) => permit.request.holder))];
  }

  dropHolder(holder: string): void {
    this.dropWhere((permit) => permit.request.holder === holder);
  }

  /** Takes in what a replica says of itself. */
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

  permitsAt(replicaId: string): Permit[] {
    return this.permits.all().filter((permit) => permit.replicaId === replicaId);
  }

  /** Streams of a class, by their permits. */
  streamsOf(workClass: WorkClass): number {
    return this.permits.all().filter((permit) => permit.request.workClass === workClass).length;
  }

  /** Batch streams that cannot be stopped. */
  fixedBatchStreams(): number {
    return this.permits
      .all()
      .filter(({ request }) => request.workClass === WorkClass.batch && !request.resumable).length;
  }

  /** Streams that hold a place at a replica, not counting those told to stop. */
  inFlight(replicaId: string, nowMs: number): number {
    return this.permitsAt(replicaId).filter((permit) => !isFreed(permit, nowMs)).length;
  }

  /** Streams at a replica as far as is known, with and without a permit. */
  occupied({ replicaId, drift }: PoolReplica, nowMs: number): number {
    return Math.max(0, this.inFlight(replicaId, nowMs) + drift.balance(nowMs));
  }

  /** Places of all replicas that may get work. */
  total(): number {
    return this.replicas
      .all()
      .filter((replica) => !replica.leaving)
      .reduce((sum, replica) => sum + replica.limit.places, 0);
  }

  /** Places that may be given out now, but for those of one replica. */
  free(exceptReplicaId: string | undefined, nowMs: number): number {
    return this.replicas
      .all()
      .filter((replica) => !replica.leaving && replica.replicaId !== exceptReplicaId)
      .filter((replica) => replica.health.isOpen(nowMs))
      .reduce((sum, replica) => sum + replica.limit.places - this.occupied(replica, nowMs), 0);
  }

  /** Streams without a permit less permits without a stream. */
  drift(nowMs: number): number {
    return this.replicas.all().reduce((sum, { drift }) => sum + drift.balance(nowMs), 0);
  }

  /** The replicas for the dump. */
  describe(nowMs: number): Record<string, unknown>[] {
    return this.replicas.all().map((replica) => ({
      replicaId: replica.replicaId,
      places: replica.limit.places,
      inFlight: this.inFlight(replica.replicaId, nowMs),
      unknownStreams: replica.drift.unknownStreams(nowMs),
      endedStreams: replica.drift.endedStreams(nowMs),
      leaving: replica.leaving,
      missedReports: replica.missedReports,
      open: replica.health.isOpen(nowMs),
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

function isFreed(permit: Permit, nowMs: number): boolean {
  return permit.revokedUntilMs !== undefined && nowMs < permit.revokedUntilMs;
}

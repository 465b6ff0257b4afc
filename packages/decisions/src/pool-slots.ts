/** The replicas of a pool and the permits for their slots. A slot is one concurrent stream that a replica can run. */
import { EntityTable } from '@fighub/core';

import { ConcurrencyLimit } from './concurrency.js';
import { leavesRequestsToPreempt } from './limited-replicas.js';
import { LoadDrift } from './load-drift.js';
import type { OrganisationLimits } from './organisation-limits.js';
import { PermitTable } from './permit-table.js';
import type { Permit, PoolReplica, ReplicaInfo, ReplicaLoadReport, SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import type { PrefixIndex } from './prefix-index.js';
import { ReplicaCapacity } from './replica-capacity.js';
import type { AttemptEnd } from './replica-health.js';
import { PoolSpeed, ReplicaSpeed } from './replica-speed.js';
import { ReplicaHealth } from './replica-health.js';
import { RequestRate } from './request-rate.js';
import type { SlotCounts } from './slot-totals.js';

/** Time after the grant by which a stream has reached its replica and is counted in the replica's load reports. */
const SETTLED_AFTER_MS = 300;
const MS_PER_S = 1_000;

/** Chooses replicas for streams, and streams to preempt, by the capacity of the replicas and the permits for it. */
export class PoolSlots {
  readonly replicas = new EntityTable<PoolReplica>();
  readonly permitTable: PermitTable;
  private readonly capacity: ReplicaCapacity;
  private readonly speed = new PoolSpeed();
  private nextPosition = 0;

  constructor(limits: OrganisationLimits) {
    this.permitTable = new PermitTable(limits, (replicaId) => this.capacity.markChanged(replicaId));
    this.capacity = new ReplicaCapacity(this.replicas, this.permitTable, this.speed);
  }

  get permits(): EntityTable<Permit> {
    return this.permitTable.all;
  }

  /**
   * Adds, updates and removes replicas so that they match `infos`. A replica that has started again, maybe under the same id, is
   * replaced, and starts with a new concurrency limit, health, drift and speed.
   */
  setReplicas(infos: readonly ReplicaInfo[]): void {
    const wanted = new Set(infos.map((info) => info.replicaId));
    this.replicas
      .ids()
      .filter((id) => !wanted.has(id))
      .forEach((id) => this.removeReplica(id));
    infos.forEach((info) => this.setReplica(info));
  }

  /** Sets or removes the limit that a replica states, in requests a second. */
  setRequestLimit(replicaId: string, requestsPerSecond: number | undefined, nowMs: number): void {
    if (this.replicas.get(replicaId)?.rate.setLimit(requestsPerSecond, nowMs))
      this.capacity.markChanged(replicaId);
  }

  /** Marks a replica as leaving: it refuses new work and is granted no more permits. */
  markLeaving(replicaId: string): void {
    this.change(replicaId, (replica) => (replica.leaving = true));
  }

  /** Records how an attempt at a replica ended. */
  observeEnd(replicaId: string, end: AttemptEnd, startedAtMs: number, nowMs: number): void {
    this.change(replicaId, (replica) => replica.health.observe(end, startedAtMs, nowMs));
  }

  /** Records the mean time between two events of a stream at a replica. */
  observeSpeed(replicaId: string, betweenEventsMs: number, nowMs: number): void {
    this.change(replicaId, ({ speed }) => {
      const before = speed.betweenEventsMs;
      speed.observe(betweenEventsMs, nowMs);
      this.speed.replace(before, speed.betweenEventsMs);
    });
  }

  /**
   * Records the result of reading a replica's load: its maximum number of streams, or undefined when it could not be
   * read.
   */
  recordLoadReading(replicaId: string, maxConcurrency: number | undefined): void {
    this.change(replicaId, (replica) => {
      replica.missedReports = maxConcurrency === undefined ? replica.missedReports + 1 : 0;
      if (maxConcurrency !== undefined) replica.limit.setMaximum(maxConcurrency);
    });
  }

  /** Applies a change to a replica; does nothing when there is none with this id. */
  change(replicaId: string, apply: (replica: PoolReplica) => void): void {
    const replica = this.replicas.get(replicaId);
    if (!replica) return;
    apply(replica);
    this.capacity.markChanged(replicaId);
  }

  /** Adds a permit that was just granted, and checks the invariant that each permit id is granted only once. */
  add(permit: Permit): void {
    this.permitTable.add(permit);
    this.replicas.get(permit.replicaId)?.rate.take(permit.grantedAtMs);
  }

  /** Records the number of streams that a replica reported with a response, to compare it with the permits. */
  observeLoad(report: ReplicaLoadReport, nowMs: number): void {
    const permits = this.permitTable.at(report.replicaId);
    const settled = permits.filter((permit) => nowMs - permit.grantedAtMs >= SETTLED_AFTER_MS);
    const observation = {
      reported: report.running + report.waiting,
      permitted: permits.length,
      settled: settled.length,
    };
    this.change(report.replicaId, ({ drift }) => drift.observe(observation, nowMs));
  }

  /** Estimated number of streams at a replica: its occupied slots by permit, corrected by the drift. */
  occupied(replica: PoolReplica, nowMs: number): number {
    return this.capacity.occupied(replica, nowMs);
  }

  /** Number of slots of all replicas that are not leaving, or of those of one software version. */
  total(nowMs: number, softwareVersion?: string): number {
    this.capacity.refresh(nowMs);
    return this.capacity.totalsOf(softwareVersion).slots;
  }

  /**
   * Number of slots that replicas can keep in use, with streams of `meanStreamMs` each: those that state a limit of
   * requests a second may be able to use fewer than they have.
   */
  sustained(meanStreamMs: number, nowMs: number, softwareVersion?: string): number {
    this.capacity.refresh(nowMs);
    const { slots, limitedSlots, requestsPerSecond } = this.capacity.totalsOf(softwareVersion);
    return slots - limitedSlots + Math.min(limitedSlots, (requestsPerSecond * meanStreamMs) / MS_PER_S);
  }

  /** Sets what decides the use of limited replicas; see `LimitedReplicas.setDemand`. */
  setDemand(batchWaits: boolean, meanOnlineStreamMs: number): void {
    this.capacity.setDemand(batchWaits, meanOnlineStreamMs);
  }

  /** Whether a batch item could start at a replica that states a limit of requests a second. */
  hasLimitedForBatch(nowMs: number): boolean {
    this.capacity.refresh(nowMs);
    return this.capacity.limited.hasFreeForBatch;
  }

  /** Whether a replica that is not leaving states a limit of requests a second. */
  hasRequestLimits(nowMs: number): boolean {
    this.capacity.refresh(nowMs);
    return this.capacity.totals.limitedSlots > 0;
  }

  /** Number of free slots of the replicas of one software version that may get work now; it may be negative. */
  freeSlotsOfVersion(softwareVersion: string, nowMs: number): number {
    this.capacity.refresh(nowMs);
    return this.capacity.totalsOf(softwareVersion).freeSlots;
  }

  /**
   * Number of free slots of all replicas that may get work now, without the replica `exceptReplicaId`. Replicas that
   * run more streams than their limits reduce it, and it may be negative.
   */
  freeSlots(exceptReplicaId: string | undefined, nowMs: number): number {
    this.capacity.refresh(nowMs);
    return this.capacity.totals.freeSlots - (this.capacity.countsOf(exceptReplicaId)?.freeSlots ?? 0);
  }

  /** Number of batch streams at the replicas of one software version that may be preempted. */
  preemptibleOfVersion(softwareVersion: string): number {
    return this.replicas
      .all()
      .filter((replica) => replica.softwareVersion === softwareVersion)
      .reduce(
        (sum, { replicaId }) => sum + this.permitTable.preemptible.countOf(this.permitTable.at(replicaId)),
        0,
      );
  }

  /** Estimated number of streams without a permit minus permits without a stream, over all replicas. */
  drift(nowMs: number): number {
    this.capacity.refresh(nowMs);
    return this.capacity.totals.drift;
  }

  /** The replicas that run streams without a permit, as far as recent reports show. */
  replicasWithUnknownStreams(nowMs: number): PoolReplica[] {
    this.capacity.refresh(nowMs);
    return this.capacity
      .driftingIds()
      .flatMap((replicaId) => this.replicas.get(replicaId) ?? [])
      .filter((replica) => replica.drift.unknownStreams(nowMs) > 0)
      .sort((a, b) => a.position - b.position);
  }

  /**
   * Whether any replica, or any of one software version, may get work. A paused replica whose load can be read counts, as
   * it gets work again when its pause ends.
   */
  hasUsableReplica(nowMs: number, softwareVersion?: string): boolean {
    this.capacity.refresh(nowMs);
    return this.capacity.totalsOf(softwareVersion).usable > 0;
  }

  /** False when no request can get a slot: no replica has a free one, and no stream may be preempted. */
  mayHaveSlot(nowMs: number): boolean {
    this.capacity.refresh(nowMs);
    return !this.capacity.isFull || !this.permitTable.preemptible.isEmpty;
  }

  /**
   * The available replica with a free slot and the lowest score, or undefined when there is none. Replicas at which the
   * request has failed are used only when no other is available. With `onlyLimited`, only replicas that state a limit of
   * requests a second are considered. Batch items get a limited replica only as far as `setDemand` leaves it to them.
   */
  pickFreeReplica(
    request: SlotRequest,
    prefixes: PrefixIndex,
    exceptReplicaId: string | undefined,
    nowMs: number,
    onlyLimited = false,
  ): PoolReplica | undefined {
    this.capacity.refresh(nowMs);
    const { softwareVersion } = request;
    const totals = this.capacity.totalsOf(softwareVersion);
    const except = this.isOfVersion(exceptReplicaId, softwareVersion)
      ? this.capacity.countsOf(exceptReplicaId)
      : undefined;
    const anyReporting = totals.reporting - (except?.reporting ?? 0) > 0;
    const availableOf = (counts: SlotCounts | undefined): number =>
      (anyReporting ? counts?.availableReporting : counts?.available) ?? 0;
    const excluded = new Set(
      request.excludedReplicaIds
        .filter((id) => id !== exceptReplicaId)
        .filter((id) => this.isOfVersion(id, softwareVersion)),
    );
    const excludedCount = [...excluded].reduce((sum, id) => sum + availableOf(this.capacity.countsOf(id)), 0);
    // When the request has failed at every available replica, each of them may be tried again.
    const skipsExcluded = availableOf(totals) - availableOf(except) > excludedCount;
    const order = anyReporting ? this.capacity.reportingOrder : this.capacity.silentOrder;
    const admits = (replicaId: string): boolean =>
      replicaId !== exceptReplicaId &&
      this.fitsMemory(request, replicaId) &&
      this.isOfVersion(replicaId, softwareVersion) &&
      !(skipsExcluded && excluded.has(replicaId));
    if (request.workClass === WorkClass.online) return order.pick(request, prefixes, admits);
    const limited = this.capacity.limited.pickForBatch(admits, nowMs);
    if (limited || onlyLimited) return limited;
    return order.pick(request, prefixes, (replicaId) => admits(replicaId) && !this.isLimited(replicaId));
  }

  private isLimited(replicaId: string): boolean {
    return this.replicas.get(replicaId)?.rate.requestsPerSecond !== undefined;
  }

  /**
   * The batch permit to preempt for an online request, or undefined when there is none. Permits at a replica that
   * caches the request's prefix come first, then the order of `PreemptibleStreams`. Replicas that may get no work or
   * that the request excludes are skipped.
   */
  pickVictim(
    request: SlotRequest,
    prefixes: PrefixIndex,
    exceptReplicaId: string | undefined,
    nowMs: number,
  ): Permit | undefined {
    this.capacity.refresh(nowMs);
    const admits = (replicaId: string): boolean =>
      replicaId !== exceptReplicaId &&
      this.fitsMemory(request, replicaId) &&
      this.allowsPreemption(replicaId, nowMs) &&
      this.isOfVersion(replicaId, request.softwareVersion) &&
      !request.excludedReplicaIds.includes(replicaId);
    const caching = prefixes
      .replicasOf(request.prefixDigest)
      .filter(admits)
      .flatMap((replicaId) => this.permitTable.at(replicaId));
    return (
      this.permitTable.preemptible.firstOf(caching, nowMs) ??
      this.permitTable.preemptible.first(({ replicaId }) => admits(replicaId), nowMs)
    );
  }

  /**
   * Whether a request fits into the memory of a replica beside those that run there. A preempted stream keeps its memory until
   * it is released. A request that is larger than the memory is left to the replica to refuse.
   */
  private fitsMemory({ memoryTokens = 0 }: SlotRequest, replicaId: string): boolean {
    const available = this.replicas.get(replicaId)?.memoryTokens;
    const used = this.permitTable.memoryTokensAt(replicaId);
    return available === undefined || used === 0 || used + memoryTokens <= available;
  }

  /**
   * Whether batch streams at a replica may be preempted. At a limited one, the online request and the item that begins
   * again are both counted, so that it is done only where the limit leaves many requests.
   */
  private allowsPreemption(replicaId: string, nowMs: number): boolean {
    if ((this.capacity.countsOf(replicaId)?.available ?? 0) === 0) return false;
    const replica = this.replicas.get(replicaId);
    return replica !== undefined && leavesRequestsToPreempt(replica, nowMs);
  }

  /**
   * Whether an online request could get a slot now: a free one, or probably that of a batch stream at a replica without a
   * limit of requests a second.
   */
  hasSlot(nowMs: number): boolean {
    this.capacity.refresh(nowMs);
    if (!this.capacity.isFull) return true;
    return (
      !this.permitTable.preemptible.isEmpty && this.capacity.totals.limitedSlots < this.capacity.totals.slots
    );
  }

  /** The streams at a replica that may be preempted, in the order of preemption. */
  rankVictimsAt(replicaId: string, nowMs: number): Permit[] {
    return this.permitTable.preemptible.rank(this.permitTable.at(replicaId), nowMs);
  }

  /** State of the replicas, for the dump. */
  describe(nowMs: number): Record<string, unknown>[] {
    return this.replicas.all().map((replica) => ({
      replicaId: replica.replicaId,
      places: replica.limit.places,
      inFlight: this.permitTable.inFlight(replica.replicaId, nowMs),
      unknownStreams: replica.drift.unknownStreams(nowMs),
      endedStreams: replica.drift.endedStreams(nowMs),
      leaving: replica.leaving,
      requestsPerSecond: replica.rate.requestsPerSecond,
      missedReports: replica.missedReports,
      open: replica.health.isAvailable(nowMs),
      onProbation: replica.health.onProbation,
      memoryTokens: this.permitTable.memoryTokensAt(replica.replicaId),
      extraStreams: replica.speed.extraStreams(this.speed, replica.limit.places, nowMs),
    }));
  }

  private setReplica(info: ReplicaInfo): void {
    const known = this.replicas.get(info.replicaId);
    if (known && isSameProcess(known, info)) {
      const hasNewMaximum = known.limit.setMaximum(info.maxConcurrency);
      if (hasNewMaximum || known.leaving !== info.leaving) this.capacity.markChanged(info.replicaId);
      known.leaving = info.leaving;
      return;
    }
    if (known) this.removeReplica(info.replicaId);
    this.replicas.set(info.replicaId, {
      replicaId: info.replicaId,
      address: info.address,
      failureDomain: info.failureDomain,
      softwareVersion: info.softwareVersion,
      position: known?.position ?? this.nextPosition,
      limit: new ConcurrencyLimit(info.maxConcurrency),
      rate: new RequestRate(),
      health: new ReplicaHealth(),
      drift: new LoadDrift(),
      speed: new ReplicaSpeed(),
      memoryTokens: info.memoryTokens,
      startedAtUnixMs: info.startedAtUnixMs,
      leaving: info.leaving,
      missedReports: 0,
    });
    this.nextPosition += 1;
    this.capacity.markChanged(info.replicaId);
  }

  private removeReplica(replicaId: string): void {
    this.capacity.remove(replicaId);
    this.speed.replace(this.replicas.get(replicaId)?.speed.betweenEventsMs, undefined);
    this.replicas.take(replicaId);
  }

  /** Whether a replica may run requests that are bound to `softwareVersion`. */
  private isOfVersion(replicaId: string | undefined, softwareVersion: string | undefined): boolean {
    if (replicaId === undefined) return false;
    return softwareVersion === undefined || this.replicas.get(replicaId)?.softwareVersion === softwareVersion;
  }
}

/** Whether an entry names the process that is known, and not one that has started under the same id since. */
function isSameProcess(known: PoolReplica, info: ReplicaInfo): boolean {
  return (
    known.address === info.address &&
    known.softwareVersion === info.softwareVersion &&
    known.startedAtUnixMs === info.startedAtUnixMs &&
    known.memoryTokens === info.memoryTokens
  );
}

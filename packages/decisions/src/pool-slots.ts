/** The replicas of a pool and the permits for their slots. A slot is one concurrent stream that a replica can run. */
import { EntityTable, InvariantName, checkInvariant } from '@fighub/core';

import { ConcurrencyLimit } from './concurrency.js';
import { LoadDrift } from './load-drift.js';
import type { OrganisationLimits } from './organisation-limits.js';
import type { Permit, PoolReplica, ReplicaInfo, ReplicaLoadReport, SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { PreemptibleStreams } from './preemptible-streams.js';
import type { PrefixIndex } from './prefix-index.js';
import { isReporting, usableSlots } from './replica-choice.js';
import type { AttemptEnd } from './replica-health.js';
import { ReplicaHealth } from './replica-health.js';
import { RequestRate } from './request-rate.js';
import { ReplicaOrder } from './replica-order.js';
import type { SlotCounts } from './slot-totals.js';
import { SlotTotals } from './slot-totals.js';

/** A permit expires when it has not been renewed for this long. */
export const PERMIT_LIFETIME_MS = 4_000;
/**
 * Age from which a permit that a renewal does not list counts as ended. A renewal that the holder sent before it
 * received the grant is applied before the permit reaches this age.
 */
const GRANT_DELIVERY_LIMIT_MS = 700;
/** Time after the grant by which a stream has reached its replica and is counted in the replica's load reports. */
const SETTLED_AFTER_MS = 300;

const MS_PER_S = 1_000;
/** Requests of a limited replica that are kept for one class of work. */
const KEPT_REQUESTS = 1;
/** Part of the burst of a limited replica that may be used up when a batch stream there is preempted. */
const MAX_USED_FRACTION_TO_PREEMPT = 0.5;

/** Replicas with a limit are checked for newly allowed requests at most this often. */
const LIMIT_CHECK_PERIOD_MS = 10;

/** The permits for slots of one replica. */
interface ReplicaPermits {
  readonly permits: Map<string, Permit>;
  /** Preempted permits, whose slots count as free during the grace period. */
  readonly revoked: Set<Permit>;
}

/**
 * Keeps the replicas and permits of one pool. Slots and streams are counted as they change, and only replicas whose
 * state has changed or depends on the time are looked at again, so that a decision does not scan the pool.
 */
export class PoolSlots {
  readonly replicas = new EntityTable<PoolReplica>();
  readonly permits = new EntityTable<Permit>();
  private readonly byReplica = new Map<string, ReplicaPermits>();
  private readonly byHolder = new Map<string, Map<string, Permit>>();
  private readonly byRequestId = new Map<string, Permit>();
  private readonly preemptible = new PreemptibleStreams();
  /** Replicas with a free slot, apart by whether their load could be read. */
  private readonly reportingOrder = new ReplicaOrder();
  private readonly silentOrder = new ReplicaOrder();
  private readonly countsByReplica = new Map<string, SlotCounts>();
  private readonly totals = new SlotTotals();
  private readonly totalsByVersion = new Map<string, SlotTotals>();
  private onlineStreams = 0;
  private nonResumableStreams = 0;
  /** Replicas to look at again at the next decision. */
  private readonly changed = new Set<string>();
  /** Replicas whose state changes with time, without a call: paused ones, and those with drift or preempted streams. */
  private readonly timeDependent = new Set<string>();
  /** The replicas that state a limit of requests a second, and when each will be allowed one more request. */
  private readonly nextRequestAtMs = new Map<string, number>();
  private nextLimitCheckMs = Number.NEGATIVE_INFINITY;
  /** The value of `allAreLimited` by which the replicas were last looked at. */
  private wereAllLimited = false;
  /** Replicas with a free slot that state a limit of requests a second, where it allows a batch item now. */
  private readonly freeLimited = new Set<string>();
  private batchWaits = false;
  private meanOnlineStreamMs = 0;
  /** Replicas whose reports differ from their permits. */
  private readonly drifting = new Set<string>();
  private refreshedAtMs = Number.NEGATIVE_INFINITY;
  /** No permit expires earlier. */
  private expiryBoundMs = Number.POSITIVE_INFINITY;
  private nextPosition = 0;

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
      .forEach((id) => this.removeReplica(id));
    infos.forEach((info) => this.setReplica(info));
  }

  /** Sets or removes the limit that a replica states, in requests a second. */
  setRequestLimit(replicaId: string, requestsPerSecond: number | undefined, nowMs: number): void {
    if (this.replicas.get(replicaId)?.rate.setLimit(requestsPerSecond, nowMs)) this.changed.add(replicaId);
  }

  /** Marks a replica as leaving: it refuses new work and is granted no more permits. */
  markLeaving(replicaId: string): void {
    this.change(replicaId, (replica) => (replica.leaving = true));
  }

  /** Records how an attempt at a replica ended. */
  observeEnd(replicaId: string, end: AttemptEnd, nowMs: number): void {
    this.change(replicaId, (replica) => replica.health.observe(end, nowMs));
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
    this.changed.add(replicaId);
  }

  /** Adds a permit that was just granted, and checks the invariant that each permit id is granted only once. */
  add(permit: Permit): void {
    checkInvariant(InvariantName.permitUsedOnce, !this.permits.has(permit.permitId), () => ({ permit }));
    this.replicas.get(permit.replicaId)?.rate.take(permit.grantedAtMs);
    this.put(permit);
  }

  /** Removes a permit and returns it, or undefined when there is none with this id. */
  take(permitId: string): Permit | undefined {
    const permit = this.permits.take(permitId);
    if (!permit) return undefined;
    const { request, replicaId } = permit;
    this.limits.onRelease(request.organisation);
    this.preemptible.remove(permitId);
    this.count(permit, -1);
    if (this.byRequestId.get(request.requestId) === permit) this.byRequestId.delete(request.requestId);
    const atReplica = this.permitsOf(replicaId);
    atReplica.permits.delete(permitId);
    atReplica.revoked.delete(permit);
    if (atReplica.permits.size === 0) this.byReplica.delete(replicaId);
    const ofHolder = this.byHolder.get(request.holder);
    ofHolder?.delete(permitId);
    if (ofHolder?.size === 0) this.byHolder.delete(request.holder);
    this.changed.add(replicaId);
    return permit;
  }

  /** Marks a permit as preempted; its slot counts as free before `revokedUntilMs`. */
  revoke(permit: Permit, revokedUntilMs: number): void {
    permit.revokedUntilMs = revokedUntilMs;
    this.preemptible.remove(permit.permitId);
    this.permitsOf(permit.replicaId).revoked.add(permit);
    this.changed.add(permit.replicaId);
  }

  /** Removes the permits that have expired. */
  dropExpired(nowMs: number): void {
    if (nowMs < this.expiryBoundMs) return;
    this.drop(this.permits.all().filter((permit) => permit.expiresAtMs <= nowMs));
    this.expiryBoundMs = this.permits
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
      this.permitsOfHolder(holder).filter(
        ({ permitId, grantedAtMs }) => !held.has(permitId) && nowMs - grantedAtMs >= GRANT_DELIVERY_LIMIT_MS,
      ),
    );
    const expiresAtMs = nowMs + PERMIT_LIFETIME_MS;
    permits.forEach((permit) => {
      const known = this.permits.get(permit.permitId);
      if (known) known.expiresAtMs = expiresAtMs;
      else this.put({ ...permit, expiresAtMs });
    });
  }

  /** The permit that was granted to a request, or undefined when it has none. */
  permitOf(requestId: string): Permit | undefined {
    return this.byRequestId.get(requestId);
  }

  /** Instances that hold permits of this pool. */
  holders(): string[] {
    return [...this.byHolder.keys()];
  }

  /** Removes all permits of a holder. */
  removeHolder(holder: string): void {
    this.drop(this.permitsOfHolder(holder));
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
    this.change(report.replicaId, ({ drift }) => drift.observe(observation, nowMs));
  }

  /** Permits for slots of a replica, including preempted ones. */
  permitsAt(replicaId: string): Permit[] {
    return [...(this.byReplica.get(replicaId)?.permits.values() ?? [])];
  }

  /** Number of permits of a work class. */
  streamsOf(workClass: WorkClass): number {
    return workClass === WorkClass.online ? this.onlineStreams : this.permits.size - this.onlineStreams;
  }

  /** Number of permits of batch streams that cannot be resumed, and so are never preempted. */
  nonResumableBatchStreams(): number {
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

  /** Estimated number of streams at a replica: its occupied slots by permit, corrected by the drift. */
  occupied({ replicaId, drift }: PoolReplica, nowMs: number): number {
    return Math.max(0, this.inFlight(replicaId, nowMs) + drift.balance(nowMs));
  }

  /** Number of slots of all replicas that are not leaving, or of those of one software version. */
  total(nowMs: number, softwareVersion?: string): number {
    this.refresh(nowMs);
    return this.totalsOf(softwareVersion).slots;
  }

  /**
   * Number of slots that replicas can keep in use, with streams of `meanStreamMs` each: those that state a limit of
   * requests a second may be able to use fewer than they have.
   */
  sustained(meanStreamMs: number, nowMs: number, softwareVersion?: string): number {
    this.refresh(nowMs);
    const { slots, limitedSlots, requestsPerSecond } = this.totalsOf(softwareVersion);
    return slots - limitedSlots + Math.min(limitedSlots, (requestsPerSecond * meanStreamMs) / MS_PER_S);
  }

  /**
   * Sets what decides the use of limited replicas. While batch items wait and other replicas have no limit, such a replica
   * keeps one request for them: an item uses its slot for longer than an online request, and does not occupy one where no
   * limit holds. The items leave as many slots as online requests of the mean duration can use.
   */
  setDemand(batchWaits: boolean, meanOnlineStreamMs: number): void {
    this.meanOnlineStreamMs = meanOnlineStreamMs;
    if (batchWaits === this.batchWaits) return;
    this.batchWaits = batchWaits;
    this.markLimitedChanged();
  }

  /** Whether a batch item could start at a replica that states a limit of requests a second. */
  hasLimitedForBatch(nowMs: number): boolean {
    this.refresh(nowMs);
    return this.freeLimited.size > 0;
  }

  /** Whether a replica that is not leaving states a limit of requests a second. */
  hasRequestLimits(nowMs: number): boolean {
    this.refresh(nowMs);
    return this.totals.limitedSlots > 0;
  }

  /** Number of free slots of the replicas of one software version that may get work now; it may be negative. */
  freeSlotsOfVersion(softwareVersion: string, nowMs: number): number {
    this.refresh(nowMs);
    return this.totalsOf(softwareVersion).freeSlots;
  }

  /**
   * Number of free slots of all replicas that may get work now, without the replica `exceptReplicaId`. Replicas that
   * run more streams than their limits reduce it, and it may be negative.
   */
  freeSlots(exceptReplicaId: string | undefined, nowMs: number): number {
    this.refresh(nowMs);
    return this.totals.freeSlots - (this.countsOf(exceptReplicaId)?.freeSlots ?? 0);
  }

  /** Number of batch streams at the replicas of one software version that may be preempted. */
  preemptibleOfVersion(softwareVersion: string): number {
    return this.replicas
      .all()
      .filter((replica) => replica.softwareVersion === softwareVersion)
      .reduce((sum, { replicaId }) => sum + this.preemptible.countOf(this.permitsAt(replicaId)), 0);
  }

  /** Estimated number of streams without a permit minus permits without a stream, over all replicas. */
  drift(nowMs: number): number {
    this.refresh(nowMs);
    return this.totals.drift;
  }

  /** The replicas that run streams without a permit, as far as recent reports show. */
  replicasWithUnknownStreams(nowMs: number): PoolReplica[] {
    this.refresh(nowMs);
    return [...this.drifting]
      .flatMap((replicaId) => this.replicas.get(replicaId) ?? [])
      .filter((replica) => replica.drift.unknownStreams(nowMs) > 0)
      .sort((a, b) => a.position - b.position);
  }

  /**
   * Whether any replica, or any of one software version, may get work. A paused replica whose load can be read counts, as
   * it gets work again when its pause ends.
   */
  hasUsableReplica(nowMs: number, softwareVersion?: string): boolean {
    this.refresh(nowMs);
    return this.totalsOf(softwareVersion).usable > 0;
  }

  /** False when no request can get a slot: no replica has a free one, and no stream may be preempted. */
  mayHaveSlot(nowMs: number): boolean {
    this.refresh(nowMs);
    return !this.reportingOrder.isEmpty || !this.silentOrder.isEmpty || !this.preemptible.isEmpty;
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
    this.refresh(nowMs);
    const { softwareVersion } = request;
    const totals = this.totalsOf(softwareVersion);
    const except = this.isOfVersion(exceptReplicaId, softwareVersion)
      ? this.countsOf(exceptReplicaId)
      : undefined;
    const anyReporting = totals.reporting - (except?.reporting ?? 0) > 0;
    const availableOf = (counts: SlotCounts | undefined): number =>
      (anyReporting ? counts?.availableReporting : counts?.available) ?? 0;
    const excluded = new Set(
      request.excludedReplicaIds
        .filter((id) => id !== exceptReplicaId)
        .filter((id) => this.isOfVersion(id, softwareVersion)),
    );
    const excludedCount = [...excluded].reduce((sum, id) => sum + availableOf(this.countsOf(id)), 0);
    // When the request has failed at every available replica, each of them may be tried again.
    const skipsExcluded = availableOf(totals) - availableOf(except) > excludedCount;
    const order = anyReporting ? this.reportingOrder : this.silentOrder;
    const admits = (replicaId: string): boolean =>
      replicaId !== exceptReplicaId &&
      this.isOfVersion(replicaId, softwareVersion) &&
      !(skipsExcluded && excluded.has(replicaId));
    if (request.workClass === WorkClass.online) return order.pick(request, prefixes, admits);
    const limited = this.pickLimitedForBatch(admits, nowMs);
    if (limited || onlyLimited) return limited;
    return order.pick(request, prefixes, (replicaId) => admits(replicaId) && !this.isLimited(replicaId));
  }

  private isLimited(replicaId: string): boolean {
    return this.replicas.get(replicaId)?.rate.requestsPerSecond !== undefined;
  }

  /**
   * The replica for a batch item among those that state a limit of requests a second. Of the requests that these take, batch
   * items use their slots for the longest time, and the slots of the other replicas are left to online requests.
   */
  private pickLimitedForBatch(
    admits: (replicaId: string) => boolean,
    nowMs: number,
  ): PoolReplica | undefined {
    if (this.freeLimited.size === 0) return undefined;
    return [...this.freeLimited]
      .filter(admits)
      .flatMap((replicaId) => this.replicas.get(replicaId) ?? [])
      .map((replica) => ({ replica, used: replica.rate.usedFraction(nowMs) }))
      .reduce<{ replica: PoolReplica; used: number } | undefined>(
        (best, each) => (best === undefined || each.used < best.used ? each : best),
        undefined,
      )?.replica;
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
    this.refresh(nowMs);
    const admits = (replicaId: string): boolean =>
      replicaId !== exceptReplicaId &&
      this.allowsPreemption(replicaId, nowMs) &&
      this.isOfVersion(replicaId, request.softwareVersion) &&
      !request.excludedReplicaIds.includes(replicaId);
    const caching = prefixes
      .replicasOf(request.prefixDigest)
      .filter(admits)
      .flatMap((replicaId) => this.permitsAt(replicaId));
    return (
      this.preemptible.firstOf(caching, nowMs) ??
      this.preemptible.first(({ replicaId }) => admits(replicaId), nowMs)
    );
  }

  /**
   * Whether batch streams at a replica may be preempted. At a limited one, the online request and the item that begins
   * again are both counted, so that it is done only where the limit leaves many requests.
   */
  private allowsPreemption(replicaId: string, nowMs: number): boolean {
    if ((this.countsOf(replicaId)?.available ?? 0) === 0) return false;
    const rate = this.replicas.get(replicaId)?.rate;
    return rate !== undefined && rate.usedFraction(nowMs) <= MAX_USED_FRACTION_TO_PREEMPT;
  }

  /**
   * Whether an online request could get a slot now: a free one, or probably that of a batch stream at a replica without a
   * limit of requests a second.
   */
  hasSlot(nowMs: number): boolean {
    this.refresh(nowMs);
    if (!this.reportingOrder.isEmpty || !this.silentOrder.isEmpty) return true;
    return !this.preemptible.isEmpty && this.totals.limitedSlots < this.totals.slots;
  }

  /** The streams at a replica that may be preempted, in the order of preemption. */
  rankVictimsAt(replicaId: string, nowMs: number): Permit[] {
    return this.preemptible.rank(this.permitsAt(replicaId), nowMs);
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
      requestsPerSecond: replica.rate.requestsPerSecond,
      missedReports: replica.missedReports,
      open: replica.health.isAvailable(nowMs),
      onProbation: replica.health.onProbation,
    }));
  }

  private setReplica(info: ReplicaInfo): void {
    const known = this.replicas.get(info.replicaId);
    if (known?.address === info.address && known.softwareVersion === info.softwareVersion) {
      const hasNewMaximum = known.limit.setMaximum(info.maxConcurrency);
      if (hasNewMaximum || known.leaving !== info.leaving) this.changed.add(info.replicaId);
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
      leaving: info.leaving,
      missedReports: 0,
    });
    this.nextPosition += 1;
    this.changed.add(info.replicaId);
  }

  private removeReplica(replicaId: string): void {
    this.reportingOrder.delete(replicaId);
    this.silentOrder.delete(replicaId);
    this.timeDependent.delete(replicaId);
    this.drifting.delete(replicaId);
    this.freeLimited.delete(replicaId);
    this.nextRequestAtMs.delete(replicaId);
    this.dropCounts(replicaId);
    this.replicas.take(replicaId);
  }

  /** Looks again at the replicas whose state may have changed since the last decision. */
  private refresh(nowMs: number): void {
    if (nowMs !== this.refreshedAtMs) {
      this.refreshedAtMs = nowMs;
      this.timeDependent.forEach((replicaId) => this.changed.add(replicaId));
      this.markNewlyAllowed(nowMs);
    }
    this.refreshChanged(nowMs);
    if (this.allAreLimited === this.wereAllLimited) return;
    this.wereAllLimited = this.allAreLimited;
    this.markLimitedChanged();
    this.refreshChanged(nowMs);
  }

  private refreshChanged(nowMs: number): void {
    this.changed.forEach((replicaId) => this.refreshReplica(replicaId, nowMs));
    this.changed.clear();
  }

  private markLimitedChanged(): void {
    this.nextRequestAtMs.forEach((_, replicaId) => this.changed.add(replicaId));
  }

  /** Marks the limited replicas that are allowed one more request than when they were last looked at. */
  private markNewlyAllowed(nowMs: number): void {
    if (nowMs < this.nextLimitCheckMs) return;
    this.nextLimitCheckMs = nowMs + LIMIT_CHECK_PERIOD_MS;
    this.nextRequestAtMs.forEach((atMs, replicaId) => {
      if (atMs <= nowMs) this.changed.add(replicaId);
    });
  }

  private refreshReplica(replicaId: string, nowMs: number): void {
    const replica = this.replicas.get(replicaId);
    if (!replica) return;
    const streams = this.occupied(replica, nowMs);
    const drift = replica.drift.balance(nowMs);
    const isOpen = replica.health.isAvailable(nowMs);
    const { requestsPerSecond } = replica.rate;
    const isLimited = requestsPerSecond !== undefined && !replica.leaving;
    const available = replica.rate.available(nowMs);
    const allowedRequests = available - this.requestsForBatch;
    const isAvailable = isOpen && !replica.leaving && allowedRequests > 0;
    const reports = isReporting(replica);
    this.setCounts(replicaId, {
      slots: replica.leaving ? 0 : replica.limit.places,
      limitedSlots: isLimited ? replica.limit.places : 0,
      requestsPerSecond: isLimited ? requestsPerSecond : 0,
      freeSlots: isAvailable ? Math.min(replica.limit.places - streams, allowedRequests) : 0,
      drift,
      reporting: reports ? 1 : 0,
      available: isAvailable ? 1 : 0,
      availableReporting: isAvailable && reports ? 1 : 0,
      usable: !replica.leaving && (reports || isOpen) ? 1 : 0,
    });
    const isFree = isAvailable && streams < usableSlots(replica);
    const [order, other] = reports
      ? [this.reportingOrder, this.silentOrder]
      : [this.silentOrder, this.reportingOrder];
    other.delete(replicaId);
    // A limited replica is left to peaks that the others cannot take, unless its requests would be lost.
    if (isFree) order.set(replica, streams + replica.limit.places * replica.rate.usedFraction(nowMs));
    else order.delete(replicaId);
    const isFreeForBatch = streams + this.slotsForOnline(replica) < usableSlots(replica);
    if (isLimited && isOpen && isFreeForBatch && available > this.requestsForOnline)
      this.freeLimited.add(replicaId);
    else this.freeLimited.delete(replicaId);
    if (drift === 0) this.drifting.delete(replicaId);
    else this.drifting.add(replicaId);
    if (isLimited) this.nextRequestAtMs.set(replicaId, replica.rate.nextRequestAtMs(nowMs));
    else this.nextRequestAtMs.delete(replicaId);
    if (drift !== 0 || !isOpen || this.hasRevokeGrace(replicaId, nowMs)) this.timeDependent.add(replicaId);
    else this.timeDependent.delete(replicaId);
  }

  private get allAreLimited(): boolean {
    return this.totals.limitedSlots >= this.totals.slots;
  }

  /** Requests of a limited replica that are kept for waiting batch items, if online requests can use other replicas. */
  private get requestsForBatch(): number {
    return this.batchWaits && !this.allAreLimited ? KEPT_REQUESTS : 0;
  }

  /** Requests of a limited replica that are kept for online requests, if these can use no other replicas. */
  private get requestsForOnline(): number {
    return this.allAreLimited ? KEPT_REQUESTS : 0;
  }

  /** Slots of a limited replica that online requests can keep in use. */
  private slotsForOnline({ rate }: PoolReplica): number {
    return Math.ceil(((rate.requestsPerSecond ?? 0) * this.meanOnlineStreamMs) / MS_PER_S);
  }

  private setCounts(replicaId: string, counts: SlotCounts): void {
    this.dropCounts(replicaId);
    this.countsByReplica.set(replicaId, counts);
    this.totalsWith(replicaId).forEach((totals) => totals.add(counts));
  }

  private dropCounts(replicaId: string): void {
    const counts = this.countsOf(replicaId);
    this.countsByReplica.delete(replicaId);
    if (counts) this.totalsWith(replicaId).forEach((totals) => totals.subtract(counts));
  }

  /** The sums that a replica contributes to: of all replicas, and of those of its software version. */
  private totalsWith(replicaId: string): readonly SlotTotals[] {
    const softwareVersion = this.replicas.get(replicaId)?.softwareVersion;
    if (softwareVersion === undefined) return [this.totals];
    const ofVersion = this.totalsByVersion.get(softwareVersion) ?? new SlotTotals();
    this.totalsByVersion.set(softwareVersion, ofVersion);
    return [this.totals, ofVersion];
  }

  private totalsOf(softwareVersion: string | undefined): SlotCounts {
    return softwareVersion === undefined
      ? this.totals
      : (this.totalsByVersion.get(softwareVersion) ?? new SlotTotals());
  }

  /** Whether a replica may run requests that are bound to `softwareVersion`. */
  private isOfVersion(replicaId: string | undefined, softwareVersion: string | undefined): boolean {
    if (replicaId === undefined) return false;
    return softwareVersion === undefined || this.replicas.get(replicaId)?.softwareVersion === softwareVersion;
  }

  /** Whether a preempted stream at the replica still counts as gone. */
  private hasRevokeGrace(replicaId: string, nowMs: number): boolean {
    const revoked = this.byReplica.get(replicaId)?.revoked;
    return revoked !== undefined && [...revoked].some((permit) => isWithinRevokeGrace(permit, nowMs));
  }

  private countsOf(replicaId: string | undefined): SlotCounts | undefined {
    return replicaId === undefined ? undefined : this.countsByReplica.get(replicaId);
  }

  private put(permit: Permit): void {
    const { request, replicaId, permitId } = permit;
    this.limits.onGrant(request.organisation);
    this.permits.set(permitId, permit);
    this.preemptible.add(permit);
    this.count(permit, 1);
    this.byRequestId.set(request.requestId, permit);
    this.permitsOf(replicaId).permits.set(permitId, permit);
    const ofHolder = this.byHolder.get(request.holder) ?? new Map<string, Permit>();
    this.byHolder.set(request.holder, ofHolder.set(permitId, permit));
    this.expiryBoundMs = Math.min(this.expiryBoundMs, permit.expiresAtMs);
    this.changed.add(replicaId);
  }

  private count({ request }: Permit, change: 1 | -1): void {
    if (request.workClass === WorkClass.online) this.onlineStreams += change;
    else if (!request.resumable) this.nonResumableStreams += change;
  }

  private permitsOf(replicaId: string): ReplicaPermits {
    const known = this.byReplica.get(replicaId);
    if (known) return known;
    const created = { permits: new Map<string, Permit>(), revoked: new Set<Permit>() };
    this.byReplica.set(replicaId, created);
    return created;
  }

  private permitsOfHolder(holder: string): Permit[] {
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

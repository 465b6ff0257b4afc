/**
 * The slots that the replicas of a pool have, use and can offer now. Sums are kept by differences, and only replicas whose
 * state has changed or depends on the time are looked at again, so that a decision does not scan the pool.
 */
import type { EntityTable } from '@fighub/core';

import { LimitedReplicas } from './limited-replicas.js';
import type { PermitTable } from './permit-table.js';
import type { PoolReplica } from './pool-types.js';
import { isReporting, usableSlots } from './replica-choice.js';
import { ReplicaOrder } from './replica-order.js';
import type { PoolSpeed } from './replica-speed.js';
import type { SlotCounts } from './slot-totals.js';
import { SlotTotals } from './slot-totals.js';

/** Replicas are checked for samples of their speed that are too old at most this often. */
const SPEED_CHECK_PERIOD_MS = 500;

/** Follows the replicas and permits of one pool. `refresh` comes before the totals and orders are read. */
export class ReplicaCapacity {
  /** Replicas with a free slot, apart by whether their load could be read. */
  readonly reportingOrder = new ReplicaOrder();
  readonly silentOrder = new ReplicaOrder();
  readonly limited = new LimitedReplicas();
  readonly totals = new SlotTotals();
  private readonly countsByReplica = new Map<string, SlotCounts>();
  private readonly totalsByVersion = new Map<string, SlotTotals>();
  /** Replicas to look at again at the next decision. */
  private readonly changed = new Set<string>();
  /** Replicas whose state changes with time, without a call: paused ones, and those with drift or preempted streams. */
  private readonly timeDependent = new Set<string>();
  /** Replicas whose reports differ from their permits. */
  private readonly drifting = new Set<string>();
  /** Replicas that count as slower or faster than the others, until their samples are too old. */
  private readonly ofOtherSpeed = new Set<string>();
  private nextSpeedCheckMs = Number.NEGATIVE_INFINITY;
  private refreshedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly replicas: EntityTable<PoolReplica>,
    private readonly permits: PermitTable,
    private readonly speed: PoolSpeed,
  ) {}

  /** Looks at a replica again at the next decision. */
  markChanged(replicaId: string): void {
    this.changed.add(replicaId);
  }

  /** Forgets a replica that is about to be removed. */
  remove(replicaId: string): void {
    this.reportingOrder.delete(replicaId);
    this.silentOrder.delete(replicaId);
    this.timeDependent.delete(replicaId);
    this.drifting.delete(replicaId);
    this.ofOtherSpeed.delete(replicaId);
    this.limited.delete(replicaId);
    this.dropCounts(replicaId);
  }

  /** See `LimitedReplicas.setDemand`. */
  setDemand(batchWaits: boolean, meanOnlineStreamMs: number): void {
    if (this.limited.setDemand(batchWaits, meanOnlineStreamMs)) this.markLimitedChanged();
  }

  /** Looks again at the replicas whose state may have changed since the last decision. */
  refresh(nowMs: number): void {
    if (nowMs !== this.refreshedAtMs) {
      this.refreshedAtMs = nowMs;
      this.timeDependent.forEach((replicaId) => this.changed.add(replicaId));
      this.limited.newlyAllowedIds(nowMs).forEach((replicaId) => this.changed.add(replicaId));
      this.markOldSpeeds(nowMs);
    }
    this.refreshChanged(nowMs);
    if (!this.limited.setAllLimited(this.totals.limitedSlots >= this.totals.slots)) return;
    this.markLimitedChanged();
    this.refreshChanged(nowMs);
  }

  /** Estimated number of streams at a replica: its occupied slots by permit, corrected by the drift. */
  occupied({ replicaId, drift }: PoolReplica, nowMs: number): number {
    return Math.max(0, this.permits.inFlight(replicaId, nowMs) + drift.balance(nowMs));
  }

  /** The sums over the replicas of one software version, or over all. */
  totalsOf(softwareVersion: string | undefined): SlotCounts {
    return softwareVersion === undefined
      ? this.totals
      : (this.totalsByVersion.get(softwareVersion) ?? new SlotTotals());
  }

  /** What one replica contributes to the sums; undefined if there is no such replica. */
  countsOf(replicaId: string | undefined): SlotCounts | undefined {
    return replicaId === undefined ? undefined : this.countsByReplica.get(replicaId);
  }

  /** Ids of the replicas whose reports differ from their permits. */
  driftingIds(): string[] {
    return [...this.drifting];
  }

  /** Whether no replica has a free slot. */
  get isFull(): boolean {
    return this.reportingOrder.isEmpty && this.silentOrder.isEmpty;
  }

  private refreshChanged(nowMs: number): void {
    this.changed.forEach((replicaId) => this.refreshReplica(replicaId, nowMs));
    this.changed.clear();
  }

  private markOldSpeeds(nowMs: number): void {
    if (nowMs < this.nextSpeedCheckMs) return;
    this.nextSpeedCheckMs = nowMs + SPEED_CHECK_PERIOD_MS;
    this.ofOtherSpeed.forEach((replicaId) => this.changed.add(replicaId));
  }

  private markLimitedChanged(): void {
    this.limited.ids().forEach((replicaId) => this.changed.add(replicaId));
  }

  private refreshReplica(replicaId: string, nowMs: number): void {
    const replica = this.replicas.get(replicaId);
    if (!replica) return;
    const streams = this.occupied(replica, nowMs);
    const drift = replica.drift.balance(nowMs);
    const isOpen = replica.health.isAvailable(nowMs);
    const { requestsPerSecond } = replica.rate;
    const isLimited = requestsPerSecond !== undefined && !replica.leaving;
    const allowedRequests = replica.rate.available(nowMs) - this.limited.requestsForBatch;
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
    const limitPenalty = replica.limit.places * replica.rate.usedFraction(nowMs);
    const extraStreams = replica.speed.extraStreams(this.speed, replica.limit.places, nowMs);
    if (isFree) order.set(replica, streams + limitPenalty + extraStreams);
    else order.delete(replicaId);
    this.limited.update(replica, { isLimited, isOpen, streams }, nowMs);
    setMembership(this.drifting, replicaId, drift !== 0);
    setMembership(this.ofOtherSpeed, replicaId, extraStreams !== 0);
    setMembership(
      this.timeDependent,
      replicaId,
      drift !== 0 || !isOpen || this.permits.hasRevokeGrace(replicaId, nowMs),
    );
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
}

function setMembership(ids: Set<string>, id: string, isMember: boolean): void {
  if (isMember) ids.add(id);
  else ids.delete(id);
}

/**
 * Shares the requests of replicas that state a limit of requests a second between online requests and batch items. Answers a
 * pool in which some or all replicas take fewer requests than their slots could serve.
 */
import type { PoolReplica } from './pool-types.js';
import { usableSlots } from './replica-choice.js';

const MS_PER_S = 1_000;
/** Requests of a limited replica that are kept for one class of work. */
const KEPT_REQUESTS = 1;
/** Part of the burst of a limited replica that may be used up when a batch stream there is preempted. */
const MAX_USED_FRACTION_TO_PREEMPT = 0.5;
/** Replicas with a limit are checked for newly allowed requests at most this often. */
const LIMIT_CHECK_PERIOD_MS = 10;

/** What is known of a replica when it is looked at again. */
export interface LimitedReplicaState {
  /** Whether the replica states a limit and is not leaving. */
  readonly isLimited: boolean;
  /** Whether it may get work apart from the limit. */
  readonly isOpen: boolean;
  /** Estimated number of its streams. */
  readonly streams: number;
}

/** Whether the limit of a replica leaves so many requests that a stream may be preempted there. */
export function leavesRequestsToPreempt({ rate }: PoolReplica, nowMs: number): boolean {
  return rate.usedFraction(nowMs) <= MAX_USED_FRACTION_TO_PREEMPT;
}

/** Keeps which limited replicas may get a batch item, and when each will be allowed one more request. */
export class LimitedReplicas {
  /** When each limited replica will be allowed one more request. */
  private readonly nextRequestAtMs = new Map<string, number>();
  private nextCheckMs = Number.NEGATIVE_INFINITY;
  /** Replicas with a free slot whose limit allows a batch item now. */
  private readonly freeForBatch = new Map<string, PoolReplica>();
  private batchWaits = false;
  private meanOnlineStreamMs = 0;
  private allLimited = false;

  /** Whether a batch item could start at one of them. */
  get hasFreeForBatch(): boolean {
    return this.freeForBatch.size > 0;
  }

  /** Requests of each that are kept for waiting batch items, if online requests can use other replicas. */
  get requestsForBatch(): number {
    return this.batchWaits && !this.allLimited ? KEPT_REQUESTS : 0;
  }

  /** Sets whether all replicas of the pool are limited. Returns whether that has changed. */
  setAllLimited(allLimited: boolean): boolean {
    const hasChanged = allLimited !== this.allLimited;
    this.allLimited = allLimited;
    return hasChanged;
  }

  /**
   * Sets whether batch items wait, and the mean duration of online streams. While items wait and other replicas have no limit,
   * a limited replica keeps one request for them: an item uses its slot for longer than an online request, and does not
   * occupy one where no limit holds. The items leave as many slots as online requests of the mean duration can use.
   * Returns whether the replicas have to be looked at again.
   */
  setDemand(batchWaits: boolean, meanOnlineStreamMs: number): boolean {
    const hasChanged = batchWaits !== this.batchWaits;
    this.batchWaits = batchWaits;
    this.meanOnlineStreamMs = meanOnlineStreamMs;
    return hasChanged;
  }

  /** Records the state of a replica. */
  update(replica: PoolReplica, { isLimited, isOpen, streams }: LimitedReplicaState, nowMs: number): void {
    const { replicaId, rate } = replica;
    const isFreeForBatch = streams + this.slotsForOnline(replica) < usableSlots(replica);
    if (isLimited && isOpen && isFreeForBatch && rate.available(nowMs) > this.requestsForOnline)
      this.freeForBatch.set(replicaId, replica);
    else this.freeForBatch.delete(replicaId);
    if (isLimited) this.nextRequestAtMs.set(replicaId, rate.nextRequestAtMs(nowMs));
    else this.nextRequestAtMs.delete(replicaId);
  }

  delete(replicaId: string): void {
    this.freeForBatch.delete(replicaId);
    this.nextRequestAtMs.delete(replicaId);
  }

  /** Ids of all limited replicas. */
  ids(): string[] {
    return [...this.nextRequestAtMs.keys()];
  }

  /** Ids of those that are allowed one more request than when they were last looked at. */
  newlyAllowedIds(nowMs: number): string[] {
    if (this.nextRequestAtMs.size === 0 || nowMs < this.nextCheckMs) return [];
    this.nextCheckMs = nowMs + LIMIT_CHECK_PERIOD_MS;
    return this.ids().filter(
      (replicaId) => (this.nextRequestAtMs.get(replicaId) ?? Number.POSITIVE_INFINITY) <= nowMs,
    );
  }

  /**
   * The replica for a batch item, or undefined if none is free. Of the requests that limited replicas take, batch items use
   * their slots for the longest time, and the slots of the other replicas are left to online requests.
   */
  pickForBatch(admits: (replicaId: string) => boolean, nowMs: number): PoolReplica | undefined {
    if (!this.hasFreeForBatch) return undefined;
    return [...this.freeForBatch.values()]
      .filter(({ replicaId }) => admits(replicaId))
      .map((replica) => ({ replica, used: replica.rate.usedFraction(nowMs) }))
      .reduce<{ replica: PoolReplica; used: number } | undefined>(
        (best, each) => (best === undefined || each.used < best.used ? each : best),
        undefined,
      )?.replica;
  }

  /** Requests of a limited replica that are kept for online requests, if these can use no other replicas. */
  private get requestsForOnline(): number {
    return this.allLimited ? KEPT_REQUESTS : 0;
  }

  /** Slots of a limited replica that online requests can keep in use. */
  private slotsForOnline({ rate }: PoolReplica): number {
    return Math.ceil(((rate.requestsPerSecond ?? 0) * this.meanOnlineStreamMs) / MS_PER_S);
  }
}

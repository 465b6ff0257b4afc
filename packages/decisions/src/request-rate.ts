/**
 * Spaces the requests to a replica that states a limit. Load that it answers: arrivals that one replica takes more slowly than
 * its slots become free, and batch items that begin again after each preemption.
 */
import { rankMembers } from './rendezvous.js';
import { TokenBucket } from './token-bucket.js';

/** Requests beyond the steady rate that may follow one another: these, and those of `BURST_MS`, from all instances. */
const BURST_REQUESTS = 3;
const BURST_MS = 2_000;
/** A replica gets a request now and then even if its limit is 0, since only a response tells that the limit has ended. */
const MIN_REQUESTS_PER_SECOND = 0.25;
const MS_PER_S = 1_000;

/** Number of requests that may follow one another at a replica with this limit, from all instances together. */
function burstOf(requestsPerSecond: number): number {
  return BURST_REQUESTS + (Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) * BURST_MS) / MS_PER_S;
}

/**
 * Ids of the instances that share the limit of a replica equally while they do not ask an owner: so few that each one's part
 * of the burst is a whole request. They are chosen by rendezvous hashing on the replica.
 */
export function instancesSharing(
  replicaId: string,
  requestsPerSecond: number,
  instanceIds: readonly string[],
): readonly string[] {
  const count = Math.floor(burstOf(requestsPerSecond));
  if (instanceIds.length <= count) return instanceIds;
  return rankMembers(`rate/${replicaId}`, instanceIds).slice(0, count);
}

/** The rate at which requests may be sent to one replica; unlimited at first. */
export class RequestRate {
  private bucket: TokenBucket | undefined;
  private burst = Number.POSITIVE_INFINITY;
  private limit: number | undefined;
  private share = 1;

  /** The limit in requests a second; undefined if there is none. */
  get requestsPerSecond(): number | undefined {
    return this.limit;
  }

  /**
   * Sets or removes the limit of the replica, in requests a second, of which `share` (above 0, at most 1) may be used here. A
   * new limit allows no request at first, since the replica has just got as many as it could. Returns whether it changed.
   */
  setLimit(requestsPerSecond: number | undefined, nowMs: number, share = 1): boolean {
    if (requestsPerSecond === this.limit && share === this.share) return false;
    this.limit = requestsPerSecond;
    this.share = share;
    if (requestsPerSecond === undefined) {
      this.bucket = undefined;
      return true;
    }
    const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) * share;
    // The product may be a little less than one request by rounding.
    this.burst = Math.max(1, burstOf(requestsPerSecond) * share);
    if (this.bucket) this.bucket.configure(rate, this.burst);
    else {
      this.bucket = new TokenBucket(rate, this.burst);
      this.bucket.take(this.burst, nowMs);
    }
    return true;
  }

  /** Number of requests that may be sent now; infinite without a limit. */
  available(nowMs: number): number {
    return this.bucket ? Math.floor(this.bucket.available(nowMs)) : Number.POSITIVE_INFINITY;
  }

  /** When one more request than now will be allowed; infinite if none will be before a request is sent. */
  nextRequestAtMs(nowMs: number): number {
    if (!this.bucket) return Number.POSITIVE_INFINITY;
    const next = Math.max(0, this.available(nowMs)) + 1;
    return next > this.burst ? Number.POSITIVE_INFINITY : nowMs + this.bucket.waitMs(next, nowMs);
  }

  /** The part of the burst that has been used up, from 0 to 1; 0 without a limit. */
  usedFraction(nowMs: number): number {
    return this.bucket ? 1 - Math.max(0, this.bucket.available(nowMs)) / this.burst : 0;
  }

  /** Counts a request that is sent. */
  take(nowMs: number): void {
    this.bucket?.take(1, nowMs);
  }
}

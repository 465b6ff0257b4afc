/** Streams begin and end between a report and its arrival, by one or two either way: the mean tells. */
const SMOOTHING = 0.4;
/** A report says nothing about later times, in milliseconds. */
const LIFETIME_MS = 700;

/**
 * Streams at a replica that run without a permit of the pool's owner, as the replica's own reports show. Answers
 * instances that are cut off from the owner and place their requests alone, and a change of owners.
 */
export class UnknownStreams {
  private mean = 0;
  private validUntilMs = Number.NEGATIVE_INFINITY;

  /** Takes in how many streams run or wait at the replica, and how many hold a permit for it. */
  observe(reported: number, permitted: number, nowMs: number): void {
    const difference = reported - permitted;
    const isFresh = nowMs < this.validUntilMs;
    this.mean = isFresh ? this.mean + SMOOTHING * (difference - this.mean) : difference * SMOOTHING;
    this.validUntilMs = nowMs + LIFETIME_MS;
  }

  /** Streams without a permit, as far as is known. */
  count(nowMs: number): number {
    return nowMs < this.validUntilMs ? Math.max(0, Math.round(this.mean)) : 0;
  }
}

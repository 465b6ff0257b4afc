/** A token bucket whose state is a single timestamp, so that idle buckets need no refill. */

/** Admits up to `ratePerSecond` units per second, with bursts of up to `burst` units. A new bucket is full. */
export class TokenBucket {
  /** Time at which the number of available units is 0; it is in the future while that number is negative. */
  private emptyAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private ratePerSecond: number,
    private burst: number,
  ) {}

  /** Changes rate and burst. The units in the bucket, or missing from it, scale with the rate. */
  configure(ratePerSecond: number, burst: number): void {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
  }

  /** Number of units that are available at `nowMs`; negative after more units were taken than were available. */
  available(nowMs: number): number {
    return Math.min(this.burst, ((nowMs - this.emptyAtMs) * this.ratePerSecond) / 1_000);
  }

  /** Takes `units`, even when fewer are available. */
  take(units: number, nowMs: number): void {
    const left = this.available(nowMs) - units;
    this.emptyAtMs = nowMs - (left * 1_000) / this.ratePerSecond;
  }

  /** Time until `units` are available, in milliseconds. */
  waitMs(units: number, nowMs: number): number {
    return Math.max(0, ((units - this.available(nowMs)) * 1_000) / this.ratePerSecond);
  }
}

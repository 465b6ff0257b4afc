/** A token bucket whose state is one time, so that idle buckets need no refill work. */

/** Admits up to `ratePerSecond` units a second with bursts of up to `burst` units. */
export class TokenBucket {
  private emptyAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private ratePerSecond: number,
    private burst: number,
  ) {}

  /** Changes rate and burst; the units in the bucket are kept. */
  configure(ratePerSecond: number, burst: number): void {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
  }

  /** Units that are available at `nowMs`. Negative after a forced take. */
  available(nowMs: number): number {
    return Math.min(this.burst, ((nowMs - this.emptyAtMs) * this.ratePerSecond) / 1_000);
  }

  /** Takes `units` even when they are not available. */
  take(units: number, nowMs: number): void {
    const left = this.available(nowMs) - units;
    this.emptyAtMs = nowMs - (left * 1_000) / this.ratePerSecond;
  }

  /** Time until `units` are available, in milliseconds. */
  waitMs(units: number, nowMs: number): number {
    return Math.max(0, ((units - this.available(nowMs)) * 1_000) / this.ratePerSecond);
  }
}

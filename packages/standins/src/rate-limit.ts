/** Rate limit as the hosting platform's services apply it: calls above the rate are refused, not delayed. */

/** Leaky bucket that admits `callsPerSecond`, with bursts of up to a tenth of that number of calls, but at least one. */
export class RateLimit {
  private level = 0;
  private updatedAtMs = performance.now();
  /** Number of admitted calls. */
  admitted = 0;
  /** Number of refused calls. */
  refused = 0;

  constructor(private readonly callsPerSecond: number) {}

  /** Counts one call and returns whether it is admitted. */
  admit(): boolean {
    const nowMs = performance.now();
    this.level = Math.max(0, this.level - ((nowMs - this.updatedAtMs) * this.callsPerSecond) / 1_000);
    this.updatedAtMs = nowMs;
    if (this.level + 1 > Math.max(1, this.callsPerSecond / 10)) {
      this.refused += 1;
      return false;
    }
    this.level += 1;
    this.admitted += 1;
    return true;
  }
}

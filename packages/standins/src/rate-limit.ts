/** A rate limit as the platform's services apply it: calls over the rate are refused. */

/** Counts calls and refuses those over a rate, with bursts of a tenth of a second. */
export class RateLimit {
  private level = 0;
  private updatedAtMs = performance.now();
  admitted = 0;
  refused = 0;

  constructor(private readonly callsPerSecond: number) {}

  /** Whether one more call is admitted. */
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

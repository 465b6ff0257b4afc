/** Retry budget: retries are a fraction of requests, so that they cannot multiply an overload. */

/** Allows retries up to a fraction of recent requests, with a small minimum a second. */
export class RetryBudget {
  private balance: number;
  private updatedAtMs = 0;

  constructor(
    private readonly fraction: number,
    private readonly minimumPerSecond: number,
    private readonly maximumBalance: number,
  ) {
    this.balance = maximumBalance;
  }

  /** Counts one first attempt. */
  onRequest(): void {
    this.balance = Math.min(this.maximumBalance, this.balance + this.fraction);
  }

  /** Takes one retry if the budget allows it. */
  tryRetry(nowMs: number): boolean {
    const elapsedSeconds = Math.max(0, nowMs - this.updatedAtMs) / 1_000;
    this.updatedAtMs = nowMs;
    this.balance = Math.min(this.maximumBalance, this.balance + elapsedSeconds * this.minimumPerSecond);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }

  /** Retries that are allowed now. */
  get available(): number {
    return this.balance;
  }
}

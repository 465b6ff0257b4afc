/** Retry budget: limits retries to a fraction of the requests, so that they cannot amplify an overload. */

/**
 * Allows `fraction` retries per request and at least `minimumPerSecond` retries per second. Unused retries add up
 * to at most `maximumBalance`, which is also the initial balance.
 */
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

  /** Counts the first attempt of a request. */
  onRequest(): void {
    this.balance = Math.min(this.maximumBalance, this.balance + this.fraction);
  }

  /** Takes one retry from the budget; returns false when fewer than one is left. */
  tryRetry(nowMs: number): boolean {
    const elapsedSeconds = Math.max(0, nowMs - this.updatedAtMs) / 1_000;
    this.updatedAtMs = nowMs;
    this.balance = Math.min(this.maximumBalance, this.balance + elapsedSeconds * this.minimumPerSecond);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }

  /** Number of retries left, as of the last call of `tryRetry` or `onRequest`; may be fractional. */
  get available(): number {
    return this.balance;
  }
}

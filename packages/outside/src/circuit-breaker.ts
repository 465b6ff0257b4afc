/** Circuit breaker with exponential back-off for the calls to one service. */

const INITIAL_OPEN_MS = 100;
const MAX_OPEN_MS = 3_000;

/**
 * Opens after `failureThreshold` consecutive failures and refuses calls for a jittered time, which doubles with each
 * further failure. After that time it is half open: one call at a time is admitted as a probe.
 */
export class CircuitBreaker {
  private failures = 0;
  private openUntilMs = 0;
  private probing = false;

  constructor(
    private readonly failureThreshold: number,
    private readonly random: () => number,
  ) {}

  /**
   * Whether a call may be made now. The caller has to report the result of an admitted call to `observe`, because no
   * other call is admitted while a probe is in progress.
   */
  admits(nowMs: number): boolean {
    if (this.failures < this.failureThreshold) return true;
    if (nowMs < this.openUntilMs || this.probing) return false;
    this.probing = true;
    return true;
  }

  /** Records the result of a call. */
  observe(succeeded: boolean, nowMs: number): void {
    this.probing = false;
    if (succeeded) {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    const exponent = Math.max(0, this.failures - this.failureThreshold);
    const openMs = Math.min(MAX_OPEN_MS, INITIAL_OPEN_MS * 2 ** exponent);
    this.openUntilMs = nowMs + openMs * (0.5 + this.random() / 2);
  }

  /** Whether the breaker is open or half open. */
  get isOpen(): boolean {
    return this.failures >= this.failureThreshold;
  }

  /** Returns the state for the state dump. */
  dump(): { failures: number; open: boolean } {
    return { failures: this.failures, open: this.isOpen };
  }
}

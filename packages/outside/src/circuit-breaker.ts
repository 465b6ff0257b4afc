/** Back-off and breaker towards one outside service. */

const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 3_000;

/** Opens after failures for a jittered time that doubles; one call at a time probes while it is half open. */
export class CallGuard {
  private failures = 0;
  private openUntilMs = 0;
  private probing = false;

  constructor(
    private readonly failuresToOpen: number,
    private readonly random: () => number,
  ) {}

  /** Whether a call may be made now. */
  admits(nowMs: number): boolean {
    if (this.failures < this.failuresToOpen) return true;
    if (nowMs < this.openUntilMs || this.probing) return false;
    this.probing = true;
    return true;
  }

  /** Takes in the end of a call. */
  observe(succeeded: boolean, nowMs: number): void {
    this.probing = false;
    if (succeeded) {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    const exponent = Math.max(0, this.failures - this.failuresToOpen);
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** exponent);
    this.openUntilMs = nowMs + pauseMs * (0.5 + this.random() / 2);
  }

  /** Whether calls are being refused. */
  get isOpen(): boolean {
    return this.failures >= this.failuresToOpen;
  }

  /** State for the dump. */
  dump(): { failures: number; open: boolean } {
    return { failures: this.failures, open: this.isOpen };
  }
}

/** Learns how long a token takes, to foresee when an item will be finished. */

const SMOOTHING = 0.05;
/** Until a run has been measured, in milliseconds a token; a full replica's step by the sheets. */
const INITIAL_MS_PER_TOKEN = 3.2;

/** Mean time for one token of one stream. */
export class RunTimeEstimate {
  private msPerToken = INITIAL_MS_PER_TOKEN;

  /** Takes in a run that produced `tokens` in `ranMs`. */
  observe(tokens: number, ranMs: number): void {
    if (tokens <= 0 || ranMs <= 0) return;
    this.msPerToken += SMOOTHING * (ranMs / tokens - this.msPerToken);
  }

  /** Time in which a stream makes `tokens`, in milliseconds. */
  runMs(tokens: number): number {
    return Math.max(0, tokens) * this.msPerToken;
  }
}

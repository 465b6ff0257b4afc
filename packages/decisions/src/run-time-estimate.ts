/** Learns how long a token takes, to foresee when an item will be finished. */

const SMOOTHING = 0.05;
/** Until a run has been measured, in milliseconds a token; a full replica's step by the sheets. */
const INITIAL_MS_PER_TOKEN = 3.2;
/** An item gives way in the bursts of online traffic: from start to end it takes this many times its run. */
const INTERRUPTED_FACTOR = 1.75;
/** What is left of a started item is worth finishing: it keeps a small margin only. */
const STARTED_FACTOR = 1.1;

/** Mean time for one token of one stream, and what follows for items of batch jobs. */
export class RunTimeEstimate {
  private msPerToken = INITIAL_MS_PER_TOKEN;

  /** Takes in a run that produced `tokens` in `ranMs`. */
  observe(tokens: number, ranMs: number): void {
    if (tokens <= 0 || ranMs <= 0) return;
    this.msPerToken += SMOOTHING * (ranMs / tokens - this.msPerToken);
  }

  /** Time until an item has its last `tokensLeft` tokens, with the times in which it gives way. */
  elapsedMs(tokensLeft: number, isStarted: boolean): number {
    const factor = isStarted ? STARTED_FACTOR : INTERRUPTED_FACTOR;
    return Math.max(0, tokensLeft) * this.msPerToken * factor;
  }
}

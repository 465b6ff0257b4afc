/** A rate limit that delays calls, in order, instead of refusing them. */
import type { Clock } from '@fighub/core';
import { sleep } from '@fighub/core';

/** Spaces calls to at most `callsPerSecond`, with bursts of up to one second's worth. */
export class CallBudget {
  private nextFreeMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly callsPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /** Waits for a place. False when the wait would be longer than `maxWaitMs`. */
  async take(maxWaitMs: number): Promise<boolean> {
    const nowMs = this.clock.monotonicMs();
    const intervalMs = 1_000 / this.callsPerSecond;
    const earliestMs = Math.max(this.nextFreeMs, nowMs - 1_000 + intervalMs);
    const waitMs = earliestMs - nowMs;
    if (waitMs > maxWaitMs) return false;
    this.nextFreeMs = earliestMs + intervalMs;
    if (waitMs > 0) await sleep(waitMs);
    return true;
  }
}

/** A rate limit that delays calls in order of arrival, and refuses a call only if its wait would be too long. */
import type { Clock } from '@fighub/core';
import { sleep } from '@fighub/core';

/** Limits calls to `callsPerSecond` on average. After a pause, the calls of one second may be made in a burst. */
export class CallBudget {
  private nextFreeMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly callsPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Waits until the next call may be made. Returns false at once, without using the budget, when the wait would be
   * longer than `maxWaitMs`.
   */
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

import type { Clock } from '@fighub/core';
import { WaitLimit } from '@fighub/core';
import type { StallLimits } from '@fighub/decisions';
import { StallDeadline } from '@fighub/decisions';

/** The timer is set for at least this time, as while it is suspended its deadline lies in the past. */
const MIN_PERIOD_MS = 10;

/** Calls `onStalled` once when a stream has stalled. Runs until then, or until it is stopped. */
export class StallTimer {
  private readonly deadline: StallDeadline;
  private limit: WaitLimit | undefined;
  private suspensions = 0;

  constructor(
    limits: StallLimits,
    private readonly clock: Clock,
    private readonly onStalled: () => void,
  ) {
    this.deadline = new StallDeadline(limits, clock.monotonicMs());
    this.schedule();
  }

  onBytes(): void {
    this.deadline.onBytes(this.clock.monotonicMs());
  }

  onEvent(): void {
    this.deadline.onEvent(this.clock.monotonicMs());
  }

  /** Does not count the time until `resumed`, in which the stream is not read. */
  suspend(resumed: Promise<void>): void {
    this.suspensions += 1;
    void resumed.then(() => {
      this.suspensions -= 1;
      this.onBytes();
      this.onEvent();
    });
  }

  stop(): void {
    this.limit?.clear();
  }

  /** The timer is not set anew with each part of a stream, but once it has expired. */
  private schedule(): void {
    const leftMs = Math.max(MIN_PERIOD_MS, this.deadline.atMs - this.clock.monotonicMs());
    this.limit = new WaitLimit(leftMs, () => {
      if (this.suspensions === 0 && this.clock.monotonicMs() >= this.deadline.atMs) this.onStalled();
      else this.schedule();
    });
  }
}

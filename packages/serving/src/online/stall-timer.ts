import type { Clock } from '@fighub/core';
import type { StallLimits } from '@fighub/decisions';
import { StallDeadline } from '@fighub/decisions';

/** Calls `onStalled` once when a stream has stalled. Runs until then, or until it is stopped. */
export class StallTimer {
  private readonly deadline: StallDeadline;
  private timer: NodeJS.Timeout | undefined;

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

  stop(): void {
    clearTimeout(this.timer);
  }

  /** The timer is not set anew with each part of a stream, but once it has expired. */
  private schedule(): void {
    const leftMs = Math.max(1, this.deadline.atMs - this.clock.monotonicMs());
    this.timer = setTimeout(() => {
      if (this.clock.monotonicMs() >= this.deadline.atMs) this.onStalled();
      else this.schedule();
    }, leftMs);
  }
}

/**
 * Limits of waits for something to arrive. When a process has been held up, its timers are due before it has read what the kernel received
 * meanwhile, so that a limit would take the process's own pause for the silence of another.
 */
import { timerMs } from './clock.js';

/** A timer that is later than this was held up by a pause of the process. */
const LATE_AFTER_MS = 50;

/** Calls back once a time is over and what had arrived by then has been handled, unless it is cleared before. */
export class WaitLimit {
  private readonly timer: NodeJS.Timeout;
  private turn: NodeJS.Immediate | undefined;

  /** `delayMs` is in milliseconds; one that is longer than a timer allows ends early. */
  constructor(delayMs: number, onOver: () => void) {
    this.timer = setTimeout(() => (this.turn = setImmediate(onOver)), timerMs(delayMs));
  }

  clear(): void {
    clearTimeout(this.timer);
    clearImmediate(this.turn);
  }
}

/** Runs periodic work that was due at `dueAtMs`, in monotonic time; after a pause of the process only once what has arrived is handled. */
export function runWhenRead(dueAtMs: number, work: () => void): void {
  if (performance.now() - dueAtMs > LATE_AFTER_MS) setImmediate(work);
  else work();
}

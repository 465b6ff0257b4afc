/** Time sources. Modules without I/O take times as arguments; only modules with I/O use a clock. */

/** Wall-clock and monotonic time, both in milliseconds. */
export interface Clock {
  /** Wall-clock time since the Unix epoch. Used for values that other processes or people read. */
  nowUnixMs(): number;
  /** Monotonic time of this process. Used for leases, timeouts and measurements. */
  monotonicMs(): number;
}

/** The clock of the operating system. */
export class SystemClock implements Clock {
  nowUnixMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}

/** A clock for tests, which advances only when the test calls `advance`. */
export class ManualClock implements Clock {
  constructor(private timeMs = 1_000) {}

  nowUnixMs(): number {
    return this.timeMs;
  }

  monotonicMs(): number {
    return this.timeMs;
  }

  /** Moves both times forward by `deltaMs`. */
  advance(deltaMs: number): void {
    this.timeMs += deltaMs;
  }
}

/** Longest delay of a timer of Node.js, about 25 days; a longer one would end at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The delay to set a timer with for a wait of `delayMs`, of which a very long one ends early and a negative one at once. */
export function timerMs(delayMs: number): number {
  return Math.min(MAX_TIMER_MS, Math.max(0, delayMs));
}

/** Resolves after `delayMs`, or as soon as `signal` is aborted. Never rejects. */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, timerMs(delayMs));
    signal?.addEventListener('abort', finish, { once: true });
  });
}

/** Sources of time. Pure modules take times as arguments; only I/O code holds a clock. */

/** Wall-clock and monotonic time, both in milliseconds. */
export interface Clock {
  /** Wall-clock time. Used for values that other processes or people read. */
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

/** A clock that tests move by hand. */
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

/** Resolves after `delayMs`, or earlier when `signal` is aborted. */
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
    const timer = setTimeout(finish, delayMs);
    signal?.addEventListener('abort', finish, { once: true });
  });
}

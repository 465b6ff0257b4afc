/** The loop that runs systems over their tables. */

/** Work that is done over entities each tick. */
export interface System {
  readonly name: string;
  /** Whether the system has entities that need it soon. An idle system is run more rarely. */
  readonly busy: boolean;
  /** Runs once. `nowMs` is monotonic time. */
  run(nowMs: number): void;
}

/** Periods of a loop, in milliseconds. */
export interface TickPeriods {
  readonly busyMs: number;
  readonly idleMs: number;
}

/** Runs systems periodically, and at once when woken. */
export class TickLoop {
  private timer: NodeJS.Timeout | undefined;
  private woken = false;
  private stopped = false;

  constructor(
    private readonly systems: readonly System[],
    private readonly periods: TickPeriods,
    private readonly onError: (error: unknown) => void,
  ) {}

  start(): void {
    this.schedule();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /** Schedules a run in the present turn of the event loop. */
  wake(): void {
    if (this.woken) return;
    this.woken = true;
    setImmediate(() => {
      this.woken = false;
      this.runAll();
      this.schedule();
    });
  }

  private schedule(): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    const busy = this.systems.some((system) => system.busy);
    this.timer = setTimeout(
      () => {
        this.runAll();
        this.schedule();
      },
      busy ? this.periods.busyMs : this.periods.idleMs,
    );
  }

  private runAll(): void {
    try {
      const nowMs = performance.now();
      this.systems.forEach((system) => system.run(nowMs));
    } catch (error) {
      this.onError(error);
    }
  }
}

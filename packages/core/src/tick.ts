/** The loop that runs systems over their tables. */

/** Work that is done over entities each tick. */
export interface System {
  readonly name: string;
  /** Runs once. `nowMs` is monotonic time. */
  run(nowMs: number): void;
}

/** Runs systems periodically, and at once when woken. */
export class TickLoop {
  private timer: NodeJS.Timeout | undefined;
  private woken = false;

  constructor(
    private readonly systems: readonly System[],
    private readonly periodMs: number,
    private readonly onError: (error: unknown) => void,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.runAll(), this.periodMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Schedules a run in the present turn of the event loop. */
  wake(): void {
    if (this.woken) return;
    this.woken = true;
    setImmediate(() => {
      this.woken = false;
      this.runAll();
    });
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

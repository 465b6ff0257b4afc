/** The loop that runs systems, which are units of periodic work over tables of entities. */

import { isFatalError } from './unexpected-error.js';

/** A unit of work that processes its entities in each tick. */
export interface System {
  readonly name: string;
  /** Whether the system has entities to process soon. The loop ticks less often when no system is busy. */
  readonly busy: boolean;
  /** Shortest time between two runs, however often the loop is woken; absent for none. */
  readonly minPeriodMs?: number;
  /** Processes all entities once. `nowMs` is monotonic time. */
  run(nowMs: number): void;
}

/** Where a loop reports errors. */
export interface TickErrors {
  /** An error after which the process cannot safely continue: a violated invariant, or a system that has failed too often in a row. */
  onFatal(error: unknown): void;
  /** Any other error. It ends only this run of the system. */
  onFailed(system: string, error: unknown): void;
}

/** Periods of a loop: while a system is busy, and while none is. */
export interface TickPeriods {
  readonly busyMs: number;
  readonly idleMs: number;
}

/** A system that fails this often in a row does not recover by itself. */
const MAX_FAILED_RUNS = 100;

/** Runs all systems periodically, and earlier when `wake` is called. An error of one system does not keep the others from running. */
export class TickLoop {
  private timer: NodeJS.Timeout | undefined;
  private woken = false;
  private stopped = false;
  /** When each system with a shortest time between runs may run again. */
  private readonly nextRunMs = new Map<System, number>();
  /** Number of the last runs of a system that failed; absent after a run that did not. */
  private readonly failedRuns = new Map<System, number>();

  constructor(
    private readonly systems: readonly System[],
    private readonly periods: TickPeriods,
    private readonly errors: TickErrors,
  ) {}

  start(): void {
    this.schedule();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /** Runs all systems at the end of the current turn of the event loop. Calls before that are merged into one run. */
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
    const nowMs = performance.now();
    this.systems
      .filter((system) => this.isDue(system, nowMs))
      .forEach((system) => this.runOne(system, nowMs));
  }

  private runOne(system: System, nowMs: number): void {
    try {
      system.run(nowMs);
      this.failedRuns.delete(system);
    } catch (error) {
      const failedRuns = (this.failedRuns.get(system) ?? 0) + 1;
      this.failedRuns.set(system, failedRuns);
      if (isFatalError(error) || failedRuns >= MAX_FAILED_RUNS) this.errors.onFatal(error);
      else this.errors.onFailed(system.name, error);
    }
  }

  private isDue(system: System, nowMs: number): boolean {
    if (system.minPeriodMs === undefined) return true;
    if (nowMs < (this.nextRunMs.get(system) ?? nowMs)) return false;
    this.nextRunMs.set(system, nowMs + system.minPeriodMs);
    return true;
  }
}

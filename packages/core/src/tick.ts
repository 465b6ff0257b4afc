/** The loop that runs systems, which are units of periodic work over tables of entities. */
import { runWhenRead } from './wait-limit.js';

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

/** Periods of a loop: while a system is busy, and while none is. */
export interface TickPeriods {
  readonly busyMs: number;
  readonly idleMs: number;
}

/**
 * Runs all systems periodically, and earlier when `wake` is called. When a system throws, the error and the name of the system are
 * passed to `onError`, and the other systems run as usual.
 */
export class TickLoop {
  private timer: NodeJS.Timeout | undefined;
  private woken = false;
  private stopped = false;
  /** When each system with a shortest time between runs may run again. */
  private readonly nextRunMs = new Map<System, number>();

  constructor(
    private readonly systems: readonly System[],
    private readonly periods: TickPeriods,
    private readonly onError: (error: unknown, systemName: string) => void,
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
      this.tick();
    });
  }

  private schedule(): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    const busy = this.systems.some((system) => this.isBusy(system));
    const periodMs = busy ? this.periods.busyMs : this.periods.idleMs;
    const dueAtMs = performance.now() + periodMs;
    this.timer = setTimeout(() => runWhenRead(dueAtMs, () => this.tick()), periodMs);
  }

  private tick(): void {
    if (this.stopped) return;
    this.runAll();
    this.schedule();
  }

  private runAll(): void {
    const nowMs = performance.now();
    this.systems
      .filter((system) => this.isDue(system, nowMs))
      .forEach((system) => this.guard(system, () => system.run(nowMs)));
  }

  private isBusy(system: System): boolean {
    return this.guard(system, () => system.busy) ?? false;
  }

  /** Returns undefined if the system throws. */
  private guard<T>(system: System, work: () => T): T | undefined {
    try {
      return work();
    } catch (error) {
      this.onError(error, system.name);
      return undefined;
    }
  }

  private isDue(system: System, nowMs: number): boolean {
    if (system.minPeriodMs === undefined) return true;
    if (nowMs < (this.nextRunMs.get(system) ?? nowMs)) return false;
    this.nextRunMs.set(system, nowMs + system.minPeriodMs);
    return true;
  }
}

import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { InvariantError, InvariantName } from './invariant.js';
import type { System } from './tick.js';
import { TickLoop } from './tick.js';

/** A system that counts its runs. */
class CountingSystem implements System {
  readonly name = 'counting';
  readonly busy = false;
  runs = 0;

  constructor(readonly minPeriodMs?: number) {}

  run(): void {
    this.runs += 1;
  }
}

const PERIODS = { busyMs: 10, idleMs: 50 };

function fail(error: unknown): never {
  throw error;
}

describe('TickLoop', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it('runs a system no more often than it asks for, however often the loop is woken', async () => {
    const [always, seldom] = [new CountingSystem(), new CountingSystem(10)];
    const loop = new TickLoop([always, seldom], PERIODS, {
      onFatal: fail,
      onFailed: (_, error) => fail(error),
    });
    loop.start();
    for (let wakes = 0; wakes < 100; wakes += 1) {
      loop.wake();
      await vi.advanceTimersByTimeAsync(1);
    }
    loop.stop();
    expect(always.runs).toBeGreaterThanOrEqual(100);
    expect(seldom.runs).toBe(10);
  });

  it('runs the other systems when one fails, and ends the process only for an invariant or a system that never recovers', () => {
    const after = new CountingSystem();
    const fatal: unknown[] = [];
    const failed: string[] = [];
    let thrown: Error | undefined = new Error('of one run');
    const failing: System = {
      name: 'failing',
      busy: true,
      run: () => {
        if (thrown) throw thrown;
      },
    };
    const loop = new TickLoop([failing, after], PERIODS, {
      onFatal: (error) => fatal.push(error),
      onFailed: (system) => failed.push(system),
    });
    const runFor = (runs: number): void => void vi.advanceTimersByTime(runs * PERIODS.busyMs);
    loop.start();
    runFor(99);
    expect([after.runs, failed.length, fatal]).toEqual([99, 99, []]);
    thrown = undefined;
    runFor(1);
    thrown = new Error('again');
    runFor(99);
    expect(fatal).toEqual([]);
    runFor(1);
    expect(fatal).toEqual([thrown]);
    thrown = new InvariantError(InvariantName.permitUsedOnce, {});
    runFor(1);
    expect(fatal[1]).toBe(thrown);
    loop.stop();
  });
});

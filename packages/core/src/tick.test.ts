import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

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

describe('TickLoop', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it('runs a system no more often than it asks for, however often the loop is woken', async () => {
    const [always, seldom] = [new CountingSystem(), new CountingSystem(10)];
    const loop = new TickLoop([always, seldom], { busyMs: 10, idleMs: 50 }, (error) => {
      throw error;
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

  it('runs no system after it was stopped, also when it had been woken before', async () => {
    const system = new CountingSystem();
    const loop = new TickLoop([system], { busyMs: 10, idleMs: 50 }, (error) => {
      throw error;
    });
    loop.start();
    loop.wake();
    loop.stop();
    loop.wake();
    await vi.advanceTimersByTimeAsync(200);
    expect(system.runs).toBe(0);
  });

  it('runs the other systems when one throws, in its run or when asked whether it is busy', async () => {
    const last = new CountingSystem();
    const failing: System = {
      name: 'failing',
      get busy(): boolean {
        throw new Error('busy');
      },
      run() {
        throw new Error('run');
      },
    };
    const failures: string[] = [];
    const loop = new TickLoop([failing, last], { busyMs: 10, idleMs: 50 }, (error, name) =>
      failures.push(`${name}: ${(error as Error).message}`),
    );
    loop.start();
    await vi.advanceTimersByTimeAsync(200);
    loop.stop();
    expect(last.runs).toBe(4);
    expect(new Set(failures)).toEqual(new Set(['failing: busy', 'failing: run']));
  });
});

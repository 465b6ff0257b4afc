import { describe, expect, it } from 'vitest';

import { ConnectTimeout } from './connect-timeout.js';

function observed(timesMs: readonly number[]): ConnectTimeout {
  const timeout = new ConnectTimeout();
  timesMs.forEach((tookMs) => timeout.onConnected(tookMs));
  return timeout;
}

const manyOf = (tookMs: number): number[] => Array.from({ length: 50 }, () => tookMs);

describe('ConnectTimeout', () => {
  it('allows the longest time before attempts were observed', () => {
    expect(new ConnectTimeout().timeoutMs).toBe(400);
    expect(observed([3, 3]).timeoutMs).toBe(400);
  });

  it('gives up early on a replica that does not respond, so that a second replica can meet a target of 300 ms', () => {
    expect(observed(manyOf(4)).timeoutMs).toBeLessThan(100);
  });

  it('follows connections that take longer, as between distant failure domains', () => {
    const { timeoutMs } = observed([...manyOf(4), ...manyOf(120)]);
    expect(timeoutMs).toBeGreaterThan(120);
    expect(timeoutMs).toBeLessThanOrEqual(400);
  });

  it('waits longer after each timeout in a row, and follows the estimate again after a success', () => {
    const timeout = observed(manyOf(4));
    const firstMs = timeout.timeoutMs;
    timeout.onTimeout();
    expect(timeout.timeoutMs).toBe(2 * firstMs);
    Array.from({ length: 10 }).forEach(() => timeout.onTimeout());
    expect(timeout.timeoutMs).toBe(400);
    timeout.onConnected(4);
    expect(timeout.timeoutMs).toBe(firstMs);
  });
});

import { describe, expect, it } from 'vitest';

import { RequestRate, instancesSharing } from './request-rate.js';

/** The requests that a replica with a limit gets if one is sent as soon as it is allowed. */
function sentWithin(rate: RequestRate, fromMs: number, untilMs: number): number {
  let sent = 0;
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 1) {
    if (rate.available(nowMs) < 1) continue;
    rate.take(nowMs);
    sent += 1;
  }
  return sent;
}

describe('RequestRate', () => {
  it.each([0.5, 2.8, 10, 1_000])('keeps to %s requests a second', (limit) => {
    const rate = new RequestRate();
    rate.setLimit(limit, 0);
    expect(sentWithin(rate, 0, 4_000)).toBeGreaterThan(0.9 * 4 * Math.min(limit, 1_000) - 1);
    // Also after a pause, the platform allows one and a half times the limit and five more in 4 s.
    expect(sentWithin(rate, 100_000, 104_000)).toBeLessThanOrEqual(6 * limit + 5);
  });

  it('sends a request now and then to a replica with a limit of 0, to learn when it ends', () => {
    const rate = new RequestRate();
    rate.setLimit(0, 0);
    expect(sentWithin(rate, 0, 20_000)).toBe(4);
  });

  it('has no limit at first and when it is removed', () => {
    const rate = new RequestRate();
    expect(rate.available(0)).toBe(Number.POSITIVE_INFINITY);
    rate.setLimit(1, 0);
    rate.setLimit(undefined, 10);
    expect(rate.available(10)).toBe(Number.POSITIVE_INFINITY);
  });

  it('keeps what has been sent when the limit changes', () => {
    const rate = new RequestRate();
    rate.setLimit(2, 0);
    rate.take(1_000);
    rate.setLimit(4, 1_000);
    expect(rate.available(1_000)).toBeLessThanOrEqual(2);
  });

  it('tells which part of its burst is used up', () => {
    const rate = new RequestRate();
    expect(rate.usedFraction(0)).toBe(0);
    rate.setLimit(4, 0);
    expect(rate.usedFraction(0)).toBe(1);
    expect(rate.usedFraction(10_000)).toBe(0);
  });

  it('uses only its share of a limit', () => {
    const rate = new RequestRate();
    rate.setLimit(10, 0, 1 / 5);
    expect(sentWithin(rate, 0, 4_000)).toBeLessThanOrEqual(8);
  });

  it('follows its share, as when instances join', () => {
    const rate = new RequestRate();
    rate.setLimit(10, 0, 1 / 2);
    rate.setLimit(10, 0, 1 / 10);
    expect(sentWithin(rate, 0, 8_000)).toBeLessThanOrEqual(8);
  });

  it('allows each of the instances that share a limit a whole request', () => {
    const instanceIds = Array.from({ length: 330 }, (_, index) => `i${String(index)}`);
    const starved = Array.from({ length: 100 }, (_, limit) => limit).filter((limit) => {
      const rate = new RequestRate();
      rate.setLimit(limit, 0, 1 / instancesSharing('r', limit, instanceIds).length);
      return rate.available(3_600_000) < 1;
    });
    expect(starved).toEqual([]);
  });
});

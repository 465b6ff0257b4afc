import { describe, expect, it } from 'vitest';

import { StallDeadline } from './stream-stall.js';

const LIMITS = { silenceMs: 900, eventGapMs: 1_800 };

/** Passes a stream on, of which something arrives at each of `arrivals`. Returns when it has stalled. */
function stalledAt(arrivals: readonly { atMs: number; isEvent: boolean }[]): number {
  const deadline = new StallDeadline(LIMITS, 0);
  const stalledBefore = arrivals.find(({ atMs, isEvent }) => {
    if (atMs >= deadline.atMs) return true;
    deadline.onBytes(atMs);
    if (isEvent) deadline.onEvent(atMs);
    return false;
  });
  return stalledBefore ? deadline.atMs : Number.POSITIVE_INFINITY;
}

function arrivalsEvery(periodMs: number, isEvent: boolean): { atMs: number; isEvent: boolean }[] {
  return Array.from({ length: 50 }, (_, index) => ({ atMs: (index + 1) * periodMs, isEvent }));
}

describe('StallDeadline', () => {
  it('lets a slow stream go on whose events keep coming', () => {
    expect(stalledAt(arrivalsEvery(899, true))).toBe(Number.POSITIVE_INFINITY);
  });

  it('ends a stream that sends a byte now and then without completing an event', () => {
    expect(stalledAt(arrivalsEvery(300, false))).toBe(1_800);
  });

  it('ends a stream that falls silent', () => {
    expect(stalledAt([...arrivalsEvery(100, true).slice(0, 5), { atMs: 5_000, isEvent: true }])).toBe(1_400);
  });
});

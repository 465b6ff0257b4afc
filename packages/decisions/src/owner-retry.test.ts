import { describe, expect, it } from 'vitest';

import { nextAsk } from './owner-retry.js';

const FIRST_ASK_TIMEOUT_MS = 60;
const START_LIMIT_MS = 225;
const QUEUE_LIMIT_MS = 1_500;
/** A failed owner is replaced within this time. */
const REPLACEMENT_MS = 600;
const ARRIVALS = Array.from({ length: 40 }, (_, index) => index * 5);

/**
 * Replays arrivals while no owner responds until `pausedUntilMs`, with no share left. Returns how many an owner accepts, how many of
 * them in time, and the longest time until a request is refused.
 */
function replay(pausedUntilMs: number, lacksLimitShare = false) {
  const ends = ARRIVALS.map((atMs) => {
    let nowMs = atMs + FIRST_ASK_TIMEOUT_MS;
    const limits = { startByUnixMs: atMs + START_LIMIT_MS, deadlineUnixMs: atMs + QUEUE_LIMIT_MS };
    for (let asks = 1; pausedUntilMs >= nowMs; asks += 1) {
      const ask = nextAsk({ asks, ...limits, lacksLimitShare }, nowMs);
      if (!ask) return { accepted: false, inTime: false, heldMs: nowMs - atMs };
      nowMs += ask.timeoutMs;
    }
    return { accepted: true, inTime: pausedUntilMs <= limits.startByUnixMs, heldMs: 0 };
  });
  return {
    accepted: ends.filter(({ accepted }) => accepted).length,
    inTime: ends.filter(({ inTime }) => inTime).length,
    longestRefusalMs: Math.max(...ends.map(({ heldMs }) => heldMs)),
  };
}

describe('nextAsk', () => {
  it.each([70, 100, 150, 175])('lets the owner accept all requests after a pause of %s ms', (pausedMs) => {
    expect(replay(pausedMs)).toMatchObject({ accepted: ARRIVALS.length, inTime: ARRIVALS.length });
  });

  it('does not hold the requests of an owner that has failed until their start limit', () => {
    const { accepted, longestRefusalMs } = replay(Number.POSITIVE_INFINITY);
    expect(accepted).toBe(0);
    expect(longestRefusalMs).toBeLessThan(START_LIMIT_MS);
  });

  it.each([400, REPLACEMENT_MS])(
    'refuses no organisation that may be within its limit while the owner starts or is replaced for %s ms',
    (pausedMs) => {
      expect(replay(pausedMs, true).accepted).toBe(ARRIVALS.length);
      expect(replay(pausedMs).accepted).toBeLessThan(ARRIVALS.length / 2);
    },
  );

  it('holds no request longer than until its deadline', () => {
    expect(replay(Number.POSITIVE_INFINITY, true).longestRefusalMs).toBe(QUEUE_LIMIT_MS);
  });

  it('ends with the time by which the request has to start', () => {
    const request = { asks: 1, startByUnixMs: 1_050, deadlineUnixMs: 1_080, lacksLimitShare: false };
    expect(nextAsk(request, 1_000)).toEqual({ timeoutMs: 50, mayStartLate: false });
    expect(nextAsk(request, 1_050)).toBeUndefined();
    expect(nextAsk({ ...request, asks: 2 }, 1_000)).toBeUndefined();
    expect(nextAsk({ ...request, lacksLimitShare: true }, 1_050)).toEqual({
      timeoutMs: 30,
      mayStartLate: true,
    });
  });
});

import { describe, expect, it } from 'vitest';

import { secondAskTimeoutMs } from './owner-retry.js';

const FIRST_ASK_TIMEOUT_MS = 60;
const START_LIMIT_MS = 225;
const ARRIVALS = Array.from({ length: 40 }, (_, index) => index * 5);

/**
 * Replays arrivals while the owner does not run until `pausedUntilMs`, with no share of the slots left. Returns how many the
 * owner accepts, and the longest time until a request is refused.
 */
function replay(pausedUntilMs: number) {
  const ends = ARRIVALS.map((atMs) => {
    const askedAgainMs = atMs + FIRST_ASK_TIMEOUT_MS;
    if (pausedUntilMs < askedAgainMs) return { accepted: true, heldMs: 0 };
    const timeoutMs = secondAskTimeoutMs(atMs + START_LIMIT_MS, askedAgainMs) ?? 0;
    const accepted = pausedUntilMs < askedAgainMs + timeoutMs;
    return { accepted, heldMs: accepted ? 0 : FIRST_ASK_TIMEOUT_MS + timeoutMs };
  });
  return {
    accepted: ends.filter(({ accepted }) => accepted).length,
    longestRefusalMs: Math.max(...ends.map(({ heldMs }) => heldMs)),
  };
}

describe('secondAskTimeoutMs', () => {
  it.each([70, 100, 150, 175])('lets the owner accept all requests after a pause of %s ms', (pausedMs) => {
    expect(replay(pausedMs).accepted).toBe(ARRIVALS.length);
  });

  it('does not hold the requests of an owner that has failed until their start limit', () => {
    const { accepted, longestRefusalMs } = replay(Number.POSITIVE_INFINITY);
    expect(accepted).toBe(0);
    expect(longestRefusalMs).toBeLessThan(START_LIMIT_MS);
  });

  it('ends with the time by which the request has to start', () => {
    expect(secondAskTimeoutMs(1_050, 1_000)).toBe(50);
    expect(secondAskTimeoutMs(1_000, 1_000)).toBeUndefined();
  });
});

import { describe, expect, it } from 'vitest';

import { RequestDurations, stopSchedule, takesLateRequest } from './late-requests.js';

const SCHEDULE = stopSchedule(0, 8_000, 2_600);

/** Replays requests that arrive every 20 ms through the grace period, and returns how many were taken, in vain, and refused needlessly. */
function replay(durationOf: (index: number) => number, isRepeatable: boolean, timeoutMs = 20_000) {
  const durations = new RequestDurations();
  Array.from({ length: 64 }, (_, index) => durations.observe('r', durationOf(index)));
  const requests = Array.from({ length: 400 }, (_, index) => {
    const nowMs = index * 20;
    const endsAtMs = nowMs + durationOf(index + 64);
    const expected = durations.expected('r');
    const isTaken = takesLateRequest(
      { nowMs, deadlineMs: nowMs + timeoutMs, isRepeatable, expected },
      SCHEDULE,
    );
    const endsInTime = Math.min(endsAtMs, nowMs + timeoutMs) <= SCHEDULE.answerByMs;
    return { nowMs, isTaken, endsInTime };
  });
  return {
    taken: requests.filter(({ isTaken }) => isTaken).length,
    inVain: requests.filter(({ isTaken, endsInTime }) => isTaken && !endsInTime),
    refusedInNotice: requests.filter(
      ({ nowMs, isTaken, endsInTime }) => !isTaken && endsInTime && nowMs < SCHEDULE.noticeEndsAtMs,
    ).length,
  };
}

/** Durations that repeat in an order without a pattern, between `fromMs` and `toMs`. */
const between =
  (fromMs: number, toMs: number) =>
  (index: number): number =>
    fromMs + ((index * 7_919) % 61) * ((toMs - fromMs) / 60);

describe('takesLateRequest', () => {
  // Guards against requests that are taken late in the grace period and cut at its end.
  it.each([
    [10, 60],
    [500, 1_500],
    [1_000, 3_000],
    [3_000, 6_500],
    [9_000, 12_000],
  ])('takes no request in vain that may run once: %d to %d ms', (fromMs, toMs) => {
    expect(replay(between(fromMs, toMs), false).inVain).toEqual([]);
  });

  it.each([
    [10, 60, 380],
    [500, 1_500, 320],
    [1_000, 3_000, 200],
  ])('goes on to take requests while they can end: %d to %d ms', (fromMs, toMs, count) => {
    expect(replay(between(fromMs, toMs), false).taken).toBeGreaterThan(count * 0.8);
    expect(replay(between(fromMs, toMs), false).refusedInNotice).toBe(0);
  });

  it('takes requests in the notice by their usual duration if they may be repeated', () => {
    const durationOf = (index: number): number => (index % 20 === 0 ? 7_000 : 500);
    const { inVain, refusedInNotice } = replay(durationOf, true);
    expect(refusedInNotice).toBe(0);
    expect(inVain.every(({ nowMs }) => nowMs < SCHEDULE.noticeEndsAtMs)).toBe(true);
    expect(replay(durationOf, false).inVain).toEqual([]);
  });

  it('takes a request that its deadline ends in time, whatever it lasts', () => {
    const { inVain, taken } = replay(() => 30_000, false, 2_000);
    expect(inVain).toEqual([]);
    expect(taken).toBe(Math.floor((SCHEDULE.answerByMs - 2_000) / 20) + 1);
  });

  it('takes none of unknown duration whose deadline is later', () => {
    const request = { nowMs: 0, deadlineMs: 7_500, isRepeatable: true, expected: undefined };
    expect(takesLateRequest(request, SCHEDULE)).toBe(false);
  });
});

describe('stopSchedule', () => {
  it.each([500, 2_500, 8_000, 30_000])(
    'leaves time to answer and to clean up in a grace of %d ms',
    (graceMs) => {
      const { noticeEndsAtMs, answerByMs, closeByMs } = stopSchedule(100, graceMs, 2_600);
      expect(noticeEndsAtMs - 100).toBeLessThanOrEqual(graceMs / 3);
      expect(answerByMs).toBeLessThan(closeByMs);
      expect(closeByMs).toBeLessThan(100 + graceMs);
      // A request that still runs in the last sixth of the grace may be broken off.
      expect(answerByMs - 100).toBeGreaterThan((graceMs * 5) / 6);
    },
  );
});

describe('RequestDurations', () => {
  it('keeps the latest durations of the latest kinds', () => {
    const durations = new RequestDurations();
    durations.observe('a', 9_000);
    Array.from({ length: 64 }, () => durations.observe('a', 10));
    expect(durations.expected('a')).toEqual({ usualMs: 10, longestMs: 10 });
    Array.from({ length: 500 }, (_, index) => durations.observe(`k${String(index)}`, 1));
    expect(durations.expected('a')).toBeUndefined();
  });
});

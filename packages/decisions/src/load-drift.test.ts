import { describe, expect, it } from 'vitest';

import { LoadDrift } from './load-drift.js';

function observe(drift: LoadDrift, reports: readonly number[], permitted: number): number {
  reports.forEach((reported, index) =>
    drift.observe({ reported, permitted, settled: permitted }, index * 100),
  );
  return reports.length * 100;
}

describe('LoadDrift', () => {
  it('finds one stream without a permit behind the noise of streams that begin and end', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [6, 5, 7, 6, 6, 5, 7, 6], 5);
    expect(drift.unknownStreams(nowMs)).toBe(1);
    expect(drift.endedStreams(nowMs)).toBe(0);
  });

  it('counts none where the noise has no bias', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [5, 4, 6, 5, 5, 4, 6, 5], 5);
    expect(drift.unknownStreams(nowMs)).toBe(0);
    expect(drift.endedStreams(nowMs)).toBe(0);
  });

  it('sees many at once', () => {
    const drift = new LoadDrift();
    drift.observe({ reported: 13, permitted: 5, settled: 5 }, 0);
    expect(drift.unknownStreams(0)).toBe(3);
  });

  it('finds permits whose streams have ended', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [3, 3, 3, 3, 3, 3], 8);
    expect(drift.endedStreams(nowMs)).toBe(4);
  });

  it('does not take permits for ended whose streams are on their way', () => {
    const drift = new LoadDrift();
    drift.observe({ reported: 3, permitted: 8, settled: 3 }, 0);
    expect(drift.endedStreams(0)).toBe(0);
  });

  it('forgets an old report', () => {
    const drift = new LoadDrift();
    observe(drift, [9], 5);
    expect(drift.unknownStreams(700)).toBe(0);
  });
});

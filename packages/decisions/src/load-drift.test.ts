import { describe, expect, it } from 'vitest';

import { LoadDrift } from './load-drift.js';

function observe(drift: LoadDrift, reports: readonly number[], permitted: number): number {
  reports.forEach((reported, index) =>
    drift.observe({ reported, permitted, settled: permitted }, index * 100),
  );
  return reports.length * 100;
}

describe('LoadDrift', () => {
  it('detects one stream without a permit although streams begin and end between report and arrival', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [6, 5, 7, 6, 6, 5, 7, 6], 5);
    expect(drift.unknownStreams(nowMs)).toBe(1);
    expect(drift.endedStreams(nowMs)).toBe(0);
  });

  it('detects nothing when the reports deviate equally in both directions', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [5, 4, 6, 5, 5, 4, 6, 5], 5);
    expect(drift.unknownStreams(nowMs)).toBe(0);
    expect(drift.endedStreams(nowMs)).toBe(0);
  });

  it('detects many streams without a permit from a single report', () => {
    const drift = new LoadDrift();
    drift.observe({ reported: 13, permitted: 5, settled: 5 }, 0);
    expect(drift.unknownStreams(0)).toBe(3);
  });

  it('detects permits whose streams have ended', () => {
    const drift = new LoadDrift();
    const nowMs = observe(drift, [3, 3, 3, 3, 3, 3], 8);
    expect(drift.endedStreams(nowMs)).toBe(4);
  });

  it('does not count permits as ended whose streams have not reached the replica yet', () => {
    const drift = new LoadDrift();
    drift.observe({ reported: 3, permitted: 8, settled: 3 }, 0);
    expect(drift.endedStreams(0)).toBe(0);
  });

  it('ignores an old report', () => {
    const drift = new LoadDrift();
    observe(drift, [9], 5);
    expect(drift.unknownStreams(700)).toBe(0);
  });
});

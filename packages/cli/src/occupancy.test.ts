import { describe, expect, it } from 'vitest';

import { formatOccupancy, occupancyOf } from './occupancy.js';
import { parseLines } from './trace.js';

const LINES = [
  '{"time":2000,"event":"sent","replicaId":"r1","permitId":"owner-1/1/pool/7","ranMs":1000}',
  '{"time":2000,"event":"item_run","replicaId":"r2","permitId":"owner-1/1/pool/8","ranMs":400,"leftOut":3}',
  '{"time":1600,"event":"send_failed","replicaId":"r1","permitId":"front-1/direct/1","ranMs":600}',
  '{"time":1700,"event":"request_failed","requestId":"q"}',
];

describe('occupancyOf', () => {
  it('counts the streams at each replica and by the granter of their slots', () => {
    const { steps, linesLeftOut } = occupancyOf(parseLines(LINES), 500);
    expect(linesLeftOut).toBe(3);
    expect(steps.map((step) => formatOccupancy(step, 1_000))).toEqual([
      '     +0 ms     2 streams  r1=2  granted by direct=1 owner-1=1',
      '   +500 ms     2 streams  r1=2  granted by direct=1 owner-1=1',
    ]);
  });

  it('has no steps if no line is about a stream', () => {
    expect(occupancyOf(parseLines(LINES.slice(3)), 500)).toEqual({ steps: [], linesLeftOut: 0 });
  });
});

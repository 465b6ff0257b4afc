import { DecisionLog, Metrics } from '@fighub/core';
import { expect, it } from 'vitest';

import { MemoryWatch } from './memory-watch.js';

const MB = 1_048_576;

it('says once that the heap or the memory is nearly full, before the process is ended for it, and when it is not', () => {
  const lines: object[] = [];
  const keep = (fields: object): void => void lines.push(fields);
  const clock = { monotonicMs: () => 0, nowUnixMs: () => 0 };
  const log = new DecisionLog({ info: keep, warn: keep }, clock, new Metrics());
  const use = { heapUsedBytes: 20 * MB, heapLimitBytes: 160 * MB, residentBytes: 90 * MB };
  const watch = new MemoryWatch(350, log, () => use);
  const readings: [number, number][] = [
    [20, 90],
    [130, 150],
    [145, 160],
    [120, 160],
    [20, 100],
    [20, 300],
    [20, 90],
  ];
  readings.forEach(([heapMb, residentMb]) => {
    Object.assign(use, { heapUsedBytes: heapMb * MB, residentBytes: residentMb * MB });
    watch.run();
  });
  expect(lines).toMatchObject([
    { event: 'memory_high', heapUsedMb: 130, heapLimitMb: 160, residentMb: 150, memoryMb: 350 },
    { event: 'memory_normal', heapUsedMb: 20 },
    { event: 'memory_high', residentMb: 300 },
    { event: 'memory_normal', residentMb: 90 },
  ]);
});

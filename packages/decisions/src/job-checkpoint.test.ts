import { describe, expect, it } from 'vitest';

import { outputsToSave, shouldCheckpoint } from './job-checkpoint.js';

describe('shouldCheckpoint', () => {
  it('requires both the checkpoint period and the minimum number of unsaved events', () => {
    expect(shouldCheckpoint(100, 1_999)).toBe(false);
    expect(shouldCheckpoint(59, 9_000)).toBe(false);
    expect(shouldCheckpoint(60, 2_000)).toBe(true);
  });
});

describe('outputsToSave', () => {
  it('omits the outputs with the fewest events when not all fit', () => {
    const output = (index: number, lastEventId: number) => ({
      index,
      lastEventId,
      text: 'x'.repeat(200_000),
    });
    const saved = outputsToSave([output(0, 5), output(1, 9), output(2, 7)]);
    expect(saved.map((entry) => entry.index)).toEqual([1, 2]);
  });
});

import { describe, expect, it } from 'vitest';

import { missedBounds } from './experiment.js';
import { SOAK_BOUNDS, Soak } from './soak.js';

const FAULT_COUNT = 5;
const TEST_TIMEOUT_MS = 300_000;

describe('a short soak run', () => {
  it.each([1, 2])(
    'meets all bounds with seed %i',
    async (seed) => {
      const notes: string[] = [];
      const { figures } = await new Soak(seed, { faults: FAULT_COUNT }, (line) => notes.push(line)).run();
      const missed = missedBounds(SOAK_BOUNDS, figures);
      expect(missed, `${JSON.stringify(figures)}\n${notes.join('\n')}`).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});

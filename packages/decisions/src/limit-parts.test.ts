import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { partOfStreams } from './limit-parts.js';

describe('partOfStreams', () => {
  it('returns parts that add up to the limit for any number of pools', () => {
    fc.assert(
      fc.property(fc.nat(50), fc.integer({ min: 1, max: 20 }), fc.string(), (limit, count, organisation) => {
        const pools = Array.from({ length: count }, (_, index) => `m@d${String(index)}`);
        const parts = pools.map((pool) => partOfStreams(limit, organisation, pool, pools));
        expect(parts.reduce((sum, part) => sum + part, 0)).toBe(limit);
      }),
      { seed: 21, numRuns: 200 },
    );
  });
});

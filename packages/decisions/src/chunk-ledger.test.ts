import type { ItemResult } from '@fighub/core';
import { InvariantError } from '@fighub/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { applyCommit, emptyLedger, isComplete, openOffsets, takeLease } from './chunk-ledger.js';

function result(index: number): ItemResult {
  return { index, customId: String(index), status: 'succeeded' };
}

describe('chunk ledger', () => {
  it('increments the epoch with each lease', () => {
    const first = takeLease(emptyLedger(3), 'a');
    expect(takeLease(first, 'b')).toMatchObject({ epoch: 2, holder: 'b' });
  });

  it('throws an invariant error when an item is committed twice', () => {
    const once = applyCommit(emptyLedger(3), { firstIndex: 10, results: [result(11)], attempts: [] });
    const again = (): unknown => applyCommit(once, { firstIndex: 10, results: [result(11)], attempts: [] });
    expect(again).toThrow(InvariantError);
  });

  it('keeps counts and open offsets consistent for any sequence of commits', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 40 }),
        fc.infiniteStream(fc.integer({ min: 1, max: 7 })),
        (count, sizes) => {
          let ledger = emptyLedger(count);
          while (!isComplete(ledger)) {
            const open = openOffsets(ledger);
            const taken = open.slice(0, sizes.next().value as number);
            ledger = applyCommit(ledger, { firstIndex: 0, results: taken.map(result), attempts: [] });
            expect(openOffsets(ledger)).toEqual(open.slice(taken.length));
          }
          expect(ledger.doneCount).toBe(count);
        },
      ),
      { seed: 11, numRuns: 100 },
    );
  });
});

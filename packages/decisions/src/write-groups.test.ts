import { describe, expect, it } from 'vitest';

import { groupWrites } from './write-groups.js';

describe('groupWrites', () => {
  it('puts the commits of eight jobs with two keys each into one transaction', () => {
    const writes = Array.from({ length: 20 }, () => ({ keys: 2, bytes: 1_000 }));
    expect(groupWrites(writes).map((group) => group.length)).toEqual([8, 8, 4]);
  });

  it('limits the bytes of a transaction, and leaves a large write by itself', () => {
    const writes = [400_000, 500_000, 200_000, 2_000_000, 10].map((bytes) => ({ keys: 1, bytes }));
    expect(groupWrites(writes).map((group) => group.map(({ bytes }) => bytes))).toEqual([
      [400_000, 500_000],
      [200_000],
      [2_000_000],
      [10],
    ]);
  });
});

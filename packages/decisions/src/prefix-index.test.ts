import { describe, expect, it } from 'vitest';

import { PrefixIndex } from './prefix-index.js';

describe('PrefixIndex', () => {
  it('forgets what a report no longer names', () => {
    const index = new PrefixIndex();
    index.add('p', 'r', 0);
    index.applyReport('r', [], 2_000);
    expect(index.holds('p', 'r')).toBe(false);
  });

  it('keeps a dispatch that is newer than a report can be', () => {
    const index = new PrefixIndex();
    index.add('p', 'r', 1_000);
    index.applyReport('r', [], 1_200);
    expect(index.holds('p', 'r')).toBe(true);
  });

  it('learns what others have brought to a replica', () => {
    const index = new PrefixIndex();
    index.applyReport('r', ['p'], 0);
    expect(index.holds('p', 'r')).toBe(true);
    index.applyReport('r', [], 100);
    expect(index.holds('p', 'r')).toBe(false);
  });
});

import { describe, expect, it } from 'vitest';

import { PrefixIndex } from './prefix-index.js';

describe('PrefixIndex', () => {
  it('removes a prefix that a report no longer lists', () => {
    const index = new PrefixIndex();
    index.add('p', 'r', 0);
    index.applyReport('r', [], 2_000);
    expect(index.holds('p', 'r')).toBe(false);
  });

  it('keeps a prefix that was added too recently to be listed in a report', () => {
    const index = new PrefixIndex();
    index.add('p', 'r', 1_000);
    index.applyReport('r', [], 1_200);
    expect(index.holds('p', 'r')).toBe(true);
  });

  it('adds prefixes that only the report of a replica lists', () => {
    const index = new PrefixIndex();
    index.applyReport('r', ['p'], 0);
    expect(index.holds('p', 'r')).toBe(true);
    index.applyReport('r', [], 100);
    expect(index.holds('p', 'r')).toBe(false);
  });

  it('does not count an empty digest as a cached prefix', () => {
    const index = new PrefixIndex();
    index.add('', 'r', 0);
    index.applyReport('r', [''], 0);
    expect(index.holds('', 'r')).toBe(false);
    expect(index.replicasOf('')).toEqual([]);
  });
});

import type { StoredItem } from '@fighub/core';
import type { RecordStore } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { InputCache } from './input-cache.js';

const MEGABYTE = 1_000_000;

function items(bytes: number): StoredItem[] {
  return [{ itemId: 'i', target: '/t', headers: [], bodyBase64: 'x'.repeat(bytes), tokens: 1 }];
}

/** The jobs that a cache of 10 MB keeps of these, with their sizes in bytes, added in this order. */
function keptOf(sizes: readonly number[]): string[] {
  const cache = new InputCache({} as RecordStore, 10 * MEGABYTE);
  const ids = sizes.map((_, index) => `j${String(index)}`);
  ids.forEach((jobId, index) => cache.put(jobId, items(sizes[index] ?? 0)));
  return ids.filter((jobId) => cache.cached(jobId) !== undefined);
}

describe('InputCache', () => {
  // Guards against large jobs that fill the memory of the process, although their number is bounded.
  it('keeps the newest jobs that fit into its bytes', () => {
    expect(keptOf(Array.from({ length: 60 }, () => 3.9 * MEGABYTE))).toEqual(['j58', 'j59']);
    expect(keptOf([1_000, 20 * MEGABYTE, 1_000])).toEqual(['j2']);
  });

  it('keeps no more than a number of small jobs, and counts a job once that is added again', () => {
    expect(keptOf(Array.from({ length: 100 }, () => 10))).toHaveLength(80);
    const cache = new InputCache({} as RecordStore, 10 * MEGABYTE);
    Array.from({ length: 5 }).forEach(() => cache.put('j', items(4 * MEGABYTE)));
    cache.put('k', items(4 * MEGABYTE));
    expect(cache.cached('j')).toBeDefined();
  });
});

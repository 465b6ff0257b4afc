import { describe, expect, it, vi } from 'vitest';

import { BodyParts } from './body-parts.js';

/** Collects parts of these sizes, and returns the body and the largest number of parts that were kept. */
function collect(sizes: readonly number[]) {
  const parts = new BodyParts();
  const sent = sizes.map((size, index) => Buffer.alloc(size, index % 251));
  let most = 0;
  sent.forEach((part) => {
    parts.add(part);
    most = Math.max(most, parts.count);
  });
  return { most, isWhole: parts.whole().equals(Buffer.concat(sent)) };
}

describe('BodyParts', () => {
  it.each([
    ['one byte each', Array.from({ length: 100_000 }, () => 1)],
    ['growing', Array.from({ length: 500 }, (_, index) => index)],
    ['falling', Array.from({ length: 500 }, (_, index) => 500 - index)],
    ['some hundred bytes', Array.from({ length: 2_000 }, (_, index) => 100 + ((index * 7_919) % 900))],
  ])('keeps few parts and the order of the bytes: %s', (_, sizes) => {
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    const { most, isWhole } = collect(sizes);
    expect(isWhole).toBe(true);
    expect(most).toBeLessThanOrEqual(16 + bytes / 16_384);
  });

  it('keeps large parts as they are', () => {
    expect(collect(Array.from({ length: 64 }, () => 65_536))).toEqual({ most: 64, isWhole: true });
  });

  it.each([1, 100, 5_000, 20_000])('states the memory that parts of %i bytes take', (size) => {
    const parts = new BodyParts();
    const allocated = vi.spyOn(Buffer, 'allocUnsafeSlow');
    let statedBytes = 0;
    Array.from({ length: 500 }, () => {
      statedBytes += parts.memoryFor(size);
      parts.add(Buffer.alloc(size));
    });
    const blocks = allocated.mock.calls.map(([bytes]) => bytes);
    // Of the blocks in a row of growing sizes, only the last is kept.
    const kept = blocks.filter((bytes, index) => (blocks[index + 1] ?? 0) <= bytes);
    const whole = size >= 16_384 ? size * 500 : 0;
    expect(statedBytes).toBe(kept.reduce((sum, bytes) => sum + bytes, 0) + whole);
    expect(statedBytes).toBeLessThan(size * 500 * 2 + 512);
    allocated.mockRestore();
  });
});

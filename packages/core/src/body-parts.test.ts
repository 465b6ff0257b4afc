import { describe, expect, it } from 'vitest';

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
});

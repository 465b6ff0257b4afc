import { describe, expect, it } from 'vitest';

import { haveSamePrefix, newId } from './ids.js';

describe('haveSamePrefix', () => {
  it('recognises the processes of one instance, whose names may begin alike', () => {
    expect(haveSamePrefix(newId('store-a-1'), newId('store-a-1'))).toBe(true);
    expect(haveSamePrefix(newId('store-a-1'), newId('store-a-11'))).toBe(false);
    expect(haveSamePrefix(newId('store-a-1'), newId('store-a-2'))).toBe(false);
  });

  it('accepts no id that is too short to have a random part', () => {
    expect(haveSamePrefix('', '')).toBe(false);
    expect(haveSamePrefix('store-a-1', 'store-a-1')).toBe(false);
  });
});

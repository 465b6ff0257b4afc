import { describe, expect, it } from 'vitest';

import { returnDelayMs } from './return-delay.js';

describe('returnDelayMs', () => {
  it('leaves the caller two thirds of its time for its answer', () => {
    expect(returnDelayMs(250, 4_800)).toBe(1_600);
  });

  it('lets a caller return sooner when it has less time left', () => {
    expect(returnDelayMs(0, 1_500)).toBe(500);
  });

  it('does not call a caller back before a slot is expected to be free', () => {
    expect(returnDelayMs(2_500, 3_000)).toBe(2_500);
  });
});

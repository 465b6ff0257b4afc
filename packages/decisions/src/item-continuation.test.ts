import { describe, expect, it } from 'vitest';

import { continuationWaitMs, runToContinue } from './item-continuation.js';

describe('continuationWaitMs', () => {
  it('loses at most twice what the better of waiting and starting anew would lose, for waits of any length', () => {
    const durationsMs = [1, 20, 300, 4_000];
    durationsMs.forEach((spentMs) =>
      [0, ...durationsMs, 60_000].forEach((slotFreeAfterMs) => {
        const limitMs = continuationWaitMs(spentMs, true);
        const lostMs = slotFreeAfterMs <= limitMs ? slotFreeAfterMs : limitMs + spentMs;
        expect(lostMs).toBeLessThanOrEqual(2 * Math.min(slotFreeAfterMs, spentMs));
      }),
    );
  });
});

describe('continuationWaitMs, while one version serves', () => {
  it('does not ask for the slot again and again, however short the runs of the item were', () => {
    expect(continuationWaitMs(3, false)).toBe(1_000);
    expect(continuationWaitMs(4_000, false)).toBe(4_000);
  });
});

describe('runToContinue', () => {
  const run = { tokens: ['a', 'b'], softwareVersion: 'v1' };

  it('starts anew when no replica of the version that began the output accepts work', () => {
    expect(runToContinue(run, true)).toEqual({ tokens: [] });
  });

  it('continues the output after any other end, and where versions are not known', () => {
    expect(runToContinue(run, false)).toEqual(run);
    expect(runToContinue({ tokens: ['a'] }, true)).toEqual({ tokens: ['a'] });
  });
});

import { describe, expect, it } from 'vitest';

import { continuationWaitMs } from './item-continuation.js';

describe('continuationWaitMs', () => {
  it('loses at most twice what the better of waiting and starting anew would lose, for waits of any length', () => {
    const durationsMs = [1, 20, 300, 4_000];
    durationsMs.forEach((receivedInMs) =>
      [0, ...durationsMs, 60_000].forEach((slotFreeAfterMs) => {
        const limitMs = continuationWaitMs(receivedInMs);
        const lostMs = slotFreeAfterMs <= limitMs ? slotFreeAfterMs : limitMs + receivedInMs;
        expect(lostMs).toBeLessThanOrEqual(2 * Math.min(slotFreeAfterMs, receivedInMs));
      }),
    );
  });
});

import { describe, expect, it } from 'vitest';

import { sleep, timerMs } from './clock.js';

describe('timers', () => {
  it.each([2 ** 31, 1e12, Number.POSITIVE_INFINITY])(
    'do not end at once when the wait is %d ms',
    async (delayMs) => {
      const abort = new AbortController();
      const early = new Promise((resolve) => setTimeout(() => resolve('still waiting'), 50));
      expect(await Promise.race([sleep(delayMs, abort.signal), early])).toBe('still waiting');
      abort.abort();
      expect(timerMs(delayMs)).toBe(2 ** 31 - 1);
    },
  );
});

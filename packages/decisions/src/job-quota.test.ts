import { describe, expect, it } from 'vitest';

import { surelyFits } from './job-quota.js';

describe('surelyFits', () => {
  it('says yes far below the limit and after a fresh listing', () => {
    expect(surelyFits({ waitingTokens: 200, ageMs: 1_000 }, 100, 1_000)).toBe(true);
  });

  it('does not vouch for what others may have accepted since', () => {
    expect(surelyFits({ waitingTokens: 450, ageMs: 1_000 }, 100, 1_000)).toBe(false);
    expect(surelyFits({ waitingTokens: 0, ageMs: 5_000 }, 100, 1_000)).toBe(false);
    expect(surelyFits(undefined, 100, 1_000)).toBe(false);
  });

  it('needs no knowledge where there is no limit', () => {
    expect(surelyFits(undefined, 100, 0)).toBe(true);
  });
});

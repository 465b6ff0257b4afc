import { describe, expect, it } from 'vitest';

import { isCertainlyWithinLimit } from './job-quota.js';

describe('quota check without a store read', () => {
  it('accepts a job far below the limit when the listing is recent', () => {
    expect(isCertainlyWithinLimit({ waitingTokens: 200, ageMs: 1_000 }, 100, 1_000)).toBe(true);
  });

  it('does not accept when other instances may have filled the limit since the listing', () => {
    expect(isCertainlyWithinLimit({ waitingTokens: 450, ageMs: 1_000 }, 100, 1_000)).toBe(false);
    expect(isCertainlyWithinLimit({ waitingTokens: 0, ageMs: 5_000 }, 100, 1_000)).toBe(false);
    expect(isCertainlyWithinLimit(undefined, 100, 1_000)).toBe(false);
  });

  it('accepts without an estimate where there is no limit', () => {
    expect(isCertainlyWithinLimit(undefined, 100, 0)).toBe(true);
  });
});

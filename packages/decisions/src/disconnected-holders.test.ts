import { describe, expect, it } from 'vitest';

import { LostHolders } from './disconnected-holders.js';

describe('disconnected permit holders', () => {
  it('returns a holder once when it does not renew within the grace period after a closed connection', () => {
    const holders = new LostHolders();
    holders.onClosed('a', 0);
    expect(holders.take(499)).toEqual([]);
    expect(holders.take(500)).toEqual(['a']);
    expect(holders.take(501)).toEqual([]);
  });

  it('does not return a holder that renews over another connection', () => {
    const holders = new LostHolders();
    holders.onClosed('a', 0);
    holders.onHeard('a');
    expect(holders.take(1_000)).toEqual([]);
  });
});

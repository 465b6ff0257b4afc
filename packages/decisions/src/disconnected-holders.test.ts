import { describe, expect, it } from 'vitest';

import { DisconnectedHolders } from './disconnected-holders.js';

describe('disconnected permit holders', () => {
  it('returns a holder once when it does not renew within the grace period after a closed connection', () => {
    const holders = new DisconnectedHolders();
    holders.onClosed('a', 0);
    expect(holders.takeExpired(499)).toEqual([]);
    expect(holders.takeExpired(500)).toEqual(['a']);
    expect(holders.takeExpired(501)).toEqual([]);
  });

  it('does not return a holder that renews over another connection', () => {
    const holders = new DisconnectedHolders();
    holders.onClosed('a', 0);
    holders.onRenewed('a');
    expect(holders.takeExpired(1_000)).toEqual([]);
  });
});

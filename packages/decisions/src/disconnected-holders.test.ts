import { describe, expect, it } from 'vitest';

import { LostHolders } from './disconnected-holders.js';

describe('LostHolders', () => {
  it('takes a holder for lost that is not heard after it closed its connection', () => {
    const holders = new LostHolders();
    holders.onClosed('a', 0);
    expect(holders.take(499)).toEqual([]);
    expect(holders.take(500)).toEqual(['a']);
    expect(holders.take(501)).toEqual([]);
  });

  it('keeps a holder that renews over another connection', () => {
    const holders = new LostHolders();
    holders.onClosed('a', 0);
    holders.onHeard('a');
    expect(holders.take(1_000)).toEqual([]);
  });
});

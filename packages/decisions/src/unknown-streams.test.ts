import { describe, expect, it } from 'vitest';

import { UnknownStreams } from './unknown-streams.js';

describe('UnknownStreams', () => {
  it('finds one stream without a permit behind the noise of streams that begin and end', () => {
    const unknown = new UnknownStreams();
    [6, 5, 7, 6, 6, 5, 7, 6].forEach((reported, index) => unknown.observe(reported, 5, index * 100));
    expect(unknown.count(700)).toBe(1);
  });

  it('counts none where the noise has no bias', () => {
    const unknown = new UnknownStreams();
    [5, 4, 6, 5, 5, 4, 6, 5].forEach((reported, index) => unknown.observe(reported, 5, index * 100));
    expect(unknown.count(700)).toBe(0);
  });

  it('sees many at once', () => {
    const unknown = new UnknownStreams();
    unknown.observe(13, 5, 0);
    expect(unknown.count(0)).toBe(3);
  });

  it('forgets an old report', () => {
    const unknown = new UnknownStreams();
    unknown.observe(9, 5, 0);
    expect(unknown.count(700)).toBe(0);
  });
});

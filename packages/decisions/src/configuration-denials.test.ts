import { describe, expect, it } from 'vitest';

import { mayRefuseForGood } from './configuration-denials.js';

/** A route is added with version 6. Others name the version before it arrives here, unless this instance is cut off. */
const STANDINGS = [
  { atMs: 0, version: 3, newestNamedVersion: 3, isCutOff: false },
  { atMs: 100, version: 3, newestNamedVersion: 6, isCutOff: false },
  { atMs: 200, version: 6, newestNamedVersion: 6, isCutOff: false },
  { atMs: 300, version: 6, newestNamedVersion: 6, isCutOff: true },
];

describe('mayRefuseForGood', () => {
  it('refuses no caller for good while a newer version is known to exist, or the instance is cut off', () => {
    expect(STANDINGS.map((standing) => [standing.atMs, mayRefuseForGood(standing)])).toEqual([
      [0, true],
      [100, false],
      [200, true],
      [300, false],
    ]);
  });

  it('takes versions that were named before for older ones', () => {
    expect(mayRefuseForGood({ version: 6, newestNamedVersion: 0, isCutOff: false })).toBe(true);
  });
});

import { describe, expect, it } from 'vitest';

import { OwnerSuspicions } from './owner-suspicions.js';

describe('OwnerSuspicions', () => {
  it('finds reason for suspicion in two requests without answer in a row', () => {
    const suspicions = new OwnerSuspicions();
    expect(suspicions.onTimeout('a')).toBe(false);
    suspicions.onAnswer('a');
    expect(suspicions.onTimeout('a')).toBe(false);
    expect(suspicions.onTimeout('a')).toBe(true);
  });

  it('asks a suspected owner again after a while', () => {
    const suspicions = new OwnerSuspicions();
    suspicions.suspect('a', 0);
    const { version } = suspicions;
    suspicions.run(2_499);
    expect(suspicions.isSuspected('a')).toBe(true);
    suspicions.run(2_500);
    expect(suspicions.isSuspected('a')).toBe(false);
    expect(suspicions.version).toBeGreaterThan(version);
  });

  it('checks a watched owner until it answers or is gone', () => {
    const suspicions = new OwnerSuspicions();
    suspicions.suspect('a', 0);
    suspicions.watch('a', 0);
    expect(suspicions.takeChecks(700)).toEqual([]);
    expect(suspicions.takeChecks(800)).toEqual(['a']);
    expect(suspicions.suspect('a', 900)).toBe(false);
    suspicions.run(2_600);
    expect(suspicions.isSuspected('a')).toBe(true);
    suspicions.unwatch('a');
    expect(suspicions.takeChecks(5_000)).toEqual([]);
  });
});

import { describe, expect, it } from 'vitest';

import { OwnerSuspicions } from './owner-suspicions.js';

describe('OwnerSuspicions', () => {
  it('requires two time-outs in a row to suspect an owner', () => {
    const suspicions = new OwnerSuspicions();
    expect(suspicions.onTimeout('a')).toBe(false);
    suspicions.onAnswer('a');
    expect(suspicions.onTimeout('a')).toBe(false);
    expect(suspicions.onTimeout('a')).toBe(true);
  });

  it('lets a suspicion expire after 2.5 s', () => {
    const suspicions = new OwnerSuspicions();
    suspicions.suspect('a', 0);
    const { version } = suspicions;
    suspicions.run(2_499);
    expect(suspicions.isSuspected('a')).toBe(true);
    suspicions.run(2_500);
    expect(suspicions.isSuspected('a')).toBe(false);
    expect(suspicions.version).toBeGreaterThan(version);
  });

  it('checks a watched owner periodically until it is unwatched', () => {
    const suspicions = new OwnerSuspicions();
    suspicions.suspect('a', 0);
    suspicions.watch('a', 0);
    expect(suspicions.takeDueChecks(700)).toEqual([]);
    expect(suspicions.takeDueChecks(800)).toEqual(['a']);
    expect(suspicions.suspect('a', 900)).toBe(false);
    suspicions.run(2_600);
    expect(suspicions.isSuspected('a')).toBe(true);
    suspicions.unwatch('a');
    expect(suspicions.takeDueChecks(5_000)).toEqual([]);
  });
});

import { describe, expect, it } from 'vitest';

import { RequestLimits } from './request-limits.js';

const MINUTE_MS = 60_000;

describe('RequestLimits', () => {
  it('keeps the limit that the latest response states', () => {
    const limits = new RequestLimits();
    limits.observe('r', 5, 0, 10);
    limits.observe('r', 3, 5, 20);
    expect(limits.of('r')).toBe(3);
    expect(limits.of('other')).toBeUndefined();
  });

  it('ends a limit only by a response to a request that was sent after the limit was stated', () => {
    const limits = new RequestLimits();
    limits.observe('r', 5, 0, 10);
    expect(limits.observe('r', undefined, 8, 20)).toBe(false);
    expect(limits.of('r')).toBe(5);
    expect(limits.observe('r', undefined, 11, 30)).toBe(true);
    expect(limits.of('r')).toBeUndefined();
  });

  it('does not count a response without a limit of a replica that had none', () => {
    const limits = new RequestLimits();
    expect(limits.observe('r', undefined, 0, 10)).toBe(false);
    expect(limits.all()).toEqual([]);
  });

  it('ignores what another instance learned earlier', () => {
    const limits = new RequestLimits();
    limits.observe('r', 5, 0, 10);
    limits.observe('r', undefined, 15, 20);
    expect(limits.merge({ replicaId: 'r', requestsPerSecond: 5, observedAtMs: 12 })).toBe(false);
    expect(limits.merge({ replicaId: 'r', requestsPerSecond: 4, observedAtMs: 25 })).toBe(true);
    expect(limits.of('r')).toBe(4);
  });

  it('keeps the limit of a listed replica however long it is silent', () => {
    const limits = new RequestLimits();
    limits.observe('r', 5, 0, 0);
    limits.forgetOld(() => true, 10 * MINUTE_MS);
    expect(limits.of('r')).toBe(5);
    limits.forgetOld(() => false, 10 * MINUTE_MS);
    expect(limits.of('r')).toBeUndefined();
  });

  it('changes its version only when a limit changes', () => {
    const limits = new RequestLimits();
    limits.observe('r', 5, 0, 0);
    const { version } = limits;
    limits.observe('r', 5, 1, 1);
    expect(limits.version).toBe(version);
    limits.observe('r', undefined, 2, 2);
    expect(limits.version).toBe(version + 1);
  });
});

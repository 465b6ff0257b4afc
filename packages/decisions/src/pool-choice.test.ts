import { describe, expect, it } from 'vitest';

import type { PoolCandidate } from './pool-choice.js';
import { orderPools, ownerOf } from './pool-choice.js';

const MEMBERS = [
  { instanceId: 'a1', failureDomain: 'a' },
  { instanceId: 'a2', failureDomain: 'a', schedules: false },
  { instanceId: 'b1', failureDomain: 'b' },
];

function pool(failureDomain: string, expectedWaitMs?: number): PoolCandidate {
  return { model: 'm', failureDomain, places: 8, expectedWaitMs };
}

describe('ownerOf', () => {
  it('chooses a coordinator in the failure domain of the pool', () => {
    expect(ownerOf('m@a', 'a', MEMBERS)).toBe('a1');
  });

  it('chooses a coordinator of another failure domain when that of the pool has none', () => {
    expect(ownerOf('m@a', 'a', MEMBERS.slice(1))).toBe('b1');
    expect(ownerOf('m@a', 'a', MEMBERS.slice(1, 2))).toBeUndefined();
  });
});

describe('orderPools', () => {
  const first = (candidates: PoolCandidate[], random: () => number): string | undefined =>
    orderPools(candidates, 'a', random)[0]?.failureDomain;

  it('prefers the failure domain of the caller unless another one costs less by expected wait and round trip', () => {
    expect(first([pool('a', 5), pool('b', 0)], () => 0)).toBe('a');
    expect(first([pool('a', 500), pool('b', 0)], () => 0)).toBe('b');
  });

  it('does not send all requests to the pool with the shortest expected wait', () => {
    const others = ['b', 'c', 'd', 'e'].map((domain) => pool(domain, domain === 'b' ? 0 : 10));
    let turn = 0;
    const random = (): number => ((turn += 7) % 11) / 11;
    const chosen = Array.from({ length: 40 }, () => first([pool('a', 500), ...others], random));
    expect(new Set(chosen).size).toBeGreaterThan(1);
  });

  it('skips pools without slots', () => {
    expect(orderPools([{ ...pool('a'), places: 0 }], 'a', () => 0)).toEqual([]);
  });
});

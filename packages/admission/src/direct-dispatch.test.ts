import { ManualClock, Metrics } from '@fighub/core';
import type { MembershipRunner } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { DirectDispatch } from './direct-dispatch.js';
import type { PoolCatalogue } from './pool-catalogue.js';

const CATALOGUE = {
  pools: () => [
    {
      poolId: 'm@',
      model: 'm',
      failureDomain: '',
      upstreams: [
        {
          upstreamId: 'r',
          address: 'r:1',
          failureDomain: 'd',
          softwareVersion: 'v1',
          maxConcurrency: 8,
          fencingChecked: false,
        },
      ],
    },
  ],
  limitsOf: () => ({ maxInFlight: 1 }),
  isLeaving: () => false,
} as unknown as PoolCatalogue;
const DEMAND = {
  requestId: 'q',
  organisation: 'o',
  model: 'm',
  workClass: 'online' as const,
  costTokens: 1,
  deadlineUnixMs: 99_999,
  prefixDigest: '',
  excludedReplicaIds: [],
  resumable: false,
  alone: false,
};

function newDirectDispatch(): DirectDispatch {
  const members = { owners: () => [{ failureDomain: 'd' }] } as unknown as MembershipRunner;
  const loads = { load: () => Promise.resolve(undefined) };
  return new DirectDispatch(
    'self',
    'd',
    CATALOGUE,
    () => members,
    loads,
    true,
    new ManualClock(),
    new Metrics(),
  );
}

describe('DirectDispatch', () => {
  it('keeps the limit of streams in flight when requests arrive at the same time', async () => {
    const direct = newDirectDispatch();
    const outcomes = await Promise.all([direct.acquire(DEMAND), direct.acquire(DEMAND)]);
    expect(outcomes.map((outcome) => outcome.ok)).toEqual([true, false]);
  });

  it('grants a resumed stream only a replica of its software version', async () => {
    const other = await newDirectDispatch().acquire({ ...DEMAND, softwareVersion: 'v2' });
    const same = await newDirectDispatch().acquire({ ...DEMAND, softwareVersion: 'v1' });
    expect([other.ok, same.ok]).toEqual([false, true]);
  });
});

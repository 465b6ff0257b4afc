import { ManualClock, Metrics } from '@fighub/core';
import type { MembershipRunner } from '@fighub/peers';
import { BlockedPrompts, RequestLimits } from '@fighub/decisions';
import { describe, expect, it } from 'vitest';

import { DirectDispatch } from './direct-dispatch.js';
import type { PoolCatalogue } from './pool-catalogue.js';

const UPSTREAM = {
  upstreamId: 'r',
  address: 'r:1',
  failureDomain: 'd',
  softwareVersion: 'v1',
  maxConcurrency: 8,
  fencingChecked: false,
};
const CATALOGUE = {
  pools: () => [
    {
      poolId: 'm@',
      model: 'm',
      failureDomain: '',
      upstreams: [UPSTREAM],
    },
  ],
  limitsOf: () => ({ maxInFlight: 1 }),
  blockedPrompts: new BlockedPrompts(),
  requestLimits: new RequestLimits(),
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

function newDirectDispatch(
  catalogue: PoolCatalogue = CATALOGUE,
  clock = new ManualClock(),
  instances = 1,
  self = 0,
): DirectDispatch {
  const owners = Array.from({ length: instances }, (_, index) => ({
    instanceId: `i${String(index)}`,
    failureDomain: 'd',
  }));
  const members = { owners: () => owners, membership: { version: 1 } } as unknown as MembershipRunner;
  const loads = { load: () => Promise.resolve(undefined) };
  const selfId = `i${String(self)}`;
  return new DirectDispatch(selfId, 'd', catalogue, () => members, loads, true, clock, new Metrics());
}

describe('DirectDispatch', () => {
  it('keeps the limit of streams in flight when requests arrive at the same time', async () => {
    const direct = newDirectDispatch();
    const outcomes = await Promise.all([direct.acquire(DEMAND), direct.acquire(DEMAND)]);
    expect(outcomes.map((outcome) => outcome.ok)).toEqual([true, false]);
  });

  it('sends a replica no more than an equal share of the limit that it states', async () => {
    const requestLimits = new RequestLimits();
    requestLimits.observe('r', 10, 0, 0);
    const clock = new ManualClock();
    const catalogue = { ...CATALOGUE, limitsOf: () => ({}), requestLimits };
    const direct = newDirectDispatch(catalogue, clock, 5);
    const outcomes: boolean[] = [];
    for (let passedMs = 0; passedMs < 4_000; passedMs += 50) {
      const slot = await direct.acquire(DEMAND);
      outcomes.push(slot.ok);
      if (slot.ok) direct.release(slot.value, { end: 'completed', tokens: 0 });
      clock.advance(50);
    }
    const sent = outcomes.filter(Boolean).length;
    expect(sent).toBeLessThanOrEqual(8);
    expect(sent).toBeGreaterThanOrEqual(6);
  });

  it.each([10, 330])('keeps to the limit of a replica at %s instances after a pause', async (instances) => {
    const requestsPerSecond = 2;
    const requestLimits = new RequestLimits();
    requestLimits.observe('r', requestsPerSecond, 0, 0);
    const clock = new ManualClock();
    const catalogue = { ...CATALOGUE, limitsOf: () => ({}), requestLimits };
    const all = Array.from({ length: instances }, (_, self) =>
      newDirectDispatch(catalogue, clock, instances, self),
    );
    const sendAll = async (): Promise<number> => {
      const slots = await Promise.all(all.map((direct) => direct.acquire(DEMAND)));
      slots.forEach((slot, index) => {
        if (slot.ok) all[index]?.release(slot.value, { end: 'completed', tokens: 0 });
      });
      return slots.filter(({ ok }) => ok).length;
    };
    expect(await sendAll()).toBe(0);
    clock.advance(600_000);
    let sent = 0;
    for (let passedMs = 0; passedMs < 4_000; passedMs += 200) {
      sent += await sendAll();
      clock.advance(200);
    }
    // What the platform allows in 4 s, and the limit itself.
    expect(sent).toBeLessThanOrEqual(1.5 * 4 * requestsPerSecond + 5);
    expect(sent).toBeGreaterThanOrEqual(4 * requestsPerSecond);
  });

  it('gives a replica no more tokens than belong to this instance in its memory', async () => {
    const pools = CATALOGUE.pools().map((pool) => ({
      ...pool,
      upstreams: pool.upstreams.map((upstream) => ({ ...upstream, maxConcurrency: 8, memoryTokens: 72_000 })),
    }));
    const catalogue = { ...CATALOGUE, pools: () => pools, limitsOf: () => ({}) };
    const direct = newDirectDispatch(catalogue, new ManualClock(), 2);
    const acquire = (memoryTokens: number) => direct.acquire({ ...DEMAND, memoryTokens });
    const outcomes = [await acquire(30_000), await acquire(10_000), await acquire(5_000)];
    expect(outcomes.map(({ ok }) => ok)).toEqual([true, false, true]);
  });

  it('tells the demand of its slots, so that the owner of the pool can be told what they showed', async () => {
    const direct = newDirectDispatch();
    const slot = await direct.acquire(DEMAND);
    if (!slot.ok) throw new Error('no slot');
    expect(direct.demandOf(slot.value)).toEqual(DEMAND);
    expect(direct.release(slot.value, { end: 'broken', tokens: 0 })?.demand).toEqual(DEMAND);
    expect(direct.demandOf(slot.value)).toBeUndefined();
  });

  it('blocks a request under which three replicas have crashed, one after the other, and clears it when it completes', async () => {
    const clock = new ManualClock();
    let round = 0;
    const upstreams = () => [{ ...UPSTREAM, upstreamId: `r${String(round)}` }];
    const catalogue = {
      ...CATALOGUE,
      pools: () => [{ poolId: 'm@', model: 'm', failureDomain: 'd', upstreams: upstreams() }],
      limitsOf: () => ({}),
      blockedPrompts: new BlockedPrompts(),
    };
    const direct = newDirectDispatch(catalogue, clock);
    const request = { sharedPartIds: [], requestDigest: 'q' };
    const refused: boolean[] = [];
    for (const end of ['broken', 'completed', 'broken', 'broken', 'broken'] as const) {
      clock.advance(10_000);
      round += 1;
      const slot = await direct.acquire({ ...DEMAND, ...request });
      if (!slot.ok) throw new Error('no slot');
      clock.advance(10);
      direct.release(slot.value, { end, tokens: 20 });
      refused.push(catalogue.blockedPrompts.refuses(request, clock.monotonicMs()));
    }
    expect(refused).toEqual([false, false, false, false, true]);
  });

  it.each([
    { replicas: 'are the same processes', startedAtUnixMs: 1, isRefused: false },
    { replicas: 'are new processes under the same ids', startedAtUnixMs: 2, isRefused: true },
  ])(
    'counts crashes at replicas that broke the connections of others only when they $replicas',
    async ({ startedAtUnixMs, isRefused }) => {
      const clock = new ManualClock();
      let upstream = { ...UPSTREAM, startedAtUnixMs: 1 };
      const catalogue = {
        ...CATALOGUE,
        pools: () => [{ poolId: 'm@', model: 'm', failureDomain: 'd', upstreams: [upstream] }],
        limitsOf: () => ({}),
        blockedPrompts: new BlockedPrompts(),
      };
      const direct = newDirectDispatch(catalogue, clock);
      const request = { sharedPartIds: [], requestDigest: 'again' };
      const runAtEach = async (
        startedAt: number,
        digestOf: (upstreamId: string) => string,
      ): Promise<void> => {
        for (const upstreamId of ['r0', 'r1', 'r2']) {
          upstream = { ...UPSTREAM, upstreamId, startedAtUnixMs: startedAt };
          clock.advance(10_000);
          const slot = await direct.acquire({ ...DEMAND, ...request, requestDigest: digestOf(upstreamId) });
          if (!slot.ok) throw new Error('no slot');
          clock.advance(5);
          direct.release(slot.value, { end: 'broken', tokens: 0 });
        }
      };
      await runAtEach(1, (upstreamId) => `at ${upstreamId}`);
      await runAtEach(startedAtUnixMs, () => 'again');
      expect(catalogue.blockedPrompts.refuses(request, clock.monotonicMs())).toBe(isRefused);
    },
  );

  it('grants a resumed stream only a replica of its software version', async () => {
    const other = await newDirectDispatch().acquire({ ...DEMAND, softwareVersion: 'v2' });
    const same = await newDirectDispatch().acquire({ ...DEMAND, softwareVersion: 'v1' });
    expect([other.ok, same.ok]).toEqual([false, true]);
  });
});

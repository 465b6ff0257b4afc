import { ManualClock, Metrics, fail, notRun, ok } from '@fighub/core';
import { RequestLimits } from '@fighub/decisions';
import type { MembershipRunner, PeerNode, PermitReleaseBody } from '@fighub/peers';
import { PeerFailure } from '@fighub/peers';
import { describe, expect, it, vi } from 'vitest';

import type { DirectDispatch } from './direct-dispatch.js';
import { PermitClient } from './permit-client.js';
import type { PoolDescription } from './pool-catalogue.js';
import type { PoolHost } from './pool-host.js';
import type { Slot } from './slot.js';

const TICK_MS = 10;
const DEMAND = {
  requestId: 'q',
  organisation: 'o',
  model: 'm',
  workClass: 'batch',
  costTokens: 1,
  deadlineUnixMs: 60_000,
  prefixDigest: '',
  excludedReplicaIds: [],
  resumable: true,
  alone: false,
} as const;
const DIRECT_SLOT: Slot = {
  permitId: 'self/direct/1',
  poolId: 'direct',
  replicaId: 'r',
  address: 'r:1',
  fencingChecked: false,
  revoked: new AbortController().signal,
};
const OVERLOADED = notRun('overloaded', 'no free slot', 1_000);
const OWNER = { instanceId: 'owner', peerAddress: 'owner:1' };

function pool(failureDomain: string): PoolDescription {
  const at = { address: 'r:1', failureDomain, maxConcurrency: 8, fencingChecked: false };
  return { poolId: `m@${failureDomain}`, model: 'm', failureDomain, upstreams: [{ upstreamId: 'r', ...at }] };
}

/** A client of `pools`, the names of the requests that it sends, and a function that lets time pass. */
function setup(pools: readonly PoolDescription[], direct: Partial<DirectDispatch> = {}) {
  const sent: string[] = [];
  /** Whether the next requests are accepted; later ones time out. */
  const accepts: boolean[] = [];
  const notices: [name: string, body: unknown][] = [];
  /** Names of the messages whose responses could not be read. */
  const unread = new Set<string>();
  const node = {
    onNotice: () => undefined,
    onOutboundClosed: () => undefined,
    detach: (name: string, task: Promise<unknown>) => void task.catch(() => unread.add(name)),
    notify: (_address: string, name: string, body: unknown) => notices.push([name, body]),
    request: (_address: string, name: string) => {
      sent.push(name);
      return Promise.resolve(accepts.shift() ? ok({ accepted: true }) : fail(PeerFailure.timeout));
    },
  } as unknown as PeerNode;
  const host = {
    ownershipVersion: 0,
    ownerOfPool: () => OWNER.instanceId,
    recordOwnerResponse: () => undefined,
    describePools: () => pools,
    poolsOpenTo: () => pools,
    loads: () => [],
    requestLimits: new RequestLimits(),
  } as unknown as PoolHost;
  const clock = new ManualClock();
  const client = new PermitClient(
    'self',
    'd',
    host,
    direct as DirectDispatch,
    () => ({ membership: { get: () => OWNER } }) as unknown as MembershipRunner,
    node,
    60,
    false,
    () => false,
    clock,
    new Metrics(),
    () => 0.5,
  );
  const pass = (durationMs: number): void => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      clock.advance(TICK_MS);
      client.run(clock.monotonicMs());
    }
  };
  return { client, sent, accepts, notices, unread, clock, pass };
}

/** Names of the requests that an instance sends in 5 s in which it asks once for a slot in one of `pools`. */
function requestsFor(pools: readonly PoolDescription[]): string[] {
  const { client, sent, pass } = setup(pools);
  void client.acquire(DEMAND, new AbortController().signal);
  pass(5_000);
  return sent;
}

describe('PermitClient', () => {
  it('does not ask for the load of the only pool of a model', () => {
    const names = requestsFor([pool('')]);
    expect(names).toContain('permit.acquire');
    expect(names).not.toContain('pool.load');
  });

  it('asks for the loads of the pools of a model among which it chooses', () => {
    expect(requestsFor([pool('d'), pool('e')])).toContain('pool.load');
  });

  // Guards against a response of another release that ends the process as an unhandled rejection.
  it('goes on after an owner whose response holds no loads', async () => {
    const { client, accepts, unread, pass } = setup([pool('d'), pool('e')]);
    accepts.push(...Array.from({ length: 100 }, () => true));
    void client.acquire(DEMAND, new AbortController().signal);
    pass(5_000);
    await vi.waitFor(() => expect(unread).toEqual(new Set(['pool.load'])));
  });

  it('asks for frequent ticks while a request waits, and not while it only holds a permit', async () => {
    const { client, pass } = setup([pool('')]);
    const acquired = client.acquire(DEMAND, new AbortController().signal);
    expect(client.busy).toBe(true);
    const at = { poolId: 'm@', replicaId: 'r', address: 'r:1', fencingChecked: false };
    client.granted({ ...at, requestId: 'self/q/0', permitId: 'p' });
    expect((await acquired).ok).toBe(true);
    pass(TICK_MS);
    expect(client.busy).toBe(false);
  });

  it('tells the owner of a pool which replica crashed under a request without a permit', () => {
    const demand = { ...DEMAND, sharedPartIds: ['part'], requestDigest: 'digest' };
    const { client, notices, clock, pass } = setup([pool('')], {
      release: () => ({ demand, startedAtMs: clock.monotonicMs() - 40 }),
    });
    client.release(DIRECT_SLOT, { end: 'broken', tokens: 0 });
    client.release({ ...DIRECT_SLOT, replicaId: 'r2' }, { end: 'completed', tokens: 3 });
    pass(TICK_MS);
    const judged = { sharedPartIds: ['part'], requestDigest: 'digest' };
    const crashes = [{ requestId: 'q', replicaId: 'r', ...judged, events: 0, ranMs: 40 }];
    expect(notices).toEqual([['permit.release', { poolId: 'm@', reports: [], loads: [], crashes }]]);
  });

  it('tells the owner of a pool once about a limit that a replica states, and when it states none any more', () => {
    const { client, notices, clock, pass } = setup([pool('')], { demandOf: () => undefined });
    const slot = { ...DIRECT_SLOT, poolId: 'm@', permitId: 'p' };
    client.recordRequestLimit(slot, undefined, 0);
    client.recordRequestLimit(slot, 2, 0);
    pass(TICK_MS);
    client.recordRequestLimit(slot, undefined, clock.monotonicMs());
    pass(TICK_MS);
    const limits = notices.map(([, body]) => (body as PermitReleaseBody).limits);
    expect(limits).toEqual([
      [{ replicaId: 'r', permitId: 'p', requestsPerSecond: 2 }],
      [{ replicaId: 'r', permitId: 'p', requestsPerSecond: undefined }],
    ]);
  });

  it('tells the owner of a pool of the model about a limit that a request without a permit showed', () => {
    const { client, notices, pass } = setup([pool('')], { demandOf: () => DEMAND });
    client.recordRequestLimit(DIRECT_SLOT, 2, 0);
    pass(TICK_MS);
    expect(notices.map(([, body]) => (body as PermitReleaseBody).poolId)).toEqual(['m@']);
  });

  it('asks an owner that was paused once more when its share of the slots is used up', async () => {
    const acquire = vi.fn(() => Promise.resolve(fail(OVERLOADED)));
    const { client, sent, accepts } = setup([pool('')], { acquire });
    accepts.push(false, true);
    const acquired = client.acquire({ ...DEMAND, workClass: 'online' }, new AbortController().signal);
    await vi.waitUntil(() => sent.length === 2);
    const at = { poolId: 'm@', replicaId: 'r', address: 'r:1', fencingChecked: false };
    client.granted({ ...at, requestId: 'self/q/1', permitId: 'p' });
    expect((await acquired).ok).toBe(true);
    expect(acquire).toHaveBeenCalledTimes(1);
  });

  it('goes on asking while only its share of a limit of the organisation is used up', async () => {
    const direct = { acquire: () => Promise.resolve(fail(notRun('limit_reached', 'no share of the quota'))) };
    const { client, sent, accepts } = setup([pool('')], direct);
    accepts.push(false, false, false, true);
    const demand = { ...DEMAND, workClass: 'online', startByUnixMs: 0 } as const;
    const acquired = client.acquire(demand, new AbortController().signal);
    await vi.waitUntil(() => sent.length === 4);
    const at = { poolId: 'm@', replicaId: 'r', address: 'r:1', fencingChecked: false };
    client.granted({ ...at, requestId: 'self/q/3', permitId: 'p' });
    expect((await acquired).ok).toBe(true);
  });

  it.each([
    ['does not accept it the second time either', DEMAND.deadlineUnixMs, 2],
    ['would accept it too late', 0, 1],
  ])('refuses a request without a slot when the owner %s', async (_when, startByUnixMs, asked) => {
    const { client, sent } = setup([pool('')], { acquire: () => Promise.resolve(fail(OVERLOADED)) });
    const demand = { ...DEMAND, workClass: 'online', startByUnixMs } as const;
    expect(await client.acquire(demand, new AbortController().signal)).toEqual(fail(OVERLOADED));
    expect(sent).toHaveLength(asked);
  });
});

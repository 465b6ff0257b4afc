import { ManualClock, Metrics, fail } from '@fighub/core';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import { PeerFailure } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import type { DirectDispatch } from './direct-dispatch.js';
import { PermitClient } from './permit-client.js';
import type { PoolDescription } from './pool-catalogue.js';
import type { PoolHost } from './pool-host.js';

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
const OWNER = { instanceId: 'owner', peerAddress: 'owner:1' };

function pool(failureDomain: string): PoolDescription {
  const at = { address: 'r:1', failureDomain, maxConcurrency: 8, fencingChecked: false };
  return { poolId: `m@${failureDomain}`, model: 'm', failureDomain, upstreams: [{ upstreamId: 'r', ...at }] };
}

/** A client of `pools`, the names of the requests that it sends, and a function that lets time pass. */
function setup(pools: readonly PoolDescription[]) {
  const sent: string[] = [];
  const node = {
    onNotice: () => undefined,
    onOutboundClosed: () => undefined,
    notify: () => undefined,
    request: (_address: string, name: string) => {
      sent.push(name);
      return Promise.resolve(fail(PeerFailure.timeout));
    },
  } as unknown as PeerNode;
  const host = {
    ownershipVersion: 0,
    ownerOfPool: () => OWNER.instanceId,
    recordOwnerResponse: () => undefined,
    describePools: () => pools,
    poolsOpenTo: () => pools,
    loads: () => [],
  } as unknown as PoolHost;
  const clock = new ManualClock();
  const client = new PermitClient(
    'self',
    'd',
    host,
    {} as DirectDispatch,
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
  return { client, sent, pass };
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
});

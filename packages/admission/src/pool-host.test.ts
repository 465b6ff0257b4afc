import { Metrics, ManualClock } from '@fighub/core';
import type { PoolPolicy } from '@fighub/decisions';
import { BlockedPrompts, MemberState, RequestLimits } from '@fighub/decisions';
import type { AcquireBody, GrantedBody, HeldPermit, MembershipRunner } from '@fighub/peers';
import type { LoadReader } from '@fighub/outside';
import { PeerNode } from '@fighub/peers';
import { describe, expect, it, vi } from 'vitest';

import type { PoolCatalogue, PoolDescription } from './pool-catalogue.js';
import { PoolHost } from './pool-host.js';
import { UpstreamStates } from './upstream-states.js';

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0,
  targets: { firstTokenTargetMs: 100, betweenTokensTargetMs: 100 },
  weightOf: () => 1,
  limitsOf: () => ({}),
};
const POOL: PoolDescription = {
  poolId: 'm@',
  model: 'm',
  failureDomain: '',
  upstreams: [
    { upstreamId: 'r', address: 'r:1', failureDomain: 'd', maxConcurrency: 8, fencingChecked: false },
  ],
};
const CATALOGUE: PoolCatalogue = {
  version: 1,
  pools: () => [POOL],
  policyOf: () => POLICY,
  poolsOpenTo: () => [POOL],
  limitsOf: () => ({}),
  blockedPrompts: new BlockedPrompts(),
  requestLimits: new RequestLimits(),
  isLeaving: () => false,
};

function acquireBody(requestId: string): AcquireBody {
  return {
    poolId: 'm@',
    requestId,
    holder: 'self',
    organisation: 'o',
    workClass: 'online',
    costTokens: 1,
    deadlineInMs: 10_000,
    prefixDigest: '',
    excludedReplicaIds: [],
    resumable: false,
    alone: false,
  };
}

function rethrow(error: unknown): never {
  throw error;
}

function setup(loadReader?: LoadReader, onError: (error: unknown) => void = rethrow) {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const node = new PeerNode(
    { instanceId: 'self', host: '127.0.0.1', port: 0, secret: 's' },
    metrics,
    onError,
  );
  const self = { instanceId: 'self', failureDomain: 'd', peerAddress: '', state: 'alive', schedules: true };
  const holderState: { state: MemberState } = { state: MemberState.alive };
  const membership = {
    version: 1,
    get: () => ({ ...self, ...holderState }),
    isLive: () => holderState.state === MemberState.alive,
  };
  const reached: { byOthers: boolean | undefined } = { byOthers: true };
  const other = { ...self, instanceId: 'other' };
  const members = {
    owners: () => [self, other],
    membership,
    isReachedByOthers: () => Promise.resolve(reached.byOthers),
  } as unknown as MembershipRunner;
  const upstreams = new UpstreamStates(clock);
  const host = new PoolHost('self', CATALOGUE, upstreams, () => members, node, loadReader, clock, metrics);
  const grants: GrantedBody[] = [];
  host.connect(
    {
      granted: (body) => grants.push(body),
      refused: () => undefined,
      revoked: () => undefined,
    },
    () => undefined,
  );
  const observed = { count: 0 };
  host.onObserved(() => (observed.count += 1));
  return { clock, host, grants, observed, reached, holderState };
}

describe('PoolHost', () => {
  it('reports an unexpected error of reading the load of a replica, and goes on', async () => {
    const unexpected = new TypeError('unexpected');
    const errors: unknown[] = [];
    const { clock, host, grants } = setup({ load: () => Promise.reject(unexpected) }, (error) =>
      errors.push(error),
    );
    host.run(clock.monotonicMs());
    host.acquire(acquireBody('q1'));
    host.run(clock.monotonicMs());
    clock.advance(1_000);
    host.run(clock.monotonicMs());
    await vi.waitFor(() => expect(errors).toEqual([unexpected]));
    host.acquire(acquireBody('q2'));
    host.run(clock.monotonicMs());
    expect(grants).toHaveLength(2);
  });

  it('never reuses a permit id after a scheduler was dropped and its permits were renewed', () => {
    const { clock, host, grants } = setup();
    host.run(clock.monotonicMs());
    host.acquire(acquireBody('q1'));
    host.run(clock.monotonicMs());
    const held: HeldPermit[] = grants.map(({ permitId, replicaId }) => ({
      permitId,
      replicaId,
      request: acquireBody('q1'),
    }));
    (CATALOGUE as { pools: () => readonly PoolDescription[] }).pools = () => [];
    (CATALOGUE as { version: unknown }).version = 2;
    host.run(clock.monotonicMs());
    (CATALOGUE as { pools: () => readonly PoolDescription[] }).pools = () => [POOL];
    (CATALOGUE as { version: unknown }).version = 3;
    host.run(clock.monotonicMs());
    host.renew({ poolId: 'm@', holder: 'h', permits: held });
    host.acquire(acquireBody('q2'));
    host.run(clock.monotonicMs());
    expect(new Set(grants.map((grant) => grant.permitId)).size).toBe(2);
  });

  it('moves to the next owner only when no other instance reaches the first one', async () => {
    const { host, reached } = setup();
    const first = host.ownerOfPool('m@') ?? '';
    const ownerAfterTimeouts = async (byOthers: boolean | undefined): Promise<string | undefined> => {
      reached.byOthers = byOthers;
      host.recordOwnerResponse(first, false);
      host.recordOwnerResponse(first, false);
      await Promise.resolve();
      await Promise.resolve();
      return host.ownerOfPool('m@');
    };
    expect(await ownerAfterTimeouts(true)).toBe(first);
    expect(await ownerAfterTimeouts(undefined)).toBe(first);
    expect(await ownerAfterTimeouts(false)).not.toBe(first);
  });

  it('keeps the permits of a holder that is leaving until it is dead', () => {
    const { clock, host, holderState } = setup();
    host.run(clock.monotonicMs());
    host.acquire(acquireBody('q1'));
    host.run(clock.monotonicMs());
    const onlineStreamsAfter = (state: MemberState): number | undefined => {
      holderState.state = state;
      clock.advance(1_000);
      host.run(clock.monotonicMs());
      return host.loads()[0]?.onlineStreams;
    };
    expect(onlineStreamsAfter(MemberState.leaving)).toBe(1);
    expect(onlineStreamsAfter(MemberState.dead)).toBe(0);
  });

  it('spaces the requests to a replica with a limit, until a request that was granted later shows none', () => {
    const { clock, host, grants, observed } = setup();
    const limitOf = (): number | undefined => CATALOGUE.requestLimits.of('r');
    const report = (requestId: string, requestsPerSecond: number | undefined): void => {
      const permitId = grants.find((grant) => grant.requestId === requestId)?.permitId ?? '';
      const limits = [{ replicaId: 'r', permitId, requestsPerSecond }];
      host.release({ poolId: 'm@', reports: [], loads: [], limits });
    };
    const granted = (ids: readonly string[]): string[] => {
      ids.forEach((requestId) => host.acquire(acquireBody(requestId)));
      host.run(clock.monotonicMs());
      return grants.map(({ requestId }) => requestId);
    };
    host.run(clock.monotonicMs());
    granted(['q1', 'q2']);
    clock.advance(100);
    report('q1', 1);
    expect(observed.count).toBe(1);
    expect(granted(['q3'])).toEqual(['q1', 'q2']);
    report('q2', undefined);
    expect(limitOf()).toBe(1);
    clock.advance(1_000);
    expect(granted([])).toEqual(['q1', 'q2', 'q3']);
    clock.advance(100);
    report('q3', undefined);
    expect(limitOf()).toBeUndefined();
    expect(granted(['q4', 'q5'])).toEqual(['q1', 'q2', 'q3', 'q4', 'q5']);
  });
});

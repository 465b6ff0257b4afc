import type { Problem } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { BlockedPrompts } from './blocked-prompts.js';
import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, PoolPolicy, SlotRequest } from './pool-types.js';
import { slotRequest } from './testing/slot-request.js';

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0,
  targets: { firstTokenTargetMs: 570, betweenTokensTargetMs: 33 },
  weightOf: () => 1,
  limitsOf: () => ({}),
};

/** A pool of replicas with two slots each. A crashed replica is replaced by one with another id. */
function pool(blocked = new BlockedPrompts()) {
  const permits: Permit[] = [];
  const refusals: [SlotRequest, Problem][] = [];
  const scheduler = new PoolScheduler(
    's@',
    'owner',
    POLICY,
    {
      granted: (permit) => permits.push(permit),
      refused: (request, problem) => refusals.push([request, problem]),
      revoked: () => undefined,
      promptFound: () => undefined,
    },
    blocked,
  );
  const ids = ['r0', 'r1', 'r2'];
  const setReplicas = (): void =>
    scheduler.setReplicas(
      ids.map((replicaId) => ({
        replicaId,
        address: replicaId,
        failureDomain: 'd',
        maxConcurrency: 2,
        leaving: false,
      })),
    );
  setReplicas();
  const replaceCrashed = (replicaId: string): void => {
    ids.splice(ids.indexOf(replicaId), 1, `${replicaId}x`);
    setReplicas();
  };
  const enqueue = (requestId: string, nowMs: number, changes: Partial<SlotRequest> = {}): void => {
    scheduler.enqueue(slotRequest(requestId, { sharedPartIds: ['bad'], ...changes }), nowMs);
    scheduler.run(nowMs);
  };
  const release = (requestId: string, end: 'broken' | 'completed', nowMs: number): void => {
    const permit = permits.find(({ request }) => request.requestId === requestId);
    if (!permit) throw new Error(`no permit of ${requestId}`);
    scheduler.release({ permitId: permit.permitId, end, tokens: 0 }, nowMs);
    if (end === 'broken') replaceCrashed(permit.replicaId);
    scheduler.run(nowMs);
  };
  const granted = (): string[] => permits.map(({ request }) => request.requestId);
  const refused = (): string[] => refusals.map(([request, { code }]) => `${request.requestId} ${code}`);
  return { scheduler, permits, enqueue, release, granted, refused };
}

describe('PoolScheduler with prompts that crash replicas', () => {
  it('runs the requests with a suspected part one at a time, and refuses them once it is blocked', () => {
    const { enqueue, release, granted, refused } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    ['b', 'c', 'd'].forEach((id) => enqueue(id, 20));
    expect(granted()).toEqual(['a', 'b']);
    release('b', 'broken', 30);
    expect(granted()).toEqual(['a', 'b', 'c']);
    release('c', 'broken', 40);
    enqueue('e', 50);
    expect(granted()).toEqual(['a', 'b', 'c']);
    expect(refused()).toEqual(['d prompt_crashes_upstream', 'e prompt_crashes_upstream']);
  });

  it('holds requests that were queued before the crash, and no others of their organisation', () => {
    const { enqueue, release, granted } = pool();
    ['a', 'x1', 'x2', 'x3', 'x4', 'x5'].forEach((id) =>
      enqueue(id, 0, { sharedPartIds: id === 'a' ? ['bad'] : ['other'] }),
    );
    enqueue('b', 1);
    enqueue('c', 1);
    enqueue('y', 1, { sharedPartIds: ['other'] });
    release('a', 'broken', 10);
    release('x1', 'completed', 20);
    release('x2', 'completed', 20);
    expect(granted().slice(6)).toEqual(['b', 'y']);
  });

  it('lets all requests run as soon as the stream of the first one has shown that the part is sound', () => {
    const { scheduler, permits, enqueue, release, granted } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    ['b', 'c', 'd'].forEach((id) => enqueue(id, 20));
    const probe = permits[1];
    expect(probe?.reportsProgress).toBe(true);
    scheduler.observeProgress(probe?.permitId ?? '', 60);
    scheduler.run(60);
    expect(granted()).toEqual(['a', 'b', 'c', 'd']);
    expect(permits.slice(2).map(({ reportsProgress }) => reportsProgress)).toEqual([false, false]);
  });

  it('refuses a held request when it would start too late, with no wait until its deadline', () => {
    const { enqueue, release, refused, scheduler } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    enqueue('b', 20);
    enqueue('c', 20, { startByMs: 200, deadlineMs: 5_000 });
    scheduler.run(200);
    expect(refused()).toEqual([]);
    scheduler.run(201);
    expect(refused()).toEqual(['c deadline_unreachable']);
  });

  it('runs an online request before a batch item with the same part that still waits', () => {
    const { enqueue, release, granted } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    Array.from({ length: 6 }, (_, index) => enqueue(`x${String(index)}`, 15, { sharedPartIds: [] }));
    enqueue('item', 20, { workClass: 'batch' });
    enqueue('online', 30);
    release('x0', 'completed', 40);
    release('x1', 'completed', 40);
    expect(granted().slice(7)).toEqual(['online']);
    release('online', 'completed', 50);
    expect(granted().slice(8)).toEqual(['item']);
  });

  it('forgets a held request that is withdrawn or whose holder is lost', () => {
    const { scheduler, enqueue, release, granted } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    ['b', 'c', 'd'].forEach((id) => enqueue(id, 20, { holder: id }));
    expect(scheduler.isWaiting('c')).toBe(true);
    scheduler.withdraw('c');
    scheduler.removeHolder('d');
    expect(scheduler.load(20)).toMatchObject({ onlineWaiting: 0 });
    release('b', 'completed', 30);
    expect(granted()).toEqual(['a', 'b']);
  });

  it('starts the next held request when the holder of the first one is lost', () => {
    const { scheduler, enqueue, release, granted } = pool();
    enqueue('a', 0);
    release('a', 'broken', 10);
    ['b', 'c'].forEach((id) => enqueue(id, 20, { holder: id }));
    scheduler.removeHolder('b');
    scheduler.run(30);
    expect(granted()).toEqual(['a', 'b', 'c']);
  });

  it('refuses waiting requests when another instance has blocked their prompt', () => {
    const blocked = new BlockedPrompts();
    const { scheduler, enqueue, refused } = pool(blocked);
    Array.from({ length: 6 }, (_, index) => enqueue(`x${String(index)}`, 0, { sharedPartIds: [] }));
    enqueue('a', 0);
    blocked.add({ partIds: ['bad'], untilMs: 60_000, blockCount: 1 }, 10);
    scheduler.run(20);
    expect(refused()).toEqual(['a prompt_crashes_upstream']);
  });

  it('refuses at once a held request whose software version no replica runs any more', () => {
    const { scheduler, enqueue, release, refused } = pool();
    const replica = { address: 'a', failureDomain: 'd', maxConcurrency: 2, leaving: false };
    const versioned = (versions: readonly string[]): void =>
      scheduler.setReplicas(
        versions.map((softwareVersion) => ({ ...replica, replicaId: softwareVersion, softwareVersion })),
      );
    versioned(['v1', 'v2', 'v3']);
    enqueue('a', 0, { softwareVersion: 'v3' });
    release('a', 'broken', 10);
    versioned(['v1', 'v2']);
    enqueue('b', 20, { softwareVersion: 'v1' });
    enqueue('c', 20, { softwareVersion: 'v2' });
    expect(refused()).toEqual([]);
    versioned(['v1']);
    scheduler.run(30);
    expect(refused()).toEqual(['c no_upstream']);
  });
});

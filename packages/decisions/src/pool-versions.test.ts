import type { Problem } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, PoolOutput, PoolPolicy, ReplicaInfo } from './pool-types.js';
import { slotRequest } from './testing/slot-request.js';

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0,
  targets: { firstTokenTargetMs: Number.POSITIVE_INFINITY, betweenTokensTargetMs: Number.POSITIVE_INFINITY },
  weightOf: () => 1,
  limitsOf: () => ({}),
};

function replica(replicaId: string, softwareVersion: string, slots: number): ReplicaInfo {
  return {
    replicaId,
    address: replicaId,
    failureDomain: 'd',
    softwareVersion,
    maxConcurrency: slots,
    leaving: false,
  };
}

/** A pool with one replica of each version, with the given numbers of slots. */
function poolOf(slotsOfV1: number, slotsOfV2: number) {
  const permits: Permit[] = [];
  const refusals: Problem[] = [];
  const revocations: Permit[] = [];
  const output: PoolOutput = {
    granted: (permit) => permits.push(permit),
    refused: (_request, problem) => refusals.push(problem),
    revoked: (permit) => revocations.push(permit),
    promptFound: () => undefined,
  };
  const scheduler = new PoolScheduler('s@', 'owner', POLICY, output);
  const infos = [replica('r1', 'v1', slotsOfV1), replica('r2', 'v2', slotsOfV2)];
  scheduler.setReplicas(infos);
  const replicasOf = (requestIds: readonly string[]): (string | undefined)[] =>
    requestIds.map((id) => permits.find((permit) => permit.request.requestId === id)?.replicaId);
  return { scheduler, infos, permits, refusals, revocations, replicasOf };
}

function release(scheduler: PoolScheduler, permit: Permit | undefined, nowMs: number): void {
  scheduler.release({ permitId: permit?.permitId ?? '', end: 'completed', tokens: 10 }, nowMs);
}

describe('PoolScheduler, for replicas of two software versions', () => {
  it('grants a resumed stream only a replica of its version, however loaded the others are', () => {
    const { scheduler, replicasOf } = poolOf(4, 40);
    ['a', 'b', 'c', 'd'].forEach((id) => scheduler.enqueue(slotRequest(id, { softwareVersion: 'v1' }), 0));
    scheduler.run(0);
    expect(replicasOf(['a', 'b', 'c', 'd'])).toEqual(['r1', 'r1', 'r1', 'r1']);
  });

  it('gives a freed slot to the resumed stream that waits for its version before new streams', () => {
    const { scheduler, permits, replicasOf } = poolOf(1, 1);
    ['a', 'b', 'new-1', 'new-2'].forEach((id) => scheduler.enqueue(slotRequest(id), 0));
    scheduler.run(0);
    scheduler.enqueue(slotRequest('resumed', { softwareVersion: 'v1' }), 10);
    release(
      scheduler,
      permits.find((permit) => permit.replicaId === 'r1'),
      20,
    );
    scheduler.run(20);
    expect(replicasOf(['resumed', 'new-1', 'new-2'])).toEqual(['r1', undefined, undefined]);
  });

  it('does not hold new streams back behind a resumed one whose version has no free slot', () => {
    const { scheduler, replicasOf } = poolOf(1, 2);
    scheduler.enqueue(slotRequest('a', { softwareVersion: 'v1' }), 0);
    scheduler.run(0);
    scheduler.enqueue(slotRequest('resumed', { softwareVersion: 'v1', deadlineMs: 1_000 }), 10);
    scheduler.enqueue(slotRequest('new'), 10);
    scheduler.run(10);
    expect(replicasOf(['resumed', 'new'])).toEqual([undefined, 'r2']);
  });

  it('preempts a batch stream of its version for a resumed stream, although the other version has free slots', () => {
    const { scheduler, revocations, replicasOf } = poolOf(1, 10);
    scheduler.enqueue(slotRequest('item', { workClass: 'batch', softwareVersion: 'v1' }), 0);
    scheduler.run(0);
    scheduler.enqueue(slotRequest('resumed', { softwareVersion: 'v1', startByMs: 225 }), 10);
    scheduler.run(10);
    expect(revocations.map((permit) => permit.request.requestId)).toEqual(['item']);
    expect(replicasOf(['resumed'])).toEqual(['r1']);
  });

  it('refuses a resumed stream at once that its version cannot start in time', () => {
    const { scheduler, refusals } = poolOf(1, 10);
    scheduler.enqueue(slotRequest('a', { softwareVersion: 'v1' }), 0);
    scheduler.run(0);
    scheduler.enqueue(slotRequest('resumed', { softwareVersion: 'v1', startByMs: 225 }), 10);
    expect(refusals.map((problem) => problem.code)).toEqual(['deadline_unreachable']);
  });

  it('refuses waiting and new streams of a version whose last replica leaves', () => {
    const { scheduler, infos, refusals } = poolOf(1, 10);
    scheduler.enqueue(slotRequest('a'), 0);
    scheduler.enqueue(slotRequest('b', { softwareVersion: 'v1' }), 0);
    scheduler.enqueue(slotRequest('c', { softwareVersion: 'v1' }), 0);
    scheduler.enqueue(slotRequest('item', { workClass: 'batch', softwareVersion: 'v1' }), 0);
    scheduler.run(0);
    scheduler.setReplicas(infos.map((info) => ({ ...info, leaving: info.softwareVersion === 'v1' })));
    scheduler.run(10);
    scheduler.enqueue(slotRequest('d', { softwareVersion: 'v1' }), 20);
    expect(refusals.map((problem) => problem.code)).toEqual(['no_upstream', 'no_upstream', 'no_upstream']);
    expect(scheduler.busy).toBe(true);
  });

  it('lets batch items of the other version pass an item that waits for a slot of its own', () => {
    const { scheduler, replicasOf } = poolOf(1, 2);
    scheduler.enqueue(slotRequest('a', { softwareVersion: 'v1' }), 0);
    scheduler.run(0);
    const item = { workClass: 'batch', softwareVersion: 'v1', deadlineMs: 1_000 } as const;
    scheduler.enqueue(slotRequest('waiting', item), 10);
    scheduler.enqueue(slotRequest('other', { workClass: 'batch' }), 10);
    scheduler.run(10);
    expect(replicasOf(['waiting', 'other'])).toEqual([undefined, 'r2']);
  });

  it('counts the slots of a replica for its new version when it registers again under its id', () => {
    const { scheduler, infos, refusals, replicasOf } = poolOf(1, 1);
    scheduler.setReplicas(infos.map((info) => ({ ...info, softwareVersion: 'v2' })));
    scheduler.enqueue(slotRequest('a', { softwareVersion: 'v1' }), 0);
    scheduler.enqueue(slotRequest('b', { softwareVersion: 'v2' }), 0);
    scheduler.enqueue(slotRequest('c', { softwareVersion: 'v2' }), 0);
    scheduler.run(0);
    expect(refusals).toHaveLength(1);
    expect(replicasOf(['b', 'c']).sort()).toEqual(['r1', 'r2']);
  });
});

import type { Problem } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { PERMIT_LIFETIME_MS } from './permit-table.js';
import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, SlotRequest, PoolOutput, PoolPolicy } from './pool-types.js';
import { slotRequest } from './testing/slot-request.js';

class Recorder implements PoolOutput {
  readonly permits: Permit[] = [];
  readonly refusals: Problem[] = [];
  readonly revocations: Permit[] = [];

  granted(permit: Permit): void {
    this.permits.push(permit);
  }

  refused(_request: SlotRequest, problem: Problem): void {
    this.refusals.push(problem);
  }

  revoked(permit: Permit): void {
    this.revocations.push(permit);
  }

  promptFound(): void {
    return;
  }
}

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0.08,
  targets: { firstTokenTargetMs: 570, betweenTokensTargetMs: 33 },
  weightOf: () => 1,
  limitsOf: () => ({}),
};

function pool(slots: number, replicas = 1, policy: PoolPolicy = POLICY) {
  const output = new Recorder();
  const scheduler = new PoolScheduler('m@d', 'owner', policy, output);
  const infos = Array.from({ length: replicas }, (_, index) => ({
    replicaId: `r${String(index)}`,
    address: `http://r${String(index)}`,
    failureDomain: 'd',
    maxConcurrency: slots,
    leaving: false,
  }));
  scheduler.setReplicas(infos);
  return { output, scheduler, infos };
}

let nextId = 0;
function request(changes: Partial<SlotRequest> = {}): SlotRequest {
  nextId += 1;
  return slotRequest(`q${String(nextId)}`, changes);
}

describe('PoolScheduler', () => {
  describe('when releases of permits were lost', () => {
    it('removes permits that a renewal does not list, except those whose grant may not have arrived yet', () => {
      const { scheduler } = pool(3);
      scheduler.enqueue(request(), 0);
      scheduler.run(0);
      scheduler.enqueue(request({ holder: 'other' }), 0);
      scheduler.enqueue(request(), 900);
      scheduler.run(900);
      scheduler.renew('h', [], 1_000);
      expect(scheduler.permits.all().map((permit) => permit.grantedAtMs)).toEqual([900, 900]);
    });

    it('grants their slots again once the replica reports that their streams have ended', () => {
      const { output, scheduler } = pool(4);
      Array.from({ length: 4 }, () => scheduler.enqueue(request(), 0));
      scheduler.run(0);
      const reports = [0, 1, 2, 3, 4, 5].map((step) => 400 + step * 10);
      reports.forEach((nowMs) => scheduler.observeLoad({ replicaId: 'r0', running: 1, waiting: 0 }, nowMs));
      Array.from({ length: 4 }, () => scheduler.enqueue(request(), 500));
      scheduler.run(500);
      expect(output.permits).toHaveLength(6);
    });
  });

  describe('when replicas run streams without a permit', () => {
    const reports = (scheduler: PoolScheduler, streams: number) =>
      [0, 1, 2, 3, 4, 5].forEach((step) =>
        scheduler.observeLoad({ replicaId: 'r0', running: streams, waiting: 0 }, step),
      );

    it('counts them when it chooses the least loaded replica', () => {
      const { output, scheduler } = pool(4, 2);
      reports(scheduler, 3);
      scheduler.enqueue(request(), 10);
      scheduler.enqueue(request(), 10);
      scheduler.run(10);
      expect(output.permits.map((permit) => permit.replicaId)).toEqual(['r1', 'r1']);
    });

    it('preempts batch streams at the same replica when the limit is exceeded', () => {
      const { output, scheduler } = pool(4);
      Array.from({ length: 3 }, () => scheduler.enqueue(request({ workClass: 'batch' }), 0));
      scheduler.run(0);
      reports(scheduler, 6);
      scheduler.run(10);
      expect(output.revocations).toHaveLength(2);
    });

    it('includes them in the expected wait', () => {
      const { output, scheduler } = pool(4);
      reports(scheduler, 4);
      scheduler.enqueue(request({ startByMs: 20 }), 10);
      expect(output.refusals).toHaveLength(1);
    });
  });

  it('preempts the youngest batch stream for an online request at once', () => {
    const { output, scheduler } = pool(2);
    scheduler.enqueue(request({ workClass: 'batch' }), 0);
    scheduler.run(0);
    scheduler.enqueue(request({ workClass: 'batch' }), 5);
    scheduler.run(5);
    scheduler.enqueue(request(), 10);
    scheduler.run(10);
    expect(output.revocations.map((permit) => permit.grantedAtMs)).toEqual([5]);
    expect(output.permits.at(-1)?.request.workClass).toBe('online');
  });

  it('never preempts a batch stream that cannot be resumed', () => {
    const { output, scheduler } = pool(1);
    scheduler.enqueue(request({ workClass: 'batch', resumable: false }), 0);
    scheduler.run(0);
    scheduler.enqueue(request(), 1);
    scheduler.run(1);
    expect(output.revocations).toEqual([]);
    expect(output.permits).toHaveLength(1);
  });

  it('does not start batch items while online requests wait', () => {
    const { output, scheduler } = pool(1);
    scheduler.enqueue(request(), 0);
    scheduler.enqueue(request(), 0);
    scheduler.enqueue(request({ workClass: 'batch' }), 0);
    scheduler.run(0);
    expect(output.permits.map((permit) => permit.request.workClass)).toEqual(['online']);
  });

  it('refuses a request whose deadline cannot be met, with a retry time', () => {
    const { output, scheduler } = pool(1);
    Array.from({ length: 5 }, () => scheduler.enqueue(request(), 0));
    scheduler.run(0);
    scheduler.enqueue(request({ deadlineMs: 100 }), 0);
    expect(output.refusals[0]).toMatchObject({ code: 'deadline_unreachable', run: 'not_run' });
    expect(output.refusals[0]?.retryAfterMs).toBeGreaterThan(0);
  });

  it('does not refuse requests of an organisation because of the backlog of another', () => {
    const { output, scheduler } = pool(2);
    Array.from({ length: 20 }, () => scheduler.enqueue(request(), 0));
    scheduler.run(0);
    scheduler.enqueue(request({ organisation: 'b', deadlineMs: 1_500 }), 0);
    scheduler.enqueue(request({ organisation: 'a', deadlineMs: 1_500 }), 0);
    expect(output.refusals).toHaveLength(1);
  });

  it('gives no work to a leaving replica', () => {
    const { output, scheduler, infos } = pool(4, 2);
    scheduler.setReplicas(infos.map((info) => ({ ...info, leaving: info.replicaId === 'r0' })));
    Array.from({ length: 4 }, () => scheduler.enqueue(request(), 0));
    scheduler.run(0);
    expect(new Set(output.permits.map((permit) => permit.replicaId))).toEqual(new Set(['r1']));
  });

  it('refuses waiting requests when its last replica leaves, so that they try another pool', () => {
    const { output, scheduler, infos } = pool(1);
    scheduler.enqueue(request({ resumable: false }), 0);
    scheduler.run(0);
    scheduler.enqueue(request(), 1);
    scheduler.enqueue(request({ workClass: 'batch' }), 1);
    scheduler.setReplicas(infos.map((info) => ({ ...info, leaving: true })));
    scheduler.run(2);
    scheduler.enqueue(request(), 3);
    expect(output.refusals.map((problem) => problem.code)).toEqual([
      'no_upstream',
      'no_upstream',
      'no_upstream',
    ]);
  });

  it('grants the slot of a permit again when its holder does not renew it', () => {
    const { output, scheduler } = pool(1);
    scheduler.enqueue(request(), 0);
    scheduler.run(0);
    scheduler.enqueue(request(), 1);
    scheduler.run(PERMIT_LIFETIME_MS - 1);
    expect(output.permits).toHaveLength(1);
    scheduler.run(PERMIT_LIFETIME_MS);
    expect(output.permits).toHaveLength(2);
  });

  it('adopts permits that a former owner granted', () => {
    const { output, scheduler } = pool(1);
    const permit = { permitId: 'old', request: request(), replicaId: 'r0', grantedAtMs: 0, expiresAtMs: 0 };
    scheduler.renew('h', [permit], 0);
    scheduler.enqueue(request(), 1);
    scheduler.run(1);
    expect(output.permits).toHaveLength(0);
  });

  it('enforces the limit of streams in flight of one organisation without delaying others', () => {
    const policy = { ...POLICY, limitsOf: (name: string) => (name === 'a' ? { maxInFlight: 1 } : {}) };
    const { output, scheduler } = pool(4, 1, policy);
    [request(), request(), request({ organisation: 'b' })].forEach((r) => scheduler.enqueue(r, 0));
    scheduler.run(0);
    expect(output.permits.map((permit) => permit.request.organisation).sort()).toEqual(['a', 'b']);
  });

  it('prefers the replica that caches the prefix until it has too many more streams', () => {
    const { output, scheduler } = pool(8, 2);
    scheduler.prefixes.add('p', 'r1', 0);
    Array.from({ length: 6 }, () => scheduler.enqueue(request({ prefixDigest: 'p' }), 0));
    scheduler.run(0);
    const onCached = output.permits.filter((permit) => permit.replicaId === 'r1').length;
    expect(output.permits.slice(0, 2).map((permit) => permit.replicaId)).toEqual(['r1', 'r1']);
    expect(onCached).toBeLessThanOrEqual(4);
  });

  it('preempts a batch stream at a replica that caches the prefix', () => {
    const { output, scheduler } = pool(2, 2);
    Array.from({ length: 4 }, () => scheduler.enqueue(request({ workClass: 'batch' }), 0));
    scheduler.run(0);
    scheduler.prefixes.add('p', 'r0', 0);
    scheduler.enqueue(request({ prefixDigest: 'p' }), 1);
    scheduler.run(1);
    expect(output.revocations.map((permit) => permit.replicaId)).toEqual(['r0']);
  });

  it('admits a burst of online requests that preempts batch streams in the next scheduling round', () => {
    const { output, scheduler } = pool(8);
    Array.from({ length: 8 }, () => scheduler.enqueue(request({ workClass: 'batch' }), 0));
    scheduler.run(0);
    const burst = Array.from({ length: 8 }, () => request({ startByMs: 225 }));
    burst.forEach((online) => scheduler.enqueue(online, 10));
    scheduler.run(10);
    expect(output.refusals).toHaveLength(0);
    expect(output.revocations).toHaveLength(8);
  });

  it('refuses a request at once when it is not expected to start in time', () => {
    const { output, scheduler } = pool(2);
    Array.from({ length: 2 }, () => scheduler.enqueue(request(), 0));
    scheduler.run(0);
    const late = request({ startByMs: 225 });
    scheduler.enqueue(late, 10);
    expect(output.refusals).toHaveLength(1);
  });

  it('tries any replica again when a request has failed at all of them', () => {
    const { output, scheduler } = pool(2, 2);
    scheduler.enqueue(request({ excludedReplicaIds: ['r0', 'r1'] }), 0);
    scheduler.run(0);
    expect(output.permits).toHaveLength(1);
  });

  it('preempts the stream with the latest deadline, at a replica that caches the prefix if there is one', () => {
    const { output, scheduler } = pool(2, 2);
    const due = [30_000, 40_000, 50_000, 60_000];
    due.forEach((deadlineMs) => scheduler.enqueue(request({ workClass: 'batch', deadlineMs }), 0));
    scheduler.run(0);
    scheduler.enqueue(request(), 10);
    scheduler.run(10);
    expect(output.revocations.map((permit) => permit.request.deadlineMs)).toEqual([60_000]);
    const other = output.permits.find((permit) => permit.replicaId !== output.revocations[0]?.replicaId);
    scheduler.prefixes.add('p', other?.replicaId ?? '', 10);
    scheduler.enqueue(request({ prefixDigest: 'p' }), 20);
    scheduler.run(20);
    expect(output.revocations[1]?.replicaId).toBe(other?.replicaId);
  });
});

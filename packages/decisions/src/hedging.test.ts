import { describe, expect, it } from 'vitest';

import { HedgeDelay } from './hedging.js';
import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, PoolOutput, PoolPolicy, SlotRequest } from './pool-types.js';
import { AttemptEnd } from './replica-health.js';
import { slotRequest } from './testing/slot-request.js';

const MAX_COPY_FRACTION = 0.05;
/** Copies that the budget may have saved up, beyond the fraction. */
const SAVED_COPIES = 5;

function pool(slots: number, replicas: number, maxCopyFraction: number | undefined = MAX_COPY_FRACTION) {
  const permits: Permit[] = [];
  const refused: SlotRequest[] = [];
  const output: PoolOutput = {
    granted: (permit) => permits.push(permit),
    refused: (request) => refused.push(request),
    revoked: () => undefined,
    promptFound: () => undefined,
  };
  const policy: PoolPolicy = {
    reserveMaxFraction: 0.08,
    targets: { firstTokenTargetMs: Infinity, betweenTokensTargetMs: Infinity },
    weightOf: () => 1,
    limitsOf: () => ({}),
    maxCopyFraction,
  };
  const scheduler = new PoolScheduler('s@', 'owner', policy, output);
  scheduler.setReplicas(
    Array.from({ length: replicas }, (_, index) => ({
      replicaId: `r${String(index)}`,
      address: `r${String(index)}`,
      failureDomain: 'd',
      maxConcurrency: slots,
      leaving: false,
    })),
  );
  return { scheduler, permits, refused };
}

function copies(permits: readonly Permit[]): Permit[] {
  return permits.filter(({ request }) => request.isCopy);
}

describe('HedgeDelay', () => {
  it('is not known before enough first events were seen, and then lies beyond nearly all of them', () => {
    const delay = new HedgeDelay();
    Array.from({ length: 49 }, () => delay.observe(60, 0));
    expect(delay.delayMs(1)).toBeUndefined();
    Array.from({ length: 46 }, () => delay.observe(60, 2));
    Array.from({ length: 5 }, () => delay.observe(900, 3));
    expect(delay.delayMs(4)).toBeGreaterThanOrEqual(59);
    expect(delay.delayMs(4)).toBeLessThan(900);
  });

  it('follows a service that has become slow, and forgets what is old', () => {
    const delay = new HedgeDelay();
    Array.from({ length: 100 }, () => delay.observe(60, 0));
    Array.from({ length: 100 }, () => delay.observe(400, 10_001));
    expect(delay.delayMs(10_002)).toBeGreaterThanOrEqual(390);
    expect(delay.delayMs(60_000)).toBeUndefined();
  });
});

describe('copies of slow requests', () => {
  it('stay within the limit when all replicas are slow at once and every request asks for one', () => {
    const { scheduler, permits } = pool(8, 20);
    Array.from({ length: 1_000 }, (_, index) => {
      const nowMs = index * 10;
      const requestId = `q${String(index)}`;
      scheduler.enqueue(slotRequest(requestId), nowMs);
      scheduler.run(nowMs);
      scheduler.enqueue(slotRequest(`${requestId}/copy`, { isCopy: true }), nowMs + 5);
      scheduler.run(nowMs + 5);
      permits
        .filter(({ grantedAtMs }) => nowMs - grantedAtMs > 500)
        .forEach(({ permitId }) =>
          scheduler.release({ permitId, end: AttemptEnd.completed, tokens: 10 }, nowMs),
        );
    });
    expect(copies(permits).length).toBeLessThanOrEqual(1_000 * MAX_COPY_FRACTION + SAVED_COPIES);
    expect(copies(permits).length).toBeGreaterThan(0);
  });

  it('save up a few at most, after however many requests without one', () => {
    const { scheduler, permits } = pool(8, 20);
    Array.from({ length: 10_000 }, (_, index) => {
      scheduler.enqueue(slotRequest(`q${String(index)}`), index);
      scheduler.run(index);
      const { permitId } = permits[permits.length - 1] ?? { permitId: '' };
      scheduler.release({ permitId, end: AttemptEnd.completed, tokens: 10 }, index);
    });
    Array.from({ length: 100 }, (_, index) =>
      scheduler.enqueue(slotRequest(`c${String(index)}`, { isCopy: true }), 20_000),
    );
    expect(copies(permits)).toHaveLength(SAVED_COPIES);
  });

  it('are never granted by an owner whose operators have set no limit', () => {
    const { scheduler, permits } = pool(8, 20, 0);
    scheduler.enqueue(slotRequest('c', { isCopy: true }), 0);
    expect(copies(permits)).toEqual([]);
  });

  it('are refused at once while requests wait, without a spare slot, and at the replica of the request', () => {
    const { scheduler, permits, refused } = pool(2, 2);
    Array.from({ length: 200 }, (_, index) => {
      scheduler.enqueue(slotRequest(`q${String(index)}`), 0);
      scheduler.run(0);
      const last = permits[permits.length - 1];
      if (last) scheduler.release({ permitId: last.permitId, end: AttemptEnd.completed, tokens: 1 }, 0);
    });
    Array.from({ length: 4 }, (_, index) => scheduler.enqueue(slotRequest(`busy${String(index)}`), 1));
    scheduler.run(1);
    scheduler.enqueue(slotRequest('a/copy', { isCopy: true }), 2);
    expect(refused.map(({ requestId }) => requestId)).toEqual(['a/copy']);
    const busy = scheduler.permits.all().filter(({ replicaId }) => replicaId === 'r0');
    busy.forEach(({ permitId }) => scheduler.release({ permitId, end: AttemptEnd.completed, tokens: 1 }, 3));
    scheduler.enqueue(slotRequest('b/copy', { isCopy: true, excludedReplicaIds: ['r0'] }), 10_000);
    scheduler.run(10_000);
    expect(copies(permits)).toEqual([]);
    scheduler.enqueue(slotRequest('c/copy', { isCopy: true, excludedReplicaIds: ['r1'] }), 10_001);
    expect(copies(permits).map(({ replicaId }) => replicaId)).toEqual(['r0']);
  });
});

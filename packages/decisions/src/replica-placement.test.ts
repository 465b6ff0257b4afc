import { describe, expect, it } from 'vitest';

import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, PoolOutput, PoolPolicy, ReplicaInfo, SlotRequest } from './pool-types.js';
import { AttemptEnd } from './replica-health.js';
import { slotRequest } from './testing/slot-request.js';

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0.08,
  targets: { firstTokenTargetMs: Infinity, betweenTokensTargetMs: Infinity },
  weightOf: () => 1,
  limitsOf: () => ({}),
};
const MEMORY_TOKENS = 72_000;

function replica(replicaId: string, changes: Partial<ReplicaInfo> = {}): ReplicaInfo {
  return {
    replicaId,
    address: replicaId,
    failureDomain: 'd',
    maxConcurrency: 8,
    memoryTokens: MEMORY_TOKENS,
    leaving: false,
    ...changes,
  };
}

function pool(infos: readonly ReplicaInfo[]) {
  const permits: Permit[] = [];
  const output: PoolOutput = {
    granted: (permit) => permits.push(permit),
    refused: () => undefined,
    revoked: () => undefined,
    promptFound: () => undefined,
  };
  const scheduler = new PoolScheduler('s@', 'owner', POLICY, output);
  scheduler.setReplicas(infos);
  let nextId = 0;
  /** Asks for a slot at `nowMs` and returns the permit; undefined if the request waits. */
  const ask = (changes: Partial<SlotRequest>, nowMs: number): Permit | undefined => {
    nextId += 1;
    const granted = permits.length;
    scheduler.enqueue(slotRequest(`q${String(nextId)}`, changes), nowMs);
    scheduler.run(nowMs);
    return permits.slice(granted).find(({ request }) => request.requestId === `q${String(nextId)}`);
  };
  const complete = ({ permitId }: Permit, betweenTokensMs: number, nowMs: number): void =>
    scheduler.release({ permitId, end: AttemptEnd.completed, tokens: 20, betweenTokensMs }, nowMs);
  const memoryAt = (replicaId: string): number =>
    scheduler.permits
      .all()
      .filter((permit) => permit.replicaId === replicaId)
      .reduce((sum, { request }) => sum + (request.memoryTokens ?? 0), 0);
  /** Runs two streams at a time for 3 s, each with the time between events of its replica. */
  const runInPairs = (betweenTokensMs: Readonly<Record<string, number>>): void =>
    Array.from({ length: 30 }).forEach((_, step) => {
      const running = [ask({}, step * 100), ask({}, step * 100)];
      running.forEach((permit) => {
        if (permit) complete(permit, betweenTokensMs[permit.replicaId] ?? 0, step * 100 + 50);
      });
    });
  return { scheduler, permits, ask, runInPairs, memoryAt };
}

describe('placement by memory', () => {
  it('never gives a replica more tokens than it can hold, however many long prompts come', () => {
    const ids = ['r0', 'r1', 'r2'];
    const { ask, memoryAt, permits } = pool(ids.map((id) => replica(id)));
    Array.from({ length: 60 }, (_, index) =>
      ask({ memoryTokens: 2_000 + ((index * 7_919) % 15_000) }, index),
    );
    ids.forEach((id) => expect(memoryAt(id)).toBeLessThanOrEqual(MEMORY_TOKENS));
    expect(permits.length).toBeGreaterThan(12);
  });

  it('keeps the memory of a preempted stream until it is released', () => {
    const { ask, memoryAt } = pool([replica('r0', { maxConcurrency: 2 })]);
    ask({ workClass: 'batch', memoryTokens: 40_000 }, 0);
    ask({ workClass: 'batch', memoryTokens: 30_000 }, 0);
    expect(ask({ memoryTokens: 10_000 }, 10)).toBeUndefined();
    expect(memoryAt('r0')).toBeLessThanOrEqual(MEMORY_TOKENS);
  });

  it('lets a short prompt start while a long one of another organisation waits for memory', () => {
    const { ask } = pool([replica('r0')]);
    ask({ memoryTokens: 60_000 }, 0);
    expect(ask({ organisation: 'a', memoryTokens: 20_000 }, 1)).toBeUndefined();
    expect(ask({ organisation: 'b', memoryTokens: 500 }, 2)).toBeDefined();
  });

  it('leaves a request that is larger than the memory to an empty replica to refuse', () => {
    const { ask } = pool([replica('r0')]);
    expect(ask({ memoryTokens: 90_000 }, 0)).toBeDefined();
  });
});

describe('placement by speed', () => {
  it('fills a replica that is twice as fast before one that is slow, and still uses both', () => {
    const { ask, runInPairs, permits } = pool([replica('slow'), replica('fast')]);
    runInPairs({ slow: 50, fast: 22 });
    const before = permits.length;
    Array.from({ length: 16 }, () => ask({}, 3_010));
    const at = permits.slice(before).map(({ replicaId }) => replicaId);
    expect(at.slice(0, 4)).toEqual(['fast', 'fast', 'fast', 'fast']);
    expect(at.filter((id) => id === 'slow')).toHaveLength(8);
  });

  it('knows nothing of the speed of a process that has started again under the same id', () => {
    const infos = [replica('r0', { startedAtUnixMs: 1 }), replica('r1', { startedAtUnixMs: 1 })];
    const { ask, runInPairs, scheduler } = pool(infos);
    runInPairs({ r0: 90, r1: 20 });
    expect(ask({}, 3_010)?.replicaId).toBe('r1');
    scheduler.setReplicas([replica('r0', { startedAtUnixMs: 2 }), replica('r1', { startedAtUnixMs: 1 })]);
    const described = scheduler.describe(3_020).replicas as { replicaId: string; extraStreams: number }[];
    expect(described.find(({ replicaId }) => replicaId === 'r0')?.extraStreams).toBe(0);
  });
});

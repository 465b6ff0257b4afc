import { describe, expect, it } from 'vitest';

import { BlockedPrompts } from './blocked-prompts.js';
import { PoolScheduler } from './pool-scheduler.js';
import type { Permit } from './pool-types.js';
import type { AttemptEnd } from './replica-health.js';
import { slotRequest } from './testing/slot-request.js';

const REPLICA_IDS = ['r0', 'r1', 'r2', 'r3'];
const RUN_MS = 5;
/** Longer than a replica is paused after a failure. */
const PAUSE_MS = 600;

/** A pool of replicas that stay under their ids, also when another process starts under one of them. */
function setup() {
  const permits: Permit[] = [];
  const blocked = new BlockedPrompts();
  const scheduler = new PoolScheduler(
    's@',
    'owner',
    {
      reserveMaxFraction: 0,
      targets: { firstTokenTargetMs: 570, betweenTokensTargetMs: 33 },
      weightOf: () => 1,
      limitsOf: () => ({}),
    },
    {
      granted: (permit) => permits.push(permit),
      refused: () => undefined,
      revoked: () => undefined,
      promptFound: () => undefined,
    },
    blocked,
  );
  const setReplicas = (startedAtUnixMs: number): void =>
    scheduler.setReplicas(
      REPLICA_IDS.map((replicaId) => ({
        replicaId,
        address: replicaId,
        failureDomain: 'd',
        maxConcurrency: 2,
        leaving: false,
        startedAtUnixMs,
      })),
    );
  let nowMs = 0;
  let requests = 0;
  /** Starts a request at the replica and returns what ends it. */
  const start = (replicaId: string, requestDigest: string): ((end: AttemptEnd) => void) => {
    nowMs += PAUSE_MS;
    requests += 1;
    const excludedReplicaIds = REPLICA_IDS.filter((id) => id !== replicaId);
    const request = slotRequest(`q${String(requests)}`, {
      requestDigest,
      excludedReplicaIds,
      deadlineMs: nowMs + 60_000,
    });
    scheduler.renew(request.holder, scheduler.permits.all(), nowMs);
    scheduler.enqueue(request, nowMs);
    scheduler.run(nowMs);
    const permit = permits.at(-1);
    if (permit?.request !== request) throw new Error('no permit');
    return (end) => {
      nowMs += RUN_MS;
      scheduler.release({ permitId: permit.permitId, end, tokens: 0 }, nowMs);
    };
  };
  const run = (replicaId: string, requestDigest: string, end: AttemptEnd): void => {
    start(replicaId, requestDigest)(end);
  };
  const isRefused = (requestDigest: string): boolean =>
    blocked.refuses({ sharedPartIds: [], requestDigest }, nowMs);
  setReplicas(1);
  return { start, run, isRefused, setReplicas };
}

describe('replicas that break each connection', () => {
  it('are no evidence against a request that comes again and meets them after others did', () => {
    const { run, isRefused } = setup();
    REPLICA_IDS.forEach((replicaId, index) => run(replicaId, `other${String(index)}`, 'broken'));
    REPLICA_IDS.slice(0, 3).forEach((replicaId) => run(replicaId, 'sound', 'broken'));
    expect(isRefused('sound')).toBe(false);
  });

  it('are none when streams from before their first break are completed in between', () => {
    const { start, run, isRefused } = setup();
    const ends = REPLICA_IDS.map((replicaId, index) => start(replicaId, `earlier${String(index)}`));
    REPLICA_IDS.forEach((replicaId, index) => run(replicaId, `other${String(index)}`, 'broken'));
    ends.forEach((end) => end('completed'));
    REPLICA_IDS.slice(0, 3).forEach((replicaId) => run(replicaId, 'sound', 'broken'));
    expect(isRefused('sound')).toBe(false);
  });

  it.each([
    ['completed a request in between', 1],
    ['are new processes under the same ids', 2],
  ])('are evidence when they %s', (_, startedAtUnixMs) => {
    const { run, isRefused, setReplicas } = setup();
    REPLICA_IDS.forEach((replicaId, index) => {
      run(replicaId, `other${String(index)}`, 'broken');
      if (startedAtUnixMs === 1) run(replicaId, `sound${String(index)}`, 'completed');
    });
    setReplicas(startedAtUnixMs);
    REPLICA_IDS.slice(0, 3).forEach((replicaId) => run(replicaId, 'deadly', 'broken'));
    expect(isRefused('deadly')).toBe(true);
  });
});

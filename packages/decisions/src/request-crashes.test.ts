import { describe, expect, it } from 'vitest';

import { BlockedPrompts } from './blocked-prompts.js';
import { CrashSuspicions } from './crash-suspicions.js';
import type { PromptedRequest } from './prompt-crashes.js';
import type { AttemptEnd } from './replica-health.js';

const MINUTE_MS = 60_000;
const RUN_MS = 100;
const PARTS = ['shared', 'rare'];

/** What an owner concludes from the ends of attempts, the findings, and the requests that are pending. */
function setup() {
  const blocked = new BlockedPrompts();
  const findings: string[] = [];
  const pending = new Set<string>();
  const suspicions = new CrashSuspicions(blocked, (finding, { partIds }) =>
    findings.push(`${finding} ${partIds.join('+')}`),
  );
  let attempts = 0;
  const requestOf = (requestDigest: string, sharedPartIds = PARTS): PromptedRequest => ({
    requestId: `q${String((attempts += 1))}`,
    requestDigest,
    sharedPartIds,
  });
  const tryStart = (request: PromptedRequest, nowMs: number): boolean =>
    !suspicions.isBlocked(request, nowMs) && suspicions.tryStart(request, (id) => pending.has(id), nowMs);
  const finish = (
    request: PromptedRequest,
    end: AttemptEnd,
    nowMs: number,
    replicaId = `r${request.requestId}`,
    startedAtMs = nowMs - RUN_MS,
    events = 20,
  ): void =>
    suspicions.onEnd({ request, replicaId, startedAtMs, end, events, wasReplicaBroken: false }, nowMs);
  /** Runs the request unless it is refused or held, and crashes a new replica under it. Returns whether it ran. */
  const crash = (requestDigest: string, nowMs: number, sharedPartIds = PARTS): boolean => {
    const request = requestOf(requestDigest, sharedPartIds);
    if (!tryStart(request, nowMs - RUN_MS)) return false;
    finish(request, 'broken', nowMs);
    return true;
  };
  return { suspicions, blocked, findings, pending, requestOf, tryStart, finish, crash };
}

describe('a request that comes again and crashes each replica', () => {
  it('is refused after three crashes, although sound requests with its parts run in between', () => {
    const { suspicions, requestOf, finish, crash } = setup();
    const ran = Array.from({ length: 8 }, (_, index) => {
      finish(requestOf(`sound${String(index)}`), 'completed', 1_000 * index + 500);
      return crash('deadly', 1_000 * index + 900);
    });
    expect(ran).toEqual([true, true, true, false, false, false, false, false]);
    expect(suspicions.isBlocked({ sharedPartIds: PARTS }, 9_000)).toBe(false);
    expect(suspicions.isBlocked({ sharedPartIds: PARTS, requestDigest: 'other' }, 9_000)).toBe(false);
  });

  it('is refused although it comes minutes apart', () => {
    const { crash } = setup();
    const ran = Array.from({ length: 5 }, (_, index) => crash('deadly', 3 * MINUTE_MS * (index + 1)));
    expect(ran).toEqual([true, true, true, false, false]);
  });

  it('runs one at a time after two crashes', () => {
    const { crash, pending, requestOf, tryStart, finish } = setup();
    crash('deadly', 1_000);
    crash('deadly', 2_000);
    const [first, second] = [requestOf('deadly'), requestOf('deadly')];
    expect(tryStart(first, 3_000)).toBe(true);
    pending.add(first.requestId);
    expect(tryStart(second, 3_000)).toBe(false);
    finish(first, 'completed', 3_100);
    expect(tryStart(second, 3_100)).toBe(true);
  });

  it('does not make its parts refused for others, however often it comes', () => {
    const { suspicions, findings, crash } = setup();
    Array.from({ length: 20 }, (_, index) => crash('deadly', 1_000 * (index + 1), ['rare']));
    expect(suspicions.isBlocked({ sharedPartIds: ['rare'], requestDigest: 'other' }, 21_000)).toBe(false);
    expect(findings.filter((finding) => finding.startsWith('blocked'))).toEqual(['blocked request/deadly']);
  });

  it('is refused as are two hundred others that come three times each', () => {
    const { suspicions, crash } = setup();
    const digests = Array.from({ length: 200 }, (_, index) => `deadly${String(index)}`);
    const ran = Array.from({ length: 5 }, (_, round) =>
      digests.map((digest, index) => crash(digest, 100_000 * round + 200 * index, [])),
    ).flat();
    expect(ran.filter(Boolean)).toHaveLength(600);
    expect(
      digests.every((requestDigest) => suspicions.isBlocked({ sharedPartIds: [], requestDigest }, 500_000)),
    ).toBe(true);
  });

  it('is let through once when its block has ended, and then refused again or cleared', () => {
    const { suspicions, requestOf, finish, crash } = setup();
    [1_000, 2_000, 3_000].forEach((nowMs) => crash('deadly', nowMs));
    expect(crash('deadly', 9 * MINUTE_MS)).toBe(false);
    expect(crash('deadly', 11 * MINUTE_MS)).toBe(true);
    expect(crash('deadly', 25 * MINUTE_MS)).toBe(false);
    finish(requestOf('deadly'), 'completed', 40 * MINUTE_MS);
    expect(suspicions.isBlocked({ sharedPartIds: [], requestDigest: 'deadly' }, 40 * MINUTE_MS)).toBe(false);
    expect([1, 2].map((second) => crash('deadly', 41 * MINUTE_MS + 1_000 * second))).toEqual([true, true]);
  });
});

describe('a sound request that is under way when replicas crash', () => {
  it('is not suspected when it comes all day and completes in between', () => {
    const { findings, requestOf, finish, crash } = setup();
    Array.from({ length: 30 }, (_, index) => {
      crash('fixed', MINUTE_MS * (index + 1));
      finish(requestOf('fixed'), 'completed', MINUTE_MS * (index + 1) + 300);
    });
    expect(findings).toEqual([]);
  });

  it('counts one crash when several replicas are lost at the same moment', () => {
    const { findings, requestOf, finish } = setup();
    Array.from({ length: 6 }, (_, index) => finish(requestOf('fixed', []), 'broken', 1_000 + index));
    expect(findings).toEqual([]);
  });

  it.each<AttemptEnd>(['cancelled', 'unusable', 'refused', 'leaving'])(
    'is not suspected for an attempt that ended as %s',
    (end) => {
      const { findings, requestOf, finish } = setup();
      Array.from({ length: 6 }, (_, index) => finish(requestOf('fixed', []), end, 1_000 * (index + 1)));
      expect(findings).toEqual([]);
    },
  );

  it('is not suspected for connections that broke when the replicas complete other requests later', () => {
    const { findings, requestOf, finish } = setup();
    Array.from({ length: 6 }, (_, index) => {
      const nowMs = 1_000 * (index + 1);
      const replicaId = `r${String(index)}`;
      finish(requestOf('fixed'), 'broken', nowMs, replicaId, nowMs - RUN_MS, 2);
      finish(requestOf('other', []), 'completed', nowMs + 300, replicaId);
    });
    expect(findings.filter((finding) => !finding.startsWith('suspected shared'))).toEqual([]);
  });

  it('stays suspected when a report that the replica had served came late', () => {
    const { findings, requestOf, finish } = setup();
    Array.from({ length: 3 }, (_, index) => {
      const nowMs = 1_000 * (index + 1);
      const replicaId = `r${String(index)}`;
      finish(requestOf('deadly', []), 'broken', nowMs, replicaId);
      finish(requestOf('other', []), 'completed', nowMs + 20, replicaId);
    });
    expect(findings).toEqual(['suspected request/deadly', 'blocked request/deadly']);
  });

  it('keeps the memory bounded when replicas crash under ever different requests', () => {
    const { suspicions, crash } = setup();
    Array.from({ length: 5_000 }, (_, index) =>
      [1, 2].map((part) => crash(`q${String(index)}`, 400 * (index + 1) + 150 * part, [])),
    );
    expect((suspicions.dump(0).suspectedRequests as unknown[]).length).toBeLessThanOrEqual(4_000);
  });
});

describe('a batch item', () => {
  it('without shared parts is never refused, however many replicas crash under it', () => {
    const { suspicions, findings, finish } = setup();
    const item = (run: number) => ({ requestId: `job/item/${String(run)}`, sharedPartIds: [] });
    Array.from({ length: 20 }, (_, run) => finish(item(run), 'broken', 1_000 * (run + 1)));
    expect(suspicions.isBlocked({ sharedPartIds: [] }, 21_000)).toBe(false);
    expect(findings).toEqual([]);
  });

  it('makes a part of its prompt refused that crashes each of its runs', () => {
    const { suspicions, tryStart, finish } = setup();
    const ran = Array.from({ length: 8 }, (_, run) => {
      const item = { requestId: `job/item/${String(run)}`, sharedPartIds: ['bad'] };
      if (!tryStart(item, 1_000 * run)) return false;
      finish(item, 'broken', 1_000 * run + 500, undefined, 1_000 * run, 0);
      return true;
    });
    expect(ran.filter(Boolean)).toHaveLength(3);
    expect(suspicions.isBlocked({ sharedPartIds: ['bad'] }, 9_000)).toBe(true);
  });
});

import { describe, expect, it } from 'vitest';

import { BlockedPrompts } from './blocked-prompts.js';
import { PromptCrashes } from './prompt-crashes.js';

const MINUTE_MS = 60_000;

/** Judged prompts, the findings, and whether requests are pending. */
function setup(blocked = new BlockedPrompts()) {
  const findings: string[] = [];
  const pending = new Set<string>();
  const crashes = new PromptCrashes(blocked, (finding, { partIds }) =>
    findings.push(`${finding} ${partIds.join('+')}`),
  );
  let requests = 0;
  let replicas = 0;
  /** Lets a request start, if it may, and crashes a new replica under it. Returns whether it started. */
  const crash = (sharedPartIds: readonly string[], nowMs: number): boolean => {
    const request = { requestId: `q${String((requests += 1))}`, sharedPartIds };
    if (crashes.isBlocked(sharedPartIds, nowMs)) return false;
    if (!crashes.tryStart(request, (id) => pending.has(id), nowMs)) return false;
    crashes.onCrash(request, `r${String((replicas += 1))}`, nowMs);
    return true;
  };
  return { crashes, blocked, findings, pending, crash };
}

describe('PromptCrashes', () => {
  it('blocks a part after three replicas have crashed, two of them under the only request with it', () => {
    const { crashes, findings, crash } = setup();
    crashes.onSound(['shared'], 0);
    const started = Array.from({ length: 6 }, (_, index) => crash(['shared', 'bad'], 100 * index));
    expect(started).toEqual([true, true, true, false, false, false]);
    expect(findings).toEqual(['suspected bad', 'blocked bad']);
    expect(crashes.isBlocked(['other', 'bad'], 1_000)).toBe(true);
    expect(crashes.isBlocked(['shared'], 1_000)).toBe(false);
  });

  it('lets one request with a suspected part through at a time', () => {
    const { crashes, pending, crash } = setup();
    crash(['bad'], 0);
    const tryStart = (requestId: string): boolean =>
      crashes.tryStart({ requestId, sharedPartIds: ['bad'] }, (id) => pending.has(id), 10);
    expect(tryStart('a')).toBe(true);
    pending.add('a');
    expect(tryStart('b')).toBe(false);
    pending.delete('a');
    expect(tryStart('b')).toBe(true);
  });

  it('does not block on crashes that came at the same moment, as when a failure domain is lost', () => {
    const { crashes, findings } = setup();
    Array.from({ length: 5 }, (_, index) =>
      crashes.onCrash(
        { requestId: `q${String(index)}`, sharedPartIds: ['rare'] },
        `r${String(index)}`,
        index,
      ),
    );
    expect(findings).toEqual(['suspected rare']);
    crashes.onSound(['rare'], 100);
    expect(crashes.probeIdsOf(['rare'], 100)).toEqual([]);
  });

  it('does not suspect a part with which requests run meanwhile', () => {
    const { crashes, findings, crash } = setup();
    Array.from({ length: 20 }, (_, index) => {
      crashes.onSound(['shared'], 100 * index);
      crash(['shared'], 100 * index + 50);
    });
    expect(findings).toEqual([]);
  });

  it('suspects a part that no longer runs, although it did', () => {
    const { crashes, findings, crash } = setup();
    crashes.onSound(['shared'], 0);
    Array.from({ length: 30 }, (_, index) => crash(['shared'], 100 * index));
    expect(findings).toEqual(['suspected shared', 'blocked shared']);
  });

  it('blocks parts that always came together only together, and finds out which of them it is', () => {
    const { crashes, findings, crash } = setup();
    Array.from({ length: 4 }, (_, index) => crash(['rare', 'bad'], index));
    expect(findings.pop()).toBe('blocked rare+bad');
    expect(crashes.isBlocked(['rare'], 10)).toBe(false);
    expect(crashes.isBlocked(['bad'], 10)).toBe(false);
    crashes.onSound(['rare'], 20);
    expect(findings.pop()).toBe('blocked bad');
    expect(crashes.isBlocked(['other', 'bad'], 30)).toBe(true);
    expect(crashes.isBlocked(['rare'], 30)).toBe(false);
  });

  it('blocks at once the part that a crash leaves of those that are blocked together', () => {
    const { findings, crash } = setup();
    Array.from({ length: 4 }, (_, index) => crash(['rare', 'bad'], index));
    expect(crash(['other', 'bad'], 10)).toBe(true);
    expect(findings.pop()).toBe('blocked bad');
    expect(crash(['third', 'bad'], 20)).toBe(false);
  });

  it('blocks a part again after one crash when its block has ended, for twice the time', () => {
    const { crashes, blocked, crash } = setup();
    Array.from({ length: 3 }, (_, index) => crash(['bad'], index));
    expect(crashes.isBlocked(['bad'], 9 * MINUTE_MS)).toBe(true);
    expect(crash(['bad'], 11 * MINUTE_MS)).toBe(true);
    expect(crash(['bad'], 11 * MINUTE_MS + 1)).toBe(false);
    expect(blocked.active(11 * MINUTE_MS).map(({ untilMs }) => untilMs)).toEqual([31 * MINUTE_MS]);
  });

  it('does so at an owner that knows the block from another instance', () => {
    const blocked = new BlockedPrompts();
    blocked.add({ partIds: ['bad'], untilMs: MINUTE_MS, blockCount: 1 }, 0);
    const { findings, crash } = setup(blocked);
    expect(crash(['bad'], 10)).toBe(false);
    expect(crash(['bad'], 2 * MINUTE_MS)).toBe(true);
    expect(findings).toContain('blocked bad');
    expect(crash(['bad'], 2 * MINUTE_MS + 1)).toBe(false);
  });

  it('clears a part when its block has ended and a request with it runs', () => {
    const { crashes, findings, crash } = setup();
    Array.from({ length: 3 }, (_, index) => crash(['bad'], index));
    crashes.onSound(['bad'], 11 * MINUTE_MS);
    expect(crash(['bad'], 13 * MINUTE_MS)).toBe(true);
    expect(findings.at(-1)).toBe('suspected bad');
  });

  it('forgets a suspicion after a minute', () => {
    const { crashes, crash } = setup();
    crash(['a'], 0);
    expect(crashes.isProbe({ requestId: 'q1', sharedPartIds: ['a'] }, MINUTE_MS + 1)).toBe(false);
    expect(crashes.dump(MINUTE_MS + 1)).toMatchObject({ suspected: [] });
  });

  it('keeps its memory bounded when every request has another part', () => {
    const { crashes, crash } = setup();
    Array.from({ length: 1_200 }, (_, index) => crash([`p${String(index)}`], index));
    expect((crashes.dump(1_200).suspected as unknown[]).length).toBeLessThanOrEqual(1_000);
  });
});

describe('BlockedPrompts', () => {
  it('replaces the blocks of supersets, and ignores those of supersets', () => {
    const blocked = new BlockedPrompts();
    const block = (...partIds: string[]) => ({ partIds, untilMs: 1_000, blockCount: 1 });
    expect(blocked.add(block('a', 'b'), 0)).toBe(true);
    expect(blocked.add(block('b'), 0)).toBe(true);
    expect(blocked.add(block('a', 'b'), 0)).toBe(false);
    expect(blocked.active(0)).toEqual([block('b')]);
  });

  it('keeps a bounded number of blocks', () => {
    const blocked = new BlockedPrompts();
    Array.from({ length: 300 }, (_, index) =>
      blocked.add({ partIds: [`p${String(index)}`], untilMs: 1_000 + index, blockCount: 1 }, 0),
    );
    expect(blocked.active(0)).toHaveLength(256);
    expect(blocked.find(['p299'], 0)).toBeDefined();
    expect(blocked.find(['p0'], 0)).toBeUndefined();
  });

  it('does not prolong a block that several instances tell of', () => {
    const blocked = new BlockedPrompts();
    blocked.add({ partIds: ['a'], untilMs: 1_000, blockCount: 1 }, 0);
    expect(blocked.add({ partIds: ['a'], untilMs: 1_200, blockCount: 1 }, 100)).toBe(false);
    expect(blocked.find(['a'], 1_100)).toBeUndefined();
  });
});

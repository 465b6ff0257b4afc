import type { JobProgress } from '@fighub/core';
import { InvariantError } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import {
  claimJob,
  commitResults,
  committedResults,
  endJob,
  releaseJob,
  isClosed,
  mayCommit,
  nextSegmentKey,
  shouldClaim,
  shouldCommit,
  waitingTokensByBacklog,
} from './job-progress.js';

const PROGRESS: JobProgress = {
  jobId: 'j',
  host: 'h',
  routeName: 'r',
  acceptedAtUnixMs: 0,
  dueAtUnixMs: 18_000,
  abandonAtUnixMs: 60_000,
  maxAttempts: 3,
  itemCount: 2,
  inputPartCount: 1,
  holder: 'a',
  epoch: 1,
  sequence: 1,
  ended: false,
  finishedIndexes: [],
  failures: [{ index: 0, failedAttempts: 1 }],
  segments: [],
  openTokens: 300,
};

function ended(index: number) {
  return { index, tokens: 100, result: { itemId: `i${String(index)}`, succeeded: true, output: 'x' } };
}

describe('commitResults', () => {
  it('adds a segment, reduces the open tokens and drops the failures of items that ended', () => {
    const next = commitResults(PROGRESS, [ended(0)], PROGRESS.failures);
    expect(next).toMatchObject({ sequence: 2, finishedIndexes: [0], failures: [], openTokens: 200 });
    expect(next.segments).toEqual([{ key: nextSegmentKey(PROGRESS), count: 1 }]);
    expect(committedResults(commitResults(next, [ended(1)], []))).toBe(2);
    expect(isClosed(commitResults(next, [ended(1)], []))).toBe(true);
  });

  it('throws an invariant error when an item ends twice', () => {
    const next = commitResults(PROGRESS, [ended(0)], []);
    expect(() => commitResults(next, [ended(0)], [])).toThrow(InvariantError);
  });

  it('gives the segments of two holders different keys', () => {
    const other = claimJob(PROGRESS, 'b');
    expect(nextSegmentKey({ ...other, sequence: PROGRESS.sequence })).not.toBe(nextSegmentKey(PROGRESS));
  });
});

describe('shouldClaim', () => {
  const healthy = {
    holderIsLive: true,
    holderIsPredecessor: false,
    unchangedMs: 1_000,
    memberForMs: 60_000,
    isPreferred: true,
  };

  it('does not claim a job from a live, active holder', () => {
    expect(shouldClaim(PROGRESS, healthy)).toBe(false);
  });

  it('claims a job whose holder has failed, the preferred instance before the others', () => {
    const failed = { ...healthy, holderIsLive: false, unchangedMs: 0 };
    expect(shouldClaim(PROGRESS, failed)).toBe(true);
    expect(shouldClaim(PROGRESS, { ...failed, isPreferred: false })).toBe(false);
    expect(shouldClaim(PROGRESS, { ...failed, isPreferred: false, unchangedMs: 3_000 })).toBe(true);
  });

  it('does not rely on the membership when this instance has just joined', () => {
    expect(shouldClaim(PROGRESS, { ...healthy, holderIsLive: false, memberForMs: 500 })).toBe(false);
  });

  it('claims the jobs of the earlier process of this instance at once after a power loss of all', () => {
    const restarted = { ...healthy, holderIsLive: false, unchangedMs: 0, memberForMs: 0, isPreferred: false };
    expect(shouldClaim(PROGRESS, { ...restarted, holderIsPredecessor: true })).toBe(true);
    expect(shouldClaim(PROGRESS, restarted)).toBe(false);
    expect(shouldClaim(endJob(PROGRESS), { ...restarted, holderIsPredecessor: true })).toBe(false);
  });

  it('claims a released job, and a job whose live holder has stopped writing', () => {
    expect(shouldClaim(releaseJob(PROGRESS), healthy)).toBe(true);
    expect(shouldClaim(PROGRESS, { ...healthy, unchangedMs: 9_000 })).toBe(true);
  });

  it('does not claim closed jobs', () => {
    expect(shouldClaim(endJob(PROGRESS), { ...healthy, holderIsLive: false })).toBe(false);
  });
});

describe('shouldCommit', () => {
  const state = { pendingResults: 1, oldestPendingMs: 0, itemsLeft: 3, lastWriteMs: 0, dueMs: 18_000 };

  it('delays a commit so that results share a write', () => {
    expect(shouldCommit(state, 500)).toBe(false);
    expect(shouldCommit(state, 1_200)).toBe(true);
  });

  it('commits at once after the last item, with many pending results, and near the due time', () => {
    expect(shouldCommit({ ...state, itemsLeft: 0 }, 0)).toBe(true);
    expect(shouldCommit({ ...state, pendingResults: 6 }, 0)).toBe(true);
    expect(shouldCommit({ ...state, oldestPendingMs: 16_000 }, 16_000)).toBe(true);
  });

  it('writes without results once the holder has not written for 3.5 s', () => {
    expect(shouldCommit({ ...state, pendingResults: 0 }, 3_499)).toBe(false);
    expect(shouldCommit({ ...state, pendingResults: 0 }, 3_500)).toBe(true);
  });
});

describe('mayCommit', () => {
  const state = { pendingResults: 0, oldestPendingMs: 0, itemsLeft: 3, lastWriteMs: 0, dueMs: 18_000 };

  it('commits any result along with another write, and otherwise shows activity after half of the period', () => {
    expect(mayCommit({ ...state, pendingResults: 1 }, 0)).toBe(true);
    expect(mayCommit(state, 1_749)).toBe(false);
    expect(mayCommit(state, 1_750)).toBe(true);
  });
});

describe('waitingTokensByBacklog', () => {
  it('sums the open tokens of each route over jobs that are not closed', () => {
    const other = { ...PROGRESS, routeName: 'other' };
    const jobs = [PROGRESS, PROGRESS, other, endJob(PROGRESS)];
    expect(waitingTokensByBacklog(jobs)).toEqual({ r: 600, other: 300 });
  });
});

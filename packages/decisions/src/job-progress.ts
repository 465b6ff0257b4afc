/** Transitions of a batch job's progress, and who should run it. Pure: the caller writes by compare-and-swap. */
import type { ItemFailures, JobProgress, StoredResult } from '@fighub/core';
import { InvariantName, batchJobKeys, checkInvariant } from '@fighub/core';

/** Results of items that ended, by the items' indexes. */
export interface EndedItem {
  readonly index: number;
  readonly tokens: number;
  readonly result: StoredResult;
}

/** Whether nothing more is to be run of a job. */
export function isClosed(progress: JobProgress): boolean {
  return progress.ended || progress.finishedIndexes.length === progress.itemCount;
}

/** Number of results that can be read. */
export function committedResults(progress: JobProgress): number {
  return progress.segments.reduce((sum, segment) => sum + segment.count, 0);
}

/** Makes `holder` the one that runs the job. */
export function claimJob(progress: JobProgress, holder: string): JobProgress {
  return { ...progress, holder, epoch: progress.epoch + 1, sequence: progress.sequence + 1 };
}

/** Gives the job back, so that another instance need not wait to see that its holder is gone. */
export function giveBackJob(progress: JobProgress): JobProgress {
  return { ...progress, holder: '', sequence: progress.sequence + 1 };
}

/** Shows that the holder is at work. */
export function touchJob(progress: JobProgress, failures: readonly ItemFailures[]): JobProgress {
  return { ...progress, failures, sequence: progress.sequence + 1 };
}

/** Ends a job at its caller's request. */
export function endJob(progress: JobProgress): JobProgress {
  return { ...progress, ended: true, openTokens: 0, sequence: progress.sequence + 1 };
}

/** Key of the segment that the next commit writes. */
export function nextSegmentKey(progress: JobProgress): string {
  return batchJobKeys.segment(progress.jobId, progress.epoch, progress.sequence + 1);
}

/** Adds the results of ended items as one segment. Each item may end only once. */
export function commitResults(
  progress: JobProgress,
  ended: readonly EndedItem[],
  failures: readonly ItemFailures[],
): JobProgress {
  const finished = new Set(progress.finishedIndexes);
  ended.forEach(({ index }) => {
    checkInvariant(InvariantName.itemCommittedOnce, !finished.has(index), () => ({ progress, index }));
    finished.add(index);
  });
  const endedTokens = ended.reduce((sum, item) => sum + item.tokens, 0);
  return {
    ...progress,
    sequence: progress.sequence + 1,
    finishedIndexes: [...finished],
    failures: failures.filter((entry) => !finished.has(entry.index)),
    segments: [...progress.segments, { key: nextSegmentKey(progress), count: ended.length }],
    openTokens: Math.max(0, progress.openTokens - endedTokens),
  };
}

/** What decides when results are committed. Times are monotonic. */
export interface CommitState {
  readonly pendingResults: number;
  readonly oldestPendingMs: number;
  readonly itemsLeft: number;
  readonly lastWriteMs: number;
  readonly dueMs: number;
}

const COMMIT_AT_RESULTS = 6;
/** Results wait this long for others to share a write, in milliseconds. */
const COMMIT_AFTER_MS = 1_200;
/** Near the due time results are committed at once, since readers ask for them then. */
const NEAR_DUE_MS = 2_500;
/** A holder shows that it is at work at least this often, in milliseconds. */
const TOUCH_AFTER_MS = 3_500;

/** Whether the holder should write now. */
export function shouldCommit(state: CommitState, nowMs: number): boolean {
  if (state.pendingResults === 0) return nowMs - state.lastWriteMs >= TOUCH_AFTER_MS;
  if (state.itemsLeft === 0 || state.pendingResults >= COMMIT_AT_RESULTS) return true;
  const isNearDue = nowMs >= state.dueMs - NEAR_DUE_MS;
  return isNearDue || nowMs - state.oldestPendingMs >= COMMIT_AFTER_MS;
}

/** What an instance knows of a job's holder. */
export interface HolderEvidence {
  /** Whether membership counts the holder as live. */
  readonly holderIsLive: boolean;
  /** How long the job's progress was seen unchanged while the store could be read, in milliseconds. */
  readonly unchangedMs: number;
  /** How long this instance has taken part in the membership, in milliseconds. */
  readonly memberForMs: number;
  /** Whether this instance is the first choice among the live ones. */
  readonly isPreferred: boolean;
}

/** A holder that membership knows but that has written nothing for this long has stopped. */
const STALE_HOLDER_MS = 9_000;
/** A new member does not yet know whom to believe. */
const NEW_MEMBER_MS = 2_000;
/** How long the others wait for the preferred instance, in milliseconds. */
const OTHERS_WAIT_MS = 3_000;

/** Whether this instance should take the job over. */
export function shouldClaim(progress: JobProgress, evidence: HolderEvidence): boolean {
  if (isClosed(progress)) return false;
  const isGivenBack = progress.holder === '';
  const isGone = !evidence.holderIsLive && evidence.memberForMs >= NEW_MEMBER_MS;
  const isStale = evidence.unchangedMs >= STALE_HOLDER_MS;
  if (!isGivenBack && !isGone && !isStale) return false;
  const waitedMs = isStale ? evidence.unchangedMs - STALE_HOLDER_MS : evidence.unchangedMs;
  return evidence.isPreferred || waitedMs >= OTHERS_WAIT_MS;
}

/** Tokens that wait on each route, over all jobs that are not closed. */
export function waitingTokensByRoute(jobs: readonly JobProgress[]): Readonly<Record<string, number>> {
  return jobs
    .filter((job) => !isClosed(job))
    .reduce<Record<string, number>>((sums, job) => {
      sums[job.routeName] = (sums[job.routeName] ?? 0) + job.openTokens;
      return sums;
    }, {});
}

/**
 * State transitions of a batch job's progress, and the rules that decide when a holder commits results and when
 * another instance claims the job. They are pure: the caller writes the new progress by compare-and-swap.
 */
import type { ItemFailures, JobProgress, StoredResult } from '@fighub/core';
import { InvariantName, batchJobKeys, checkInvariant } from '@fighub/core';

/** The final result of one item. */
export interface EndedItem {
  /** Index of the item within the job. */
  readonly index: number;
  /** Upper bound of the item's prompt and output tokens. */
  readonly tokens: number;
  readonly result: StoredResult;
}

/** Whether the job needs no further runs: its caller ended it, or all of its items have a result. */
export function isClosed(progress: JobProgress): boolean {
  return progress.ended || progress.finishedIndexes.length === progress.itemCount;
}

/** Number of results that are committed and can be read. */
export function committedResults(progress: JobProgress): number {
  return progress.segments.reduce((sum, segment) => sum + segment.count, 0);
}

/** Assigns the job to `holder` under the next epoch. */
export function claimJob(progress: JobProgress, holder: string): JobProgress {
  return { ...progress, holder, epoch: progress.epoch + 1, sequence: progress.sequence + 1 };
}

/**
 * Releases the job, so that another instance can claim it without waiting until its holder is known to have
 * failed.
 */
export function releaseJob(progress: JobProgress): JobProgress {
  return { ...progress, holder: '', sequence: progress.sequence + 1 };
}

/**
 * Advances the sequence number, which shows other instances that the holder is active, and updates the
 * failures.
 */
export function touchJob(progress: JobProgress, failures: readonly ItemFailures[]): JobProgress {
  return { ...progress, failures, sequence: progress.sequence + 1 };
}

/** Marks the job as ended at its caller's request. */
export function endJob(progress: JobProgress): JobProgress {
  return { ...progress, ended: true, openTokens: 0, sequence: progress.sequence + 1 };
}

/** Store key of the segment that the next commit writes. */
export function nextSegmentKey(progress: JobProgress): string {
  return batchJobKeys.segment(progress.jobId, progress.epoch, progress.sequence + 1);
}

/**
 * Adds the results of ended items as one segment. Throws `InvariantError` when an item already has a result.
 */
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

/** What a holder knows about its uncommitted results when it decides whether to write. Times are monotonic. */
export interface CommitState {
  readonly pendingResults: number;
  /** When the oldest pending result arrived; only meaningful when there are pending results. */
  readonly oldestPendingMs: number;
  /** Items without a result. */
  readonly itemsLeft: number;
  readonly lastWriteMs: number;
  readonly dueMs: number;
}

/** Pending results are committed without further delay once there are this many. */
const COMMIT_AT_RESULTS = 6;
/** A pending result is delayed at most this long so that several results share one write. */
const COMMIT_AFTER_MS = 1_200;
/** From this long before the due time, results are committed at once, since callers read them around the due time. */
const NEAR_DUE_MS = 2_500;
/** A holder writes at least this often, with or without results, so that others see that it is active. */
const TOUCH_AFTER_MS = 3_500;
/** A holder shows that it is active along with another write when its last one is at least this old. */
const MIN_TOUCH_PERIOD_MS = TOUCH_AFTER_MS / 2;

/** Whether the holder should write now, either to commit results or to show that it is active. */
export function shouldCommit(state: CommitState, nowMs: number): boolean {
  if (state.pendingResults === 0) return nowMs - state.lastWriteMs >= TOUCH_AFTER_MS;
  if (state.itemsLeft === 0 || state.pendingResults >= COMMIT_AT_RESULTS) return true;
  const isNearDue = nowMs >= state.dueMs - NEAR_DUE_MS;
  return isNearDue || nowMs - state.oldestPendingMs >= COMMIT_AFTER_MS;
}

/** Whether the holder should write if it makes another write anyway, for example for another job. */
export function mayCommit(state: CommitState, nowMs: number): boolean {
  return state.pendingResults > 0 || nowMs - state.lastWriteMs >= MIN_TOUCH_PERIOD_MS;
}

/** What an instance knows about a job's holder when it decides whether to claim the job. */
export interface HolderEvidence {
  /** Whether the membership counts the holder as live. */
  readonly holderIsLive: boolean;
  /** Whether the holder was an earlier process of this instance, which has ended since this one runs. */
  readonly holderIsPredecessor: boolean;
  /** How long the job's progress has been unchanged while the store was readable, in milliseconds. */
  readonly unchangedMs: number;
  /** How long this instance has been a member, in milliseconds. */
  readonly memberForMs: number;
  /** Whether this instance is the first choice for the job among the live instances. */
  readonly isPreferred: boolean;
}

/**
 * A holder that has written nothing for this long counts as stopped, even if the membership lists it as live.
 */
const STALE_HOLDER_MS = 9_000;
/** An instance that joined more recently does not rely on its membership, which may still be incomplete. */
const MIN_MEMBERSHIP_MS = 2_000;
/** How long the other instances wait for the preferred instance to claim the job. */
const NON_PREFERRED_WAIT_MS = 3_000;

/** Whether this instance should claim the job. */
export function shouldClaim(progress: JobProgress, evidence: HolderEvidence): boolean {
  if (isClosed(progress)) return false;
  // After a power loss of all instances, nobody would otherwise hold the jobs until memberships can be relied on.
  if (evidence.holderIsPredecessor) return true;
  const isReleased = progress.holder === '';
  const hasHolderFailed = !evidence.holderIsLive && evidence.memberForMs >= MIN_MEMBERSHIP_MS;
  const isStale = evidence.unchangedMs >= STALE_HOLDER_MS;
  if (!isReleased && !hasHolderFailed && !isStale) return false;
  const waitedMs = isStale ? evidence.unchangedMs - STALE_HOLDER_MS : evidence.unchangedMs;
  return evidence.isPreferred || waitedMs >= NON_PREFERRED_WAIT_MS;
}

/**
 * Name under which the waiting tokens of a route are summed: those of each organisation apart, or of all callers where
 * they have no organisations.
 */
export function backlogName(routeName: string, organisation?: string): string {
  return organisation === undefined ? routeName : JSON.stringify([routeName, organisation]);
}

/** Sums the tokens of items without a result by `backlogName`, over all jobs that are not closed. */
export function waitingTokensByBacklog(jobs: readonly JobProgress[]): Readonly<Record<string, number>> {
  return jobs
    .filter((job) => !isClosed(job))
    .reduce<Record<string, number>>((sums, job) => {
      const name = backlogName(job.routeName, job.organisation);
      sums[name] = (sums[name] ?? 0) + job.openTokens;
      return sums;
    }, {});
}

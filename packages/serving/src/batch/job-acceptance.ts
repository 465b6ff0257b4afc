/**
 * Accepts batch jobs. One transaction writes the items and the progress; a job is accepted once its progress
 * exists.
 */
import type {
  Clock,
  DecisionLog,
  JobProgress,
  Metrics,
  Outcome,
  Problem,
  Route,
  StoredItem,
} from '@fighub/core';
import { LogCategory, batchJobKeys, fail, isJobProgress, mayHaveRun, notRun, ok } from '@fighub/core';
import { backlogName, coordinatorFor, isCertainlyWithinLimit } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { RecordChange, RecordStore } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { BacklogView } from './backlog-view.js';
import type { InputCache } from './input-cache.js';

/** A job as submitted by a caller. */
export interface JobSubmission {
  readonly jobId: string;
  readonly host: string;
  /** Version of the configuration that has the route by which the job was accepted. */
  readonly configurationVersion: number;
  /** Organisation of the caller; undefined where callers need no key. */
  readonly organisation?: string;
  readonly items: readonly StoredItem[];
}

/** How a job was accepted, for the log and the metrics. `resent` means that it had been accepted before. */
interface Acceptance {
  readonly how: 'accepted' | 'resent';
  readonly holder?: string;
  readonly items?: number;
}

/**
 * Maximum characters of a job's items in one input record. Stored values are limited to 1 MiB, and JSON escapes
 * lengthen the text.
 */
const INPUT_PART_CHARACTERS = 600_000;
/** Number of progress records read from the store at a time. */
const PROGRESS_PAGE_RECORDS = 500;
/** Time after which callers should retry when the store has failed. */
const STORE_RETRY_MS = 1_000;
/** Time after which callers should retry when the limit of the route has been reached. */
const LIMIT_REACHED_RETRY_MS = 1_500;
/**
 * The caller may have sent the job first some time before it was received here; the margin keeps items from
 * being abandoned too early.
 */
const ABANDON_MARGIN_MS = 2_000;
/**
 * Number of accepted jobs remembered, so that a job sent again is acknowledged without a call to the store.
 */
const MAX_KNOWN_JOBS = 2_000;

/** Callers may retry at once, since the load balancer sends the retry to another instance. */
const CUT_OFF_PROBLEM = notRun('store_unavailable', 'this instance is cut off from the store', 0);

/** Accepts jobs on the instance that received them. */
export class JobAcceptance {
  private readonly accepted = new Set<string>();

  constructor(
    private readonly selfId: () => string,
    private readonly store: RecordStore,
    private readonly inputs: InputCache,
    private readonly backlog: BacklogView,
    private readonly members: () => MembershipRunner,
    /** Whether this instance reaches neither the store nor a relay. */
    private readonly isCutOff: () => boolean,
    /** Passes the accepted job to its holder. */
    private readonly offer: (progress: JobProgress) => void,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {}

  /**
   * Accepts the job. Submitting a job id again succeeds without effect. Fails with `limit_reached` when too many
   * tokens wait on the route, with `store_unavailable` or `not_accepted` when the store was unavailable or rejected
   * the write, and with `outcome_unknown` when the job may have been accepted.
   */
  async accept(submission: JobSubmission, route: Route): Promise<Outcome<void, Problem>> {
    const { jobId } = submission;
    if (this.accepted.has(acceptedName(submission))) return ok(undefined);
    if (this.isCutOff()) return this.refuse(jobId, CUT_OFF_PROBLEM, 0);
    const startedMs = this.clock.monotonicMs();
    const outcome = await this.acceptOnce(submission, route);
    const tookMs = Math.round(this.clock.monotonicMs() - startedMs);
    this.metrics.sample('job_acceptance_ms', tookMs);
    return outcome.ok
      ? this.acknowledge(submission, outcome.value, tookMs)
      : this.refuse(jobId, outcome.error, tookMs);
  }

  private async acceptOnce(submission: JobSubmission, route: Route): Promise<Outcome<Acceptance, Problem>> {
    const tokens = submission.items.reduce((sum, item) => sum + item.tokens, 0);
    const limit = route.batch?.maxWaitingTokens ?? 0;
    const backlog = backlogName(route.name, submission.organisation);
    if (isCertainlyWithinLimit(this.backlog.estimate(backlog), tokens, limit))
      return this.writeJob(submission, route, tokens);
    const requestedAtMs = this.clock.monotonicMs();
    const listed = await this.store.listAll<JobProgress>(batchJobKeys.progressPrefix, PROGRESS_PAGE_RECORDS);
    if (!listed.ok) return fail(notRun('store_unavailable', listed.error.detail, STORE_RETRY_MS));
    const jobs = listed.value.map((record) => record.value).filter(isJobProgress);
    this.backlog.onListed(jobs, requestedAtMs);
    const known = jobs.find((job) => job.jobId === submission.jobId);
    if (known) return resent(known, submission);
    const waiting = this.backlog.estimate(backlog)?.waitingTokens ?? 0;
    if (limit > 0 && waiting + tokens > limit) {
      const detail = `${String(waiting)} tokens wait on ${route.name}, the limit is ${String(limit)}`;
      return fail(notRun('limit_reached', detail, LIMIT_REACHED_RETRY_MS));
    }
    return this.writeJob(submission, route, tokens);
  }

  private async writeJob(
    submission: JobSubmission,
    route: Route,
    openTokens: number,
  ): Promise<Outcome<Acceptance, Problem>> {
    const { jobId } = submission;
    const text = JSON.stringify(submission.items);
    const parts = splitText(text, INPUT_PART_CHARACTERS);
    const progress = this.initialProgress(submission, route, openTokens, parts.length);
    const changes: RecordChange[] = [
      { key: batchJobKeys.progress(jobId), value: progress },
      ...parts.map((part, index) => ({ key: batchJobKeys.input(jobId, index), value: { text: part } })),
    ];
    const written = await this.store.transact(changes);
    if (written.ok) {
      this.inputs.put(jobId, submission.items);
      this.backlog.onAccepted(backlogName(route.name, submission.organisation), openTokens);
      this.offer(progress);
      return ok({ how: 'accepted', holder: progress.holder, items: progress.itemCount });
    }
    const { kind, detail, present } = written.error;
    const stored = present.find(({ key }) => key === batchJobKeys.progress(jobId))?.value;
    if (kind === StoreErrorKind.conflict) return resent(stored as JobProgress | undefined, submission);
    if (kind !== StoreErrorKind.unknown) return fail(notRun('not_accepted', detail, STORE_RETRY_MS));
    return fail(mayHaveRun('outcome_unknown', 'the job may have been accepted; send it again'));
  }

  private initialProgress(
    submission: JobSubmission,
    route: Route,
    openTokens: number,
    inputPartCount: number,
  ): JobProgress {
    const nowUnixMs = this.clock.nowUnixMs();
    const rules = route.batch;
    return {
      jobId: submission.jobId,
      host: submission.host,
      routeName: route.name,
      organisation: submission.organisation,
      acceptedAtUnixMs: nowUnixMs,
      configurationVersion: submission.configurationVersion,
      dueAtUnixMs: nowUnixMs + (rules?.dueAfterMs ?? 0),
      abandonAtUnixMs: nowUnixMs + (rules?.abandonAfterMs ?? 0) + ABANDON_MARGIN_MS,
      maxAttempts: route.maxAttempts,
      itemCount: submission.items.length,
      inputPartCount,
      // When no coordinator is known, this instance runs the job itself.
      holder: coordinatorFor(submission.jobId, this.members().owners()) ?? this.selfId(),
      epoch: 1,
      sequence: 1,
      ended: false,
      finishedIndexes: [],
      failures: [],
      segments: [],
      openTokens,
    };
  }

  private acknowledge(
    submission: JobSubmission,
    acceptance: Acceptance,
    tookMs: number,
  ): Outcome<void, Problem> {
    const { jobId } = submission;
    if (this.accepted.size >= MAX_KNOWN_JOBS) this.accepted.clear();
    this.accepted.add(acceptedName(submission));
    this.metrics.count(`batch_jobs_${acceptance.how}`);
    this.log.record(LogCategory.routine, 'job_accepted', { jobId, ...acceptance, tookMs });
    return ok(undefined);
  }

  private refuse(jobId: string, problem: Problem, tookMs: number): Outcome<void, Problem> {
    this.metrics.count('batch_jobs_refused', 1, [problem.code]);
    this.log.record(LogCategory.failure, 'job_refused', { jobId, ...problem, tookMs });
    return fail(problem);
  }
}

/** Name of a job among those that were accepted: ids are chosen by callers, so that two organisations may use the same. */
function acceptedName({ jobId, organisation = '' }: JobSubmission): string {
  return JSON.stringify([jobId, organisation]);
}

/** The outcome for a job whose id is stored already: it was accepted before, unless it is of another organisation. */
function resent(
  stored: JobProgress | undefined,
  { jobId, organisation }: JobSubmission,
): Outcome<Acceptance, Problem> {
  if (!stored || stored.organisation === organisation) return ok({ how: 'resent' });
  return fail(notRun('conflict', `the job id ${jobId} is in use`));
}

function splitText(text: string, maxCharacters: number): string[] {
  return Array.from({ length: Math.max(1, Math.ceil(text.length / maxCharacters)) }, (_, index) =>
    text.slice(index * maxCharacters, (index + 1) * maxCharacters),
  );
}

/** Accepts batch jobs: one transaction writes the items and the progress, whose existence is the acceptance. */
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
import { LogWeight, batchJobKeys, fail, mayHaveRun, notRun, ok } from '@fighub/core';
import { waitingTokens, winnerOf } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { RecordChange, RecordStore } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { InputCache } from './input-cache.js';

/** A job as offered by a caller. */
export interface JobSubmission {
  readonly jobId: string;
  readonly host: string;
  readonly items: readonly StoredItem[];
}

/** Characters of a job's text in one record; the store's values end at 1 MiB and escapes take room. */
const INPUT_PART_CHARACTERS = 600_000;
const PROGRESS_PAGE = 500;
const STORE_RETRY_MS = 1_000;
const FULL_RETRY_MS = 1_500;
/** The callers' first send may be older than our receipt of the job: items are not given up too early. */
const ABANDON_MARGIN_MS = 2_000;
const MAX_KNOWN_JOBS = 2_000;

/** Takes in jobs at the instance that the caller reached. */
export class JobAcceptance {
  private readonly accepted = new Set<string>();

  constructor(
    private readonly selfId: () => string,
    private readonly store: RecordStore,
    private readonly inputs: InputCache,
    private readonly members: () => MembershipRunner,
    /** Hands the accepted job to its holder. */
    private readonly offer: (progress: JobProgress) => void,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {}

  /** Accepts the job once; a job that was accepted before is accepted again without effect. */
  async accept(submission: JobSubmission, route: Route): Promise<Outcome<void, Problem>> {
    const { jobId } = submission;
    if (this.accepted.has(jobId)) return ok(undefined);
    const jobs = await this.store.listAll<JobProgress>(batchJobKeys.progressPrefix, PROGRESS_PAGE);
    if (!jobs.ok) return this.refuse(jobId, notRun('store_unavailable', jobs.error.detail, STORE_RETRY_MS));
    const present = jobs.value.map((record) => record.value);
    if (present.some((job) => job.jobId === jobId)) return this.acknowledge(jobId, 'resent');
    const tokens = submission.items.reduce((sum, item) => sum + item.tokens, 0);
    const waiting = waitingTokens(present, route.name);
    const limit = route.batch?.maxWaitingTokens ?? 0;
    if (limit > 0 && waiting + tokens > limit) {
      const detail = `${String(waiting)} tokens wait on ${route.name}, the limit is ${String(limit)}`;
      return this.refuse(jobId, notRun('limit_reached', detail, FULL_RETRY_MS));
    }
    return this.write(submission, route, tokens);
  }

  private async write(
    submission: JobSubmission,
    route: Route,
    openTokens: number,
  ): Promise<Outcome<void, Problem>> {
    const { jobId } = submission;
    const text = JSON.stringify(submission.items);
    const parts = splitText(text, INPUT_PART_CHARACTERS);
    const progress = this.firstProgress(submission, route, openTokens, parts.length);
    const changes: RecordChange[] = [
      { key: batchJobKeys.progress(jobId), value: progress },
      ...parts.map((part, index) => ({ key: batchJobKeys.input(jobId, index), value: { text: part } })),
    ];
    const written = await this.store.transact(changes);
    if (written.ok) {
      this.inputs.put(jobId, submission.items);
      this.offer(progress);
      return this.acknowledge(jobId, 'accepted', { holder: progress.holder, items: progress.itemCount });
    }
    const { kind, detail } = written.error;
    if (kind === StoreErrorKind.conflict) return this.acknowledge(jobId, 'resent');
    if (kind !== StoreErrorKind.unknown)
      return this.refuse(jobId, notRun('not_accepted', detail, STORE_RETRY_MS));
    return this.refuse(jobId, mayHaveRun('outcome_unknown', 'the job may be accepted; send it again'));
  }

  private firstProgress(
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
      acceptedAtUnixMs: nowUnixMs,
      dueAtUnixMs: nowUnixMs + (rules?.dueAfterMs ?? 0),
      abandonAtUnixMs: nowUnixMs + (rules?.abandonAfterMs ?? 0) + ABANDON_MARGIN_MS,
      maxAttempts: route.maxAttempts,
      itemCount: submission.items.length,
      inputPartCount,
      holder: this.chooseHolder(submission.jobId),
      epoch: 1,
      sequence: 1,
      ended: false,
      finishedIndexes: [],
      failures: [],
      segments: [],
      openTokens,
    };
  }

  /** Instances that schedule also run batch jobs; without one the job stays here. */
  private chooseHolder(jobId: string): string {
    const candidates = this.members()
      .owners()
      .filter((member) => member.schedules !== false)
      .map((member) => member.instanceId);
    return winnerOf(jobId, candidates) ?? this.selfId();
  }

  private acknowledge(jobId: string, how: string, fields: object = {}): Outcome<void, Problem> {
    if (this.accepted.size >= MAX_KNOWN_JOBS) this.accepted.clear();
    this.accepted.add(jobId);
    this.metrics.count(`batch_jobs_${how}`);
    this.log.record(LogWeight.routine, 'job_accepted', { jobId, how, ...fields });
    return ok(undefined);
  }

  private refuse(jobId: string, problem: Problem): Outcome<void, Problem> {
    this.metrics.count('batch_jobs_refused', 1, [problem.code]);
    this.log.record(LogWeight.failure, 'job_refused', { jobId, ...problem });
    return fail(problem);
  }
}

function splitText(text: string, maxCharacters: number): string[] {
  return Array.from({ length: Math.max(1, Math.ceil(text.length / maxCharacters)) }, (_, index) =>
    text.slice(index * maxCharacters, (index + 1) * maxCharacters),
  );
}

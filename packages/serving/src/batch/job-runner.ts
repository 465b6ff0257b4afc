/** Finds the batch jobs that this instance should hold, claims them and runs them. */
import type {
  Clock,
  DecisionLog,
  JobProgress,
  Metrics,
  ResultSegment,
  StoredResult,
  System,
} from '@fighub/core';
import {
  EntityTable,
  LogCategory,
  batchJobKeys,
  errorFields,
  haveSamePrefix,
  isJobProgress,
  isFatalError,
} from '@fighub/core';
import { claimJob, coordinatorFor, isClosed, shouldClaim } from '@fighub/decisions';
import type {
  JobItemBody,
  JobItemResponse,
  JobResultsResponse,
  MembershipRunner,
  PeerNode,
} from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';

import type { BacklogView } from './backlog-view.js';
import { FinishedJobs } from './finished-jobs.js';
import type { InputCache } from './input-cache.js';
import type { ItemRunDependencies } from './item-run.js';
import { JobCheckpoint } from './job-checkpoint.js';
import { writeTogether } from './job-writes.js';
import { RunningJob } from './running-job.js';

/** Sequence number of a job's progress, and when a listing first contained it. */
interface ProgressObservation {
  readonly sequence: number;
  readonly firstSeenAtMs: number;
}

/**
 * Items are started and writes made this often at most, since requests for slots wake the loop much more often. Less than
 * the period of a busy loop, so that no timed tick is left out.
 */
const RUN_PERIOD_MS = 9;
/** Interval between listings of the jobs while this instance runs jobs. */
const LIST_PERIOD_MS = 1_000;
/** Interval between listings of the jobs while this instance runs none. */
const IDLE_LIST_PERIOD_MS = 2_000;
/** Number of progress records read from the store at a time. */
const PROGRESS_PAGE_RECORDS = 500;
/** No items are sent when the last listing is older, because their job may have been ended in the meantime. */
const LISTING_MAX_AGE_MS = 2_400;
/** How long items are still sent during a store outage, in which nobody can end a job. */
const OUTAGE_DISPATCH_MS = 12_000;
/** How long finished jobs may make their last writes. Their results are kept for longer by `FinishedJobs`. */
const FINISHED_RETENTION_MS = 20_000;

/** Epoch of a job that has had one holder only. */
const FIRST_EPOCH = 1;

const NOT_HELD: JobResultsResponse = { held: false, itemCount: 0, committedCount: 0, results: [] };

/** Claims jobs and runs those that this instance holds. */
export class JobRunner implements System {
  readonly name = 'job runner';
  readonly minPeriodMs = RUN_PERIOD_MS;
  private readonly jobs = new EntityTable<RunningJob>();
  private readonly loadingJobIds = new Set<string>();
  private readonly finishedAtMs = new Map<string, number>();
  private readonly finishedJobs = new FinishedJobs();
  private readonly observations = new Map<string, ProgressObservation>();
  private readonly endedJobIds = new Set<string>();
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private listFailedAtMs: number | undefined;
  private nextListMs = 0;
  private listing = false;
  private stopped = false;
  private readonly startedMs: number;

  constructor(
    private readonly selfId: () => string,
    private readonly claimsJobs: boolean,
    private readonly store: RecordStore,
    private readonly inputs: InputCache,
    private readonly backlog: BacklogView,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly itemRunDependencies: ItemRunDependencies,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {
    this.startedMs = clock.monotonicMs();
    node.onNotice('job.offered', (body) => this.onOffered(body.jobId));
    node.onNotice('job.cancelled', (body) => this.onEnded(body.jobId));
    node.onRequest('job.results', (body) => this.results(body.jobId, body.afterPosition));
    node.onRequest('job.item', (body) => this.itemBody(body));
  }

  get busy(): boolean {
    return this.jobs.all().some((job) => !job.finished);
  }

  /** Starts the job if this instance is its holder, and notifies the holder otherwise. */
  offer(progress: JobProgress): void {
    if (progress.holder === this.selfId()) {
      this.startSoon(progress.jobId);
      return;
    }
    this.notifyHolder(progress.holder, progress.jobId);
  }

  /** Committed results of a job that this instance holds or has finished, or `held: false`. */
  results(jobId: string, afterPosition: number): JobResultsResponse {
    return (
      this.jobs.get(jobId)?.results(afterPosition) ??
      this.finishedJobs.results(jobId, afterPosition) ??
      NOT_HELD
    );
  }

  /** The body of an item of a job whose items are in memory here; `held: false` otherwise. */
  private itemBody({ jobId, itemId }: JobItemBody): JobItemResponse {
    const items = this.inputs.cached(jobId);
    const { held, organisation } = this.results(jobId, Number.MAX_SAFE_INTEGER);
    if (!items || !held) return { held: false };
    const bodyBase64 = items.find((item) => item.itemId === itemId)?.bodyBase64;
    return { held: true, organisation, bodyBase64 };
  }

  /** Stops a job that its caller has ended, and ensures that it is not started again. */
  onEnded(jobId: string): void {
    this.endedJobIds.add(jobId);
    this.jobs.take(jobId)?.stop('the job was ended by its caller');
  }

  run(nowMs: number): void {
    this.jobs.all().forEach((job) => this.guard(job.jobId, () => job.run(nowMs)));
    this.writeDue(nowMs);
    this.dropFinished(nowMs);
    const isIdle = !this.busy;
    if (this.stopped || this.listing || nowMs < this.nextListMs) return;
    if (!this.claimsJobs && isIdle) return;
    this.nextListMs = nowMs + (isIdle ? IDLE_LIST_PERIOD_MS : LIST_PERIOD_MS);
    this.listing = true;
    this.list()
      .catch((error: unknown) => this.onUnexpected(undefined, error))
      .finally(() => (this.listing = false));
  }

  /** Releases all jobs and notifies the coordinators that should claim them. */
  async drain(): Promise<void> {
    this.stopped = true;
    const held = this.jobs.all().filter((job) => !job.finished);
    const nowMs = this.clock.monotonicMs();
    const lastWrites = this.jobs
      .all()
      .filter((job) => job.finished)
      .flatMap((job) => job.takeWrites(nowMs));
    await Promise.all([writeTogether(this.store, lastWrites), ...held.map((job) => job.release())]);
    held.forEach((job) => this.offerToOthers(job.jobId));
  }

  dump(): Record<string, unknown> {
    return {
      jobs: this.jobs.all().map((job) => job.dump()),
      listedAgoMs: Math.round(this.clock.monotonicMs() - this.listedAtMs),
    };
  }

  /** Claims a job, or passes it on if this instance has released its own ones because it is to be taken away. */
  private onOffered(jobId: string): void {
    if (this.stopped) this.offerToOthers(jobId);
    else this.startSoon(jobId);
  }

  private offerToOthers(jobId: string): void {
    const others = this.members()
      .owners()
      .filter((member) => member.instanceId !== this.selfId());
    this.notifyHolder(coordinatorFor(jobId, others), jobId);
  }

  private notifyHolder(holder: string | undefined, jobId: string): void {
    const member = holder === undefined ? undefined : this.members().membership.get(holder);
    if (member) this.node.notify(member.peerAddress, 'job.offered', { jobId });
  }

  private mayDispatch(): boolean {
    if (this.stopped) return false;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.listedAtMs < LISTING_MAX_AGE_MS) return true;
    return this.listFailedAtMs !== undefined && nowMs - this.listFailedAtMs < OUTAGE_DISPATCH_MS;
  }

  private async list(): Promise<void> {
    const requestedAtMs = this.clock.monotonicMs();
    const listed = await this.store.listAll<JobProgress>(batchJobKeys.progressPrefix, PROGRESS_PAGE_RECORDS);
    if (!listed.ok) {
      this.listFailedAtMs ??= requestedAtMs;
      // Progress that did not change during a store outage does not show that its holder has stopped.
      this.observations.clear();
      return;
    }
    this.listedAtMs = requestedAtMs;
    this.listFailedAtMs = undefined;
    const jobs = listed.value.map((record) => record.value).filter(isJobProgress);
    if (jobs.length < listed.value.length)
      this.metrics.count('job_records_malformed', listed.value.length - jobs.length);
    this.backlog.onListed(jobs, requestedAtMs);
    jobs.forEach((progress) => this.guard(progress.jobId, () => this.evaluateListed(progress)));
  }

  private evaluateListed(progress: JobProgress): void {
    const { jobId, sequence } = progress;
    const held = this.jobs.get(jobId);
    if (held) {
      held.observe(progress);
      return;
    }
    if (isClosed(progress) || this.endedJobIds.has(jobId)) return;
    const nowMs = this.clock.monotonicMs();
    const previous = this.observations.get(jobId);
    if (previous?.sequence !== sequence) this.observations.set(jobId, { sequence, firstSeenAtMs: nowMs });
    const unchangedMs = previous?.sequence === sequence ? nowMs - previous.firstSeenAtMs : 0;
    const isHeldHere = progress.holder === this.selfId();
    if (isHeldHere || (this.claimsJobs && this.shouldTakeOver(progress, unchangedMs))) this.startSoon(jobId);
  }

  private shouldTakeOver(progress: JobProgress, unchangedMs: number): boolean {
    return shouldClaim(progress, {
      holderIsLive: this.members().membership.isLive(progress.holder),
      holderIsPredecessor: haveSamePrefix(progress.holder, this.selfId()),
      unchangedMs,
      memberForMs: this.clock.monotonicMs() - this.startedMs,
      isPreferred: coordinatorFor(progress.jobId, this.members().owners()) === this.selfId(),
    });
  }

  /** A job that cannot be started because of an unexpected error is left for the next listing. The other jobs go on. */
  private startSoon(jobId: string): void {
    this.claimAndStart(jobId).catch((error: unknown) => this.onUnexpected(jobId, error));
  }

  private guard(jobId: string, work: () => void): void {
    try {
      work();
    } catch (error) {
      this.onUnexpected(jobId, error);
    }
  }

  private onUnexpected(jobId: string | undefined, error: unknown): void {
    if (isFatalError(error)) throw error;
    this.log.record(LogCategory.failure, 'job_error', { jobId, ...errorFields(error) });
  }

  /** Reads the job, claims it if it has another holder, and starts it. */
  private async claimAndStart(jobId: string): Promise<void> {
    if (this.stopped || this.loadingJobIds.has(jobId) || this.jobs.has(jobId) || this.endedJobIds.has(jobId))
      return;
    this.loadingJobIds.add(jobId);
    try {
      const record = await this.store.read<JobProgress>(batchJobKeys.progress(jobId));
      if (!record.ok || !record.value || isClosed(record.value.value)) return;
      const heldRecord = await this.claim(record.value);
      if (heldRecord) await this.start(heldRecord);
    } finally {
      this.loadingJobIds.delete(jobId);
    }
  }

  private async claim(record: Versioned<JobProgress>): Promise<Versioned<JobProgress> | undefined> {
    const { jobId, holder, epoch } = record.value;
    if (holder === this.selfId()) return record;
    const claimed = await this.store.write(record.key, record, claimJob(record.value, this.selfId()));
    this.log.record(LogCategory.state, 'job_claimed', {
      jobId,
      from: holder,
      epoch: epoch + 1,
      sequence: record.value.sequence,
      won: claimed.ok,
      detail: claimed.ok ? '' : claimed.error.detail,
    });
    if (!claimed.ok) return undefined;
    this.metrics.count('batch_jobs_claimed');
    return claimed.value;
  }

  private async start(record: Versioned<JobProgress>): Promise<void> {
    const { jobId, epoch, inputPartCount, segments } = record.value;
    const isFirstHolder = epoch === FIRST_EPOCH;
    const checkpoint = new JobCheckpoint(jobId, this.store, this.clock, this.metrics);
    const [items, saved, committed] = await Promise.all([
      this.inputs.read(jobId, inputPartCount),
      isFirstHolder ? [] : checkpoint.load(),
      Promise.all(segments.map((segment) => this.store.read<ResultSegment>(segment.key))),
    ]);
    const results = committed.map((segment) => (segment.ok ? segment.value?.value.results : undefined));
    if (!items.ok || results.includes(undefined) || this.endedJobIds.has(jobId) || this.stopped) return;
    const job = new RunningJob(
      record,
      items.value,
      results.flatMap((part) => part ?? ([] as StoredResult[])),
      saved,
      checkpoint,
      this.store,
      this.itemRunDependencies,
      () => this.mayDispatch(),
    );
    this.jobs.set(jobId, job);
    // The progress that was just read shows that the job is open, so its items need not wait for the next listing.
    if (this.listFailedAtMs === undefined)
      this.listedAtMs = Math.max(this.listedAtMs, this.clock.monotonicMs());
    job.run(this.clock.monotonicMs());
  }

  /** Makes the writes that are due, and along with them those of all jobs that have something to write. */
  private writeDue(nowMs: number): void {
    const jobs = this.jobs.all();
    if (!jobs.some((job) => job.isWriteDue(nowMs))) return;
    writeTogether(
      this.store,
      jobs.flatMap((job) => job.takeWrites(nowMs)),
    ).catch((error: unknown) => this.onUnexpected(undefined, error));
  }

  private dropFinished(nowMs: number): void {
    this.jobs
      .all()
      .filter((job) => job.finished)
      .forEach((job) => {
        const finishedAtMs = this.finishedAtMs.get(job.jobId) ?? nowMs;
        this.finishedAtMs.set(job.jobId, finishedAtMs);
        const isStopped = job.stopped;
        if (!isStopped && nowMs - finishedAtMs < FINISHED_RETENTION_MS) return;
        this.jobs.take(job.jobId);
        this.finishedAtMs.delete(job.jobId);
        if (!isStopped) this.finishedJobs.add(job.jobId, job.results(0));
      });
  }
}

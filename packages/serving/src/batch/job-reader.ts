/** Reads results and items of batch jobs on any instance, and ends jobs at the request of their callers. */
import type {
  DecisionLog,
  JobProgress,
  Metrics,
  Outcome,
  Problem,
  ResultSegment,
  StoredItem,
  StoredResult,
} from '@fighub/core';
import { LogCategory, batchJobKeys, fail, mayHaveRun, notRun, ok } from '@fighub/core';
import { committedResults, coordinatorFor, endJob, isClosed } from '@fighub/decisions';
import type { JobResultsResponse, MembershipRunner, PeerNode, PeerRequests } from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { InputCache } from './input-cache.js';

/** A page of results, in the order of their commits. */
export interface ResultPage {
  readonly itemCount: number;
  /** Position from which the next page starts. */
  readonly nextPosition: number;
  readonly results: readonly StoredResult[];
}

/** Which job a caller asks for, and the caller's organisation. */
export interface JobAccess {
  readonly jobId: string;
  /** Undefined where callers need no key. */
  readonly organisation?: string;
}

/** Last known holder of a job, its organisation, and its final progress once all items are finished. */
interface KnownJob {
  readonly holder: string;
  readonly organisation?: string;
  readonly closed?: JobProgress;
}

/** The results are read from the store when the holder does not respond within this time. */
const HOLDER_TIMEOUT_MS = 250;
/** Another instance may have the newer configuration, so that callers need not wait for this one to receive it. */
const CONFIGURATION_OUTDATED = notRun(
  'configuration_outdated',
  'this instance may not have the configuration that names the organisation',
  250,
);
/** Number of jobs whose holder is remembered. */
const MAX_KNOWN_JOBS = 500;
/** Number of result segments in the cache; a segment takes at most about 100 KB. */
const MAX_CACHED_SEGMENTS = 60;
/** Maximum characters of output in one page, which must stay below 1 MB. */
const MAX_PAGE_CHARACTERS = 800_000;
/** Time after which callers should retry when the store has failed. */
const STORE_RETRY_MS = 1_000;
/** Maximum number of writes to end a job; a revision conflict causes another one. */
const MAX_END_TRIES = 6;

/** Reads from the job's holder when it is reachable, and from the store otherwise. */
export class JobReader {
  private readonly knownJobs = new Map<string, KnownJob>();
  private readonly segments = new Map<string, readonly StoredResult[]>();

  constructor(
    private readonly selfId: () => string,
    private readonly store: RecordStore,
    private readonly inputs: InputCache,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    /** Results of a job, if this instance holds it. */
    private readonly localResults: (jobId: string, afterPosition: number) => JobResultsResponse,
    /** Stops a job, if this instance runs it. */
    private readonly endLocally: (jobId: string) => void,
    /** Whether an organisation that the configuration in force lacks is known not to exist. */
    private readonly mayRefuseForGood: () => boolean,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {}

  /**
   * Committed results after the first `afterPosition` ones, as many as fit into one page. Fails with `unknown_job` when
   * there is no such job of the caller's organisation, and with `store_unavailable` when the store cannot be read.
   */
  async results(access: JobAccess, afterPosition: number): Promise<Outcome<ResultPage, Problem>> {
    const { jobId } = access;
    const fromHolder = await this.requestFromHolder(jobId, afterPosition);
    if (fromHolder?.held && fromHolder.committedCount >= afterPosition)
      return fromHolder.organisation === access.organisation
        ? ok(toPage(fromHolder.itemCount, afterPosition, fromHolder.results))
        : this.refuseAccess(access);
    const progress = await this.readProgress(jobId);
    if (!progress.ok) return progress;
    if (progress.value.organisation !== access.organisation) return this.refuseAccess(access);
    return this.readSegments(progress.value, afterPosition);
  }

  /**
   * The decoded request body of an item. Fails as `results` does, and with `not_found` when the job has no such item.
   */
  async itemBody(access: JobAccess, itemId: string): Promise<Outcome<Buffer, Problem>> {
    const { jobId } = access;
    const known = this.knownJobs.get(jobId);
    if (known && known.organisation !== access.organisation) return this.refuseAccess(access);
    // Whose job it is has to be known, also for callers without a key.
    const cached = known ? this.inputs.cached(jobId) : undefined;
    if (cached) return toBody(jobId, itemId, bodyOf(cached, itemId));
    const fromHolder = await this.askHolder(jobId, 'job.item', { jobId, itemId });
    if (fromHolder?.held) {
      if (fromHolder.organisation !== access.organisation) return this.refuseAccess(access);
      return toBody(jobId, itemId, fromHolder.bodyBase64);
    }
    const items = await this.readItems(access);
    return items.ok ? toBody(jobId, itemId, bodyOf(items.value, itemId)) : items;
  }

  private async readItems(access: JobAccess): Promise<Outcome<readonly StoredItem[], Problem>> {
    const { jobId } = access;
    const progress = await this.readProgress(jobId);
    if (!progress.ok) return progress;
    if (progress.value.organisation !== access.organisation) return this.refuseAccess(access);
    const items = await this.inputs.read(jobId, progress.value.inputPartCount);
    return items.ok ? items : fail(notRun('store_unavailable', items.error.detail, STORE_RETRY_MS));
  }

  /**
   * Ends a job and notifies its holder. Ending it twice has no further effect. Fails as `results` does, and with
   * `outcome_unknown` when the job may have been ended.
   */
  async end(access: JobAccess, triesLeft = MAX_END_TRIES): Promise<Outcome<void, Problem>> {
    const { jobId } = access;
    const record = await this.store.read<JobProgress>(batchJobKeys.progress(jobId));
    if (!record.ok) return fail(notRun('store_unavailable', record.error.detail, STORE_RETRY_MS));
    if (!record.value) return fail(notRun('unknown_job', `there is no job ${jobId}`));
    if (record.value.value.organisation !== access.organisation) return this.refuseAccess(access);
    if (isClosed(record.value.value)) return this.ended(record.value.value);
    const written = await this.store.write(record.value.key, record.value, endJob(record.value.value));
    if (written.ok) return this.ended(written.value.value);
    if (written.error.kind === StoreErrorKind.conflict && triesLeft > 1)
      return this.end(access, triesLeft - 1);
    return fail(mayHaveRun('outcome_unknown', 'the job may have been ended; end it again'));
  }

  /** A job of another organisation does not exist for the caller, if this instance can tell whose caller it is. */
  private refuseAccess({ jobId, organisation }: JobAccess): Outcome<never, Problem> {
    if (!this.mayRefuseForGood()) return fail(CONFIGURATION_OUTDATED);
    this.metrics.count('job_accesses_refused');
    this.log.record(LogCategory.failure, 'job_access_refused', { jobId, organisation });
    return fail(notRun('unknown_job', `there is no job ${jobId}`));
  }

  private ended(progress: JobProgress): Outcome<void, Problem> {
    const { jobId, holder } = progress;
    this.log.record(LogCategory.routine, 'job_ended', { jobId, holder, sequence: progress.sequence });
    this.recordProgress(progress);
    this.endLocally(jobId);
    const member = this.members().membership.get(holder);
    if (member && holder !== this.selfId()) this.node.notify(member.peerAddress, 'job.cancelled', { jobId });
    return ok(undefined);
  }

  private async requestFromHolder(
    jobId: string,
    afterPosition: number,
  ): Promise<JobResultsResponse | undefined> {
    const localAnswer = this.localResults(jobId, afterPosition);
    if (localAnswer.held) return localAnswer;
    return this.askHolder(jobId, 'job.results', { jobId, afterPosition });
  }

  /** Asks the instance that probably holds a job; undefined if there is none, or if it does not respond. */
  private async askHolder<K extends 'job.results' | 'job.item'>(
    jobId: string,
    name: K,
    body: PeerRequests[K]['body'],
  ): Promise<PeerRequests[K]['answer'] | undefined> {
    const known = this.knownJobs.get(jobId);
    // Unless the membership has changed, acceptance assigned the job to this coordinator. Asking it first saves
    // a store call.
    const holder = known?.holder ?? coordinatorFor(jobId, this.members().owners());
    if (known?.closed || holder === undefined || holder === this.selfId()) return undefined;
    const member = this.members().membership.get(holder);
    if (!member || !this.members().membership.isLive(holder)) return undefined;
    const answer = await this.node.request(member.peerAddress, name, body, HOLDER_TIMEOUT_MS);
    if (!answer.ok) this.metrics.count('job_holders_not_answering');
    return answer.ok ? answer.value : undefined;
  }

  private async readProgress(jobId: string): Promise<Outcome<JobProgress, Problem>> {
    const closed = this.knownJobs.get(jobId)?.closed;
    if (closed) return ok(closed);
    const record = await this.store.read<JobProgress>(batchJobKeys.progress(jobId));
    if (!record.ok) return fail(notRun('store_unavailable', record.error.detail, STORE_RETRY_MS));
    if (!record.value) return fail(notRun('unknown_job', `there is no job ${jobId}`));
    this.recordProgress(record.value.value);
    return ok(record.value.value);
  }

  /** Remembers the holder of a job, and the whole progress once all items are finished. */
  recordProgress(progress: JobProgress): void {
    if (this.knownJobs.size >= MAX_KNOWN_JOBS) this.knownJobs.clear();
    const closed = isClosed(progress) && !progress.ended ? progress : undefined;
    const { jobId, holder, organisation } = progress;
    this.knownJobs.set(jobId, { holder, organisation, closed });
  }

  private async readSegments(
    progress: JobProgress,
    afterPosition: number,
  ): Promise<Outcome<ResultPage, Problem>> {
    let cumulativeCount = 0;
    const wanted = progress.segments.filter((segment) => {
      cumulativeCount += segment.count;
      return cumulativeCount > afterPosition;
    });
    const skipped = committedResults(progress) - wanted.reduce((sum, segment) => sum + segment.count, 0);
    const read = await Promise.all(wanted.map((segment) => this.readSegment(segment.key)));
    const failed = read.find((outcome) => !outcome.ok);
    if (failed && !failed.ok) return failed;
    const results = read.flatMap((outcome) => (outcome.ok ? outcome.value : []));
    return ok(toPage(progress.itemCount, afterPosition, results.slice(Math.max(0, afterPosition - skipped))));
  }

  private async readSegment(key: string): Promise<Outcome<readonly StoredResult[], Problem>> {
    const cached = this.segments.get(key);
    if (cached) return ok(cached);
    const record: Outcome<Versioned<ResultSegment> | undefined, { detail: string }> =
      await this.store.read<ResultSegment>(key);
    if (!record.ok) return fail(notRun('store_unavailable', record.error.detail, STORE_RETRY_MS));
    if (!record.value)
      return fail(
        notRun('store_unavailable', `result segment ${key} is missing from the store`, STORE_RETRY_MS),
      );
    const { results } = record.value.value;
    this.segments.set(key, results);
    const oldest = this.segments.keys().next();
    if (this.segments.size > MAX_CACHED_SEGMENTS && !oldest.done) this.segments.delete(oldest.value);
    return ok(results);
  }
}

/** The encoded body of an item; undefined if there is no such item. */
function bodyOf(items: readonly StoredItem[], itemId: string): string | undefined {
  return items.find((item) => item.itemId === itemId)?.bodyBase64;
}

function toBody(jobId: string, itemId: string, bodyBase64: string | undefined): Outcome<Buffer, Problem> {
  if (bodyBase64 === undefined) return fail(notRun('not_found', `job ${jobId} has no item ${itemId}`));
  return ok(Buffer.from(bodyBase64, 'base64'));
}

/**
 * Makes a page of the results that fit. It contains at least one result if there is any, so that readers make
 * progress.
 */
function toPage(itemCount: number, afterPosition: number, results: readonly StoredResult[]): ResultPage {
  let characters = 0;
  const fitting = results.filter((result, index) => {
    characters += result.output.length;
    return index === 0 || characters <= MAX_PAGE_CHARACTERS;
  });
  return { itemCount, nextPosition: afterPosition + fitting.length, results: fitting };
}

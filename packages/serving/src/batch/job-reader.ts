/** Reads results and items of batch jobs at any instance, and ends jobs. */
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
import { LogWeight, batchJobKeys, fail, mayHaveRun, notRun, ok } from '@fighub/core';
import { committedResults, coordinatorFor, endJob, isClosed } from '@fighub/decisions';
import type { JobResultsAnswer, MembershipRunner, PeerNode } from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { InputCache } from './input-cache.js';

/** A page of results. */
export interface ResultPage {
  readonly itemCount: number;
  readonly nextPosition: number;
  readonly results: readonly StoredResult[];
}

/** Jobs of which this instance knows the holder, or the whole closed progress. */
interface KnownJob {
  readonly holder: string;
  readonly closed?: JobProgress;
}

const HOLDER_TIMEOUT_MS = 250;
const MAX_KNOWN_JOBS = 500;
/** Segments in memory; at most about 100 KB each. */
const MAX_CACHED_SEGMENTS = 60;
/** Text in one page, in characters; a page ends at 1 MB. */
const MAX_PAGE_CHARACTERS = 800_000;
const STORE_RETRY_MS = 1_000;
const MAX_END_TRIES = 6;

/** Answers readers from the job's holder if it is reached, else from the store. */
export class JobReader {
  private readonly knownJobs = new Map<string, KnownJob>();
  private readonly segments = new Map<string, readonly StoredResult[]>();

  constructor(
    private readonly selfId: () => string,
    private readonly store: RecordStore,
    private readonly inputs: InputCache,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly localResults: (jobId: string, afterPosition: number) => JobResultsAnswer,
    private readonly endLocally: (jobId: string) => void,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {}

  /** Results from `afterPosition` on. */
  async results(jobId: string, afterPosition: number): Promise<Outcome<ResultPage, Problem>> {
    const fromHolder = await this.requestFromHolder(jobId, afterPosition);
    if (fromHolder?.held && fromHolder.committedCount >= afterPosition)
      return ok(toPage(fromHolder.itemCount, afterPosition, fromHolder.results));
    const progress = await this.readProgress(jobId);
    if (!progress.ok) return progress;
    return this.readSegments(progress.value, afterPosition);
  }

  /** The body of an item, decoded. */
  async itemBody(jobId: string, itemId: string): Promise<Outcome<Buffer, Problem>> {
    const items = await this.items(jobId);
    if (!items.ok) return items;
    const item = items.value.find((candidate) => candidate.itemId === itemId);
    if (!item) return fail(notRun('not_found', `job ${jobId} has no item ${itemId}`));
    return ok(Buffer.from(item.bodyBase64, 'base64'));
  }

  private async items(jobId: string): Promise<Outcome<readonly StoredItem[], Problem>> {
    const cached = this.inputs.cached(jobId);
    if (cached) return ok(cached);
    const progress = await this.readProgress(jobId);
    if (!progress.ok) return progress;
    const items = await this.inputs.read(jobId, progress.value.inputPartCount);
    return items.ok ? items : fail(notRun('store_unavailable', items.error.detail, STORE_RETRY_MS));
  }

  /** Ends a job. Ending it twice is the same as once. */
  async end(jobId: string, triesLeft = MAX_END_TRIES): Promise<Outcome<void, Problem>> {
    const record = await this.store.read<JobProgress>(batchJobKeys.progress(jobId));
    if (!record.ok) return fail(notRun('store_unavailable', record.error.detail, STORE_RETRY_MS));
    if (!record.value) return fail(notRun('unknown_job', `there is no job ${jobId}`));
    if (isClosed(record.value.value)) return this.ended(record.value.value);
    const written = await this.store.write(record.value.key, record.value, endJob(record.value.value));
    if (written.ok) return this.ended(written.value.value);
    if (written.error.kind === StoreErrorKind.conflict && triesLeft > 1)
      return this.end(jobId, triesLeft - 1);
    return fail(mayHaveRun('outcome_unknown', 'the job may be ended; end it again'));
  }

  private ended(progress: JobProgress): Outcome<void, Problem> {
    const { jobId, holder } = progress;
    this.log.record(LogWeight.routine, 'job_ended', { jobId, holder, sequence: progress.sequence });
    this.recordProgress(progress);
    this.endLocally(jobId);
    const member = this.members().membership.get(holder);
    if (member && holder !== this.selfId()) this.node.notify(member.peerAddress, 'job.cancelled', { jobId });
    return ok(undefined);
  }

  private async requestFromHolder(
    jobId: string,
    afterPosition: number,
  ): Promise<JobResultsAnswer | undefined> {
    const localAnswer = this.localResults(jobId, afterPosition);
    if (localAnswer.held) return localAnswer;
    const known = this.knownJobs.get(jobId);
    // Acceptance places a job there unless members come or go: asking saves a call to the store.
    const holder = known?.holder ?? coordinatorFor(jobId, this.members().owners());
    if (known?.closed || holder === undefined || holder === this.selfId()) return undefined;
    const member = this.members().membership.get(holder);
    if (!member || !this.members().membership.isLive(holder)) return undefined;
    const body = { jobId, afterPosition };
    const answer = await this.node.request(member.peerAddress, 'job.results', body, HOLDER_TIMEOUT_MS);
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

  /** Notes who holds a job. */
  recordProgress(progress: JobProgress): void {
    if (this.knownJobs.size >= MAX_KNOWN_JOBS) this.knownJobs.clear();
    const closed = isClosed(progress) && !progress.ended ? progress : undefined;
    this.knownJobs.set(progress.jobId, { holder: progress.holder, closed });
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
    if (!record.value) return fail(notRun('store_unavailable', `segment ${key} is missing`, STORE_RETRY_MS));
    const { results } = record.value.value;
    this.segments.set(key, results);
    const oldest = this.segments.keys().next();
    if (this.segments.size > MAX_CACHED_SEGMENTS && !oldest.done) this.segments.delete(oldest.value);
    return ok(results);
  }
}

/** As many results as fit into one page, and at least one. */
function toPage(itemCount: number, afterPosition: number, results: readonly StoredResult[]): ResultPage {
  let characters = 0;
  const fitting = results.filter((result, index) => {
    characters += result.output.length;
    return index === 0 || characters <= MAX_PAGE_CHARACTERS;
  });
  return { itemCount, nextPosition: afterPosition + fitting.length, results: fitting };
}

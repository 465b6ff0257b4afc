/** One batch job that this instance runs, with its open items, uncommitted results and stored progress. */
import { setMaxListeners } from 'node:events';

import type { Clock, DecisionLog, JobProgress, Metrics, StoredItem, StoredResult } from '@fighub/core';
import {
  InvariantName,
  LogCategory,
  batchJobKeys,
  checkInvariant,
  errorFields,
  isFatalError,
} from '@fighub/core';
import type { CommitState, EndedItem, PartialOutput } from '@fighub/decisions';
import {
  commitResults,
  releaseJob,
  isClosed,
  mayCommit,
  nextSegmentKey,
  shouldCommit,
  touchJob,
} from '@fighub/decisions';
import type { JobResultsResponse } from '@fighub/peers';
import type { RecordChange, RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { ItemOutput, ItemRunDependencies, ItemRunResult } from './item-run.js';
import { ItemRunOutcome, MAX_OUTPUT_BYTES, jsonBytes, runItem } from './item-run.js';
import { requestFault } from '../online/request-check.js';
import type { JobCheckpoint } from './job-checkpoint.js';
import type { JobWrite, JobWriteOutcome } from './job-writes.js';
import { writeTogether } from './job-writes.js';

/** An item without a result. */
interface OpenItem {
  readonly index: number;
  readonly item: StoredItem;
  readonly output: ItemOutput;
  readonly excludedReplicaIds: string[];
  failedAttempts: number;
  retryAtMs: number;
  running: boolean;
  /** Whether the last run was not made because its prompt crashes replicas. */
  isBlocked: boolean;
}

/** Delay before an interrupted item is run again; a preempted one may run again at once. */
const INTERRUPTED_RETRY_DELAY_MS = 150;
/** Delay before a failed item is run again. */
const FAILED_RETRY_DELAY_MS = 300;
/** Delay before an item is tried again whose prompt is blocked because it crashes replicas. */
const BLOCKED_RETRY_DELAY_MS = 5_000;
/** Delay before an item is run again whose run has ended with an unexpected error. */
const UNEXPECTED_RETRY_DELAY_MS = 5_000;
/** Number of replicas that an item avoids because they interrupted its last runs. */
const MAX_EXCLUDED_REPLICAS = 2;
/** Maximum bytes of output in one commit, as JSON. */
const MAX_COMMIT_BYTES = 500_000;
const TOO_LARGE = 'the output is too large to be stored';
/** Delay before the next write after a failed one. */
const WRITE_RETRY_DELAY_MS = 400;

/**
 * Runs the open items of a job and prepares the writes that commit their results. An item is finished once the stored
 * progress lists it.
 */
export class RunningJob {
  private readonly items = new Map<number, OpenItem>();
  private readonly committed: StoredResult[];
  private pending: EndedItem[] = [];
  private oldestPendingMs = 0;
  private lastWriteMs: number;
  private retryWriteAtMs = 0;
  private writing: Promise<void> | undefined;
  private readonly stopping = new AbortController();
  private failuresChanged = false;
  /** Whether `release` has begun, which makes the last writes of this instance itself. */
  private releasing = false;
  /** Whether this instance has stopped running the job. `isClosed` is about the stored progress instead. */
  private closed = false;
  private receivedEvents = 0;
  /** Whether items wait for a configuration as new as the one under which the job was accepted. */
  private isConfigurationBehind = false;
  private readonly learnedAtMs: number;
  private readonly dueMs: number;

  constructor(
    private record: Versioned<JobProgress>,
    items: readonly StoredItem[],
    committed: readonly StoredResult[],
    savedOutputs: readonly PartialOutput[],
    private readonly checkpoint: JobCheckpoint,
    private readonly store: RecordStore,
    private readonly dependencies: ItemRunDependencies,
    private readonly mayDispatch: () => boolean,
  ) {
    this.committed = [...committed];
    // Each running item adds listeners to the signal; together they would exceed Node's default limit.
    setMaxListeners(0, this.stopping.signal);
    this.lastWriteMs = this.clock.monotonicMs();
    this.learnedAtMs = this.lastWriteMs;
    this.dueMs = this.lastWriteMs + record.value.dueAtUnixMs - this.clock.nowUnixMs();
    const finished = new Set(record.value.finishedIndexes);
    const failures = new Map(record.value.failures.map((entry) => [entry.index, entry.failedAttempts]));
    const outputs = new Map(savedOutputs.map((output) => [output.index, output]));
    items.forEach((item, index) => {
      if (finished.has(index)) return;
      const output = toItemOutput(outputs.get(index));
      const failedAttempts = failures.get(index) ?? 0;
      this.items.set(index, {
        index,
        item,
        output,
        excludedReplicaIds: [],
        failedAttempts,
        retryAtMs: 0,
        running: false,
        isBlocked: false,
      });
    });
  }

  get jobId(): string {
    return this.record.value.jobId;
  }

  /** Whether this instance has nothing more to do for the job. */
  get finished(): boolean {
    return this.closed || (isClosed(this.record.value) && this.writing === undefined);
  }

  /** Whether this instance stopped running the job: it was ended, released or claimed by another instance. */
  get stopped(): boolean {
    return this.closed;
  }

  /** Committed results after the first `afterPosition` ones. Uncommitted results are never returned. */
  results(afterPosition: number): JobResultsResponse {
    return {
      held: true,
      itemCount: this.record.value.itemCount,
      committedCount: this.committed.length,
      organisation: this.record.value.organisation,
      results: this.committed.slice(afterPosition),
    };
  }

  /** Starts the items that may run. */
  run(nowMs: number): void {
    if (this.finished) return;
    this.abandonOverdue();
    if (!this.mayDispatch()) return;
    [...this.items.values()]
      .filter((entry) => !entry.running && entry.retryAtMs <= nowMs)
      .forEach((entry) => {
        this.start(entry).catch((error: unknown) => this.onUnexpected(entry, error));
      });
  }

  /** Whether results, the progress or a checkpoint are to be written now, whatever other jobs write. */
  isWriteDue(nowMs: number): boolean {
    if (this.releasing) return false;
    if (this.finished) return !this.closed && this.checkpoint.isRemovalDue;
    const isDue = this.failuresChanged || shouldCommit(this.commitState(), nowMs);
    return (isDue && this.mayWrite(nowMs)) || this.checkpoint.isDue(this.receivedEvents);
  }

  /** The writes that are due, and those that can be made along with others. Each must be settled. */
  takeWrites(nowMs: number): JobWrite[] {
    if (this.releasing) return [];
    if (this.finished) return this.closed ? [] : this.checkpoint.takeRemoval();
    const isDue = this.failuresChanged || mayCommit(this.commitState(), nowMs);
    const progress = isDue && this.mayWrite(nowMs) ? [this.takeProgressWrite()] : [];
    return [...progress, ...this.checkpoint.takeWrite(this.receivedEvents, () => this.partialOutputs())];
  }

  /** Checks the stored progress from a listing, and stops the job if it was ended or has another holder. */
  observe(listed: JobProgress): void {
    const isSameEpoch = listed.epoch === this.record.value.epoch;
    if (listed.ended) this.stop('the job was ended by its caller');
    else if (!isSameEpoch && listed.epoch > this.record.value.epoch)
      this.stop('another instance holds the job');
  }

  /** Stops all runs and discards uncommitted results. */
  stop(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.dependencies.log.record(LogCategory.state, 'job_stopped', {
      jobId: this.jobId,
      reason,
      epoch: this.record.value.epoch,
      itemsLeft: this.items.size,
    });
    this.stopping.abort();
  }

  /** Commits pending results, saves a checkpoint and releases the job for another instance to claim. */
  async release(): Promise<void> {
    this.releasing = true;
    this.stopping.abort();
    await this.writing;
    if (!this.closed && this.pending.length > 0) await writeTogether(this.store, [this.takeProgressWrite()]);
    if (this.finished) return;
    await this.checkpoint.save(this.partialOutputs());
    const { value } = this.record;
    await this.store.write(batchJobKeys.progress(value.jobId), this.record, releaseJob(value));
    this.stop('this instance is leaving');
  }

  dump(): Record<string, unknown> {
    const running = [...this.items.values()].filter((entry) => entry.running).length;
    const { jobId, epoch, sequence, itemCount } = this.record.value;
    return {
      jobId,
      epoch,
      sequence,
      itemCount,
      left: this.items.size,
      running,
      pending: this.pending.length,
    };
  }

  private get clock(): Clock {
    return this.dependencies.clock;
  }

  private get metrics(): Metrics {
    return this.dependencies.metrics;
  }

  private get log(): DecisionLog {
    return this.dependencies.log;
  }

  private mayWrite(nowMs: number): boolean {
    return this.writing === undefined && nowMs >= this.retryWriteAtMs;
  }

  private commitState(): CommitState {
    return {
      pendingResults: this.pending.length,
      oldestPendingMs: this.oldestPendingMs,
      itemsLeft: this.items.size,
      lastWriteMs: this.lastWriteMs,
      dueMs: this.dueMs,
    };
  }

  private async start(entry: OpenItem): Promise<void> {
    const { value } = this.record;
    entry.running = true;
    const end = await runItem(
      {
        jobId: value.jobId,
        heldJob: { acceptedVersion: value.configurationVersion, learnedAtMs: this.learnedAtMs },
        host: value.host,
        organisation: value.organisation,
        item: entry.item,
        output: entry.output,
        dueAtUnixMs: value.dueAtUnixMs,
        excludedReplicaIds: entry.excludedReplicaIds,
        onEvent: () => (this.receivedEvents += 1),
        mayDispatch: () => !this.closed && this.items.has(entry.index) && this.mayDispatch(),
      },
      this.dependencies,
      this.stopping.signal,
    );
    entry.running = false;
    if (!this.closed && this.items.has(entry.index)) this.onEnd(entry, end);
  }

  /** An item whose run has thrown is run again later; its job and the other jobs go on. */
  private onUnexpected(entry: OpenItem, error: unknown): void {
    if (isFatalError(error)) throw error;
    entry.running = false;
    entry.retryAtMs = this.clock.monotonicMs() + UNEXPECTED_RETRY_DELAY_MS;
    this.log.record(LogCategory.failure, 'item_error', {
      jobId: this.jobId,
      itemId: entry.item.itemId,
      ...errorFields(error),
    });
  }

  private onEnd(entry: OpenItem, { end, brokenReplicaId, givenWay: preempted }: ItemRunResult): void {
    if (end !== ItemRunOutcome.blocked) entry.isBlocked = false;
    if (end !== ItemRunOutcome.configurationBehind) this.isConfigurationBehind = false;
    if (end === ItemRunOutcome.done) this.onDone(entry);
    else if (end === ItemRunOutcome.impossible || end === ItemRunOutcome.noRoute) this.giveUp(entry, end);
    else if (end === ItemRunOutcome.tooLarge) this.giveUp(entry, TOO_LARGE);
    else if (end === ItemRunOutcome.failed) this.onFailure(entry);
    else if (end === ItemRunOutcome.blocked) this.onBlocked(entry);
    else if (end === ItemRunOutcome.unsendable) this.onUnsendable(entry);
    else if (end === ItemRunOutcome.configurationBehind) this.onConfigurationBehind(entry);
    else {
      if (brokenReplicaId !== undefined) {
        entry.excludedReplicaIds.push(brokenReplicaId);
        entry.excludedReplicaIds.splice(0, entry.excludedReplicaIds.length - MAX_EXCLUDED_REPLICAS);
      }
      entry.retryAtMs = preempted ? 0 : this.clock.monotonicMs() + INTERRUPTED_RETRY_DELAY_MS;
    }
  }

  /** An output that no stored value can hold would be written in vain again and again, so its item is given up. */
  private onDone(entry: OpenItem): void {
    const output = entry.output.events.join('\n');
    if (jsonBytes(output) > MAX_OUTPUT_BYTES) this.giveUp(entry, TOO_LARGE);
    else this.addResult(entry, true, output);
  }

  private onFailure(entry: OpenItem): void {
    entry.failedAttempts += 1;
    entry.retryAtMs = this.clock.monotonicMs() + FAILED_RETRY_DELAY_MS;
    this.failuresChanged = true;
    if (entry.failedAttempts >= this.record.value.maxAttempts) this.giveUp(entry, ItemRunOutcome.failed);
  }

  /** The item is never run, and may not be given up before its time. Its job was accepted by an earlier release. */
  private onUnsendable(entry: OpenItem): void {
    const { itemId, target, headers } = entry.item;
    entry.retryAtMs = Number.POSITIVE_INFINITY;
    this.metrics.count('batch_items_unsendable');
    this.log.record(LogCategory.failure, 'item_unsendable', {
      jobId: this.jobId,
      itemId,
      detail: requestFault({ requestId: itemId, target, headers, host: this.record.value.host }),
    });
  }

  /** The wait ends with a newer configuration, with another holder, or with the job. */
  private onConfigurationBehind(entry: OpenItem): void {
    entry.retryAtMs = this.clock.monotonicMs() + INTERRUPTED_RETRY_DELAY_MS;
    this.dependencies.confirmConfiguration();
    if (this.isConfigurationBehind) return;
    this.isConfigurationBehind = true;
    this.metrics.count('batch_jobs_awaiting_configuration');
    this.log.record(LogCategory.state, 'job_awaits_configuration', {
      jobId: this.jobId,
      ...this.configurationFields(),
    });
  }

  /** Fields of a log line that show by which configuration items were judged. */
  private configurationFields(): Record<string, unknown> {
    return {
      acceptedVersion: this.record.value.configurationVersion,
      configurationVersion: this.dependencies.view.configurationVersion,
    };
  }

  /** The job may not give the item up yet. Its other items go on. */
  private onBlocked(entry: OpenItem): void {
    entry.retryAtMs = this.clock.monotonicMs() + BLOCKED_RETRY_DELAY_MS;
    if (entry.isBlocked) return;
    entry.isBlocked = true;
    this.metrics.count('batch_items_blocked');
    this.log.record(LogCategory.failure, 'item_blocked', {
      jobId: this.jobId,
      itemId: entry.item.itemId,
      sharedPartIds: entry.item.sharedPartIds,
    });
  }

  private giveUp(entry: OpenItem, cause: string): void {
    this.log.record(LogCategory.failure, 'item_given_up', {
      jobId: this.jobId,
      itemId: entry.item.itemId,
      cause,
      failedAttempts: entry.failedAttempts,
      ...this.configurationFields(),
    });
    this.addResult(entry, false, '');
  }

  /** Gives up all open items, including running ones, once the time to abandon the job is reached. */
  private abandonOverdue(): void {
    if (this.clock.nowUnixMs() < this.record.value.abandonAtUnixMs) return;
    [...this.items.values()].forEach((entry) =>
      this.giveUp(
        entry,
        entry.isBlocked
          ? 'its prompt has crashed replicas until the time to abandon the item'
          : 'the time to abandon the item was reached',
      ),
    );
    this.stopping.abort();
  }

  private partialOutputs(): PartialOutput[] {
    return [...this.items.values()].flatMap(({ index, output: { events, lastEventId, origin, spentMs } }) =>
      lastEventId === undefined ? [] : [{ index, lastEventId, origin, spentMs, text: events.join('\n') }],
    );
  }

  private addResult(entry: OpenItem, succeeded: boolean, output: string): void {
    this.items.delete(entry.index);
    if (this.pending.length === 0) this.oldestPendingMs = this.clock.monotonicMs();
    const result = { itemId: entry.item.itemId, succeeded, output };
    this.pending.push({ index: entry.index, tokens: entry.item.tokens, result });
    this.metrics.count(succeeded ? 'batch_items_done' : 'batch_items_given_up');
  }

  /** The write of pending results and the progress. Without results it only updates the progress. */
  private takeProgressWrite(): JobWrite {
    const batch = this.nextBatch();
    const { value } = this.record;
    const failures = [...this.items.values()]
      .filter((entry) => entry.failedAttempts > 0)
      .map(({ index, failedAttempts }) => ({ index, failedAttempts }));
    const next = batch.length > 0 ? commitResults(value, batch, failures) : touchJob(value, failures);
    const key = batchJobKeys.progress(value.jobId);
    const results = batch.map((entry) => entry.result);
    const segmentKey = nextSegmentKey(value);
    const changes: RecordChange[] = [
      { key, previous: this.record, value: next },
      ...(batch.length > 0 ? [{ key: segmentKey, value: { results } }] : []),
    ];
    this.failuresChanged = false;
    let endWriting: () => void = () => undefined;
    this.writing = new Promise((resolve) => (endWriting = resolve));
    return {
      changes,
      keys: changes.length,
      bytes: results.reduce((sum, { output }) => sum + output.length, 0),
      settle: (outcome) => {
        this.writing = undefined;
        this.onWritten(outcome, batch);
        endWriting();
      },
    };
  }

  private onWritten(outcome: JobWriteOutcome, batch: readonly EndedItem[]): void {
    if (!outcome.ok) {
      this.onWriteFailed(outcome.error.kind, outcome.error.detail);
      return;
    }
    const { value } = this.record;
    const key = batchJobKeys.progress(value.jobId);
    const results = batch.map((entry) => entry.result);
    const record = outcome.value.get(key) as Versioned<JobProgress> | undefined;
    checkInvariant(InvariantName.countsAddUp, record !== undefined, () => ({ key }));
    if (record) this.record = record;
    this.lastWriteMs = this.clock.monotonicMs();
    this.pending = this.pending.filter((entry) => !batch.includes(entry));
    this.oldestPendingMs = this.lastWriteMs;
    this.committed.push(...results);
    this.metrics.count('batch_commits');
    this.log.record(LogCategory.routine, 'job_committed', {
      jobId: value.jobId,
      epoch: value.epoch,
      results: results.length,
      itemsLeft: this.items.size,
    });
  }

  private onWriteFailed(kind: StoreErrorKind, detail: string): void {
    this.retryWriteAtMs = this.clock.monotonicMs() + WRITE_RETRY_DELAY_MS;
    this.metrics.count('batch_commits_failed');
    this.log.record(LogCategory.failure, 'job_commit_failed', { jobId: this.jobId, kind, detail });
    if (kind === StoreErrorKind.conflict) this.stop('another instance changed the progress');
  }

  /** The pending results that fit into one commit; at least one if there is any. */
  private nextBatch(): EndedItem[] {
    let bytes = 0;
    return this.pending.filter((entry, index) => {
      bytes += jsonBytes(entry.result.output);
      return index === 0 || bytes <= MAX_COMMIT_BYTES;
    });
  }
}

/** The output to continue. One of unknown origin is dropped, so that the item starts anew. */
function toItemOutput(saved: PartialOutput | undefined): ItemOutput {
  if (!saved?.origin) return { events: [], bytes: 0, spentMs: 0 };
  const { text, lastEventId, origin, spentMs } = saved;
  return { events: [text], bytes: jsonBytes(text), lastEventId, origin, spentMs: spentMs ?? 0 };
}

/** One chunk that this instance has leased, with its items, uncommitted results and ledger. */
import type {
  BackgroundTasks,
  ChunkLedger,
  Clock,
  ItemAttempts,
  ItemResult,
  JobChunk,
  JobManifest,
  Metrics,
  Outcome,
} from '@fighub/core';
import {
  InvariantName,
  ItemStatus,
  checkInvariant,
  fail,
  jobKeys,
  mayHaveRun,
  newId,
  ok,
  sleep,
} from '@fighub/core';
import {
  applyCommit,
  isComplete,
  markStarted,
  openOffsets,
  releaseLease,
  renewLease,
  runToContinue,
} from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { CompletionEnd, CompletionRunner } from '../online/completion-runner.js';
import { CompletionKind } from '../online/completion-runner.js';

/** Settings of held chunks. */
export interface ChunkOptions {
  /** A lease expires when the ledger has not been written for this time. */
  readonly leaseMs: number;
  /** Time from one write of the ledger to the next commit of pending results. */
  readonly commitPeriodMs: number;
}

/** State of an item that has been run and has no result yet. */
interface ItemProgress {
  /** Tokens of earlier runs, from which the next run resumes. */
  tokens: readonly string[];
  /** Version of the replicas that produced the tokens. */
  softwareVersion?: string;
  /** Number of attempts that count against the item, because it was rejected or its stream broke. */
  failedAttempts: number;
  lastCause: string;
  /** Monotonic time before which the item is not run again. */
  retryAtMs: number;
}

/** Largest number of items of a chunk that run or wait for a slot at the same time. */
const MAX_RUNNING_ITEMS = 96;
/** Pending results are committed without waiting for the commit period when there are at least this many. */
const COMMIT_THRESHOLD_RESULTS = 100;
/**
 * After this number of failed attempts an item runs alone on a replica, so that it cannot harm other streams.
 */
const ALONE_AFTER_FAILURES = 2;
/** An item fails for good after this number of failed attempts. */
const MAX_FAILED_ATTEMPTS = 4;
/** Delay before an item is run again after its request was refused or failed. */
const FAILED_RETRY_DELAY_MS = 250;
/** The holder stops after this fraction of the lease, before another instance may claim the chunk. */
const USABLE_LEASE_FRACTION = 0.75;
/**
 * Largest number of non-idempotent items that one write of the ledger marks as started. No further items are
 * marked while more than this number are running.
 */
const MARK_BATCH_ITEMS = 32;
/** Largest number of results in one output segment. */
const MAX_SEGMENT_RESULTS = 400;

/** Runs the items of a chunk under its lease. An item has ended once the stored ledger says so. */
export class HeldChunk {
  private readonly queue: number[];
  private readonly running = new Set<number>();
  private readonly progress = new Map<number, ItemProgress>();
  /** Offsets of items whose counts of failed attempts are not committed yet. */
  private readonly changedAttempts = new Set<number>();
  /** Results that are not committed yet. */
  private results: ItemResult[] = [];
  /** Offsets of items that the stored ledger marks as started. */
  private readonly started: Set<number>;
  private readonly stopping = new AbortController();
  private leaseUntilMs: number;
  private nextWriteMs: number;
  private writing = false;
  private closed = false;

  constructor(
    readonly job: JobManifest,
    /** Index of the chunk in the job. */
    readonly chunk: number,
    private readonly input: JobChunk,
    private ledger: Versioned<ChunkLedger>,
    /** Monotonic time just before the lease was written. */
    leasedAtMs: number,
    private readonly options: ChunkOptions,
    private readonly store: RecordStore,
    private readonly runner: CompletionRunner,
    /** Whether the job is known to be open, so that its items may be dispatched. */
    private readonly mayDispatch: () => boolean,
    private readonly tasks: BackgroundTasks,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.queue = openOffsets(ledger.value);
    this.started = new Set(ledger.value.startedOffsets);
    ledger.value.attempts.forEach((entry) => this.restoreAttempts(entry));
    this.leaseUntilMs = leasedAtMs + options.leaseMs * USABLE_LEASE_FRACTION;
    this.nextWriteMs = leasedAtMs + options.commitPeriodMs;
    this.endPossiblyRunItems();
  }

  /** Job id and chunk index. Upstreams that check fencing numbers use it as the scope. */
  get id(): string {
    return `${this.job.jobId}/${String(this.chunk)}`;
  }

  /** Whether this instance has nothing more to do for the chunk. */
  get finished(): boolean {
    return this.closed || (isComplete(this.ledger.value) && !this.writing);
  }

  /** Whether all items of the chunk have ended and are committed. */
  get complete(): boolean {
    return isComplete(this.ledger.value);
  }

  /** Number of items that are queued or running. */
  get unfinishedItemCount(): number {
    return this.queue.length + this.running.size;
  }

  /** Number of items that have not been started, or wait to be run again. */
  get queuedItemCount(): number {
    return this.queue.length;
  }

  /** Starts items that may run, and writes the ledger when a commit or a renewal is due. */
  run(nowMs: number): void {
    if (this.finished) return;
    if (nowMs >= this.leaseUntilMs) {
      this.drop('its lease has lapsed');
      return;
    }
    if (!this.writing && this.shouldWrite(nowMs)) this.writeInBackground(() => this.commit(false));
    if (this.mayDispatch()) this.startItems(nowMs);
  }

  /**
   * Stops all streams and discards uncommitted results. `reason` is a label of the metric of dropped chunks.
   */
  drop(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.metrics.count('chunks_dropped', 1, [reason]);
    this.stopping.abort();
  }

  /**
   * Stops the streams if the job is idempotent, and waits until all have ended. Then commits the pending results and
   * releases the lease. Results that cannot be written are lost, and their items are run again by the next holder.
   */
  async release(): Promise<void> {
    // A non-idempotent item cannot be run again after it was stopped, so its stream must end first.
    if (this.job.idempotent) this.stopping.abort();
    while (this.writing || this.running.size > 0) await sleep(10);
    await this.commitAllButLast();
    if (!this.closed) await this.commit(true);
    this.closed = true;
  }

  /** Commits pending results until one segment holds the rest, or until a write fails. */
  private async commitAllButLast(): Promise<void> {
    let left = this.results.length;
    while (!this.closed && left > MAX_SEGMENT_RESULTS) {
      await this.commit(false);
      if (this.results.length === left) return;
      left = this.results.length;
    }
  }

  dump(): Record<string, unknown> {
    return {
      id: this.id,
      epoch: this.ledger.value.epoch,
      done: this.ledger.value.doneCount,
      itemCount: this.ledger.value.itemCount,
      queued: this.queue.length,
      running: this.running.size,
      uncommitted: this.results.length,
      leaseLeftMs: Math.round(this.leaseUntilMs - this.clock.monotonicMs()),
    };
  }

  private restoreAttempts(entry: ItemAttempts): void {
    this.progress.set(entry.offset, {
      tokens: [],
      failedAttempts: entry.failedAttempts,
      lastCause: entry.lastCause,
      retryAtMs: 0,
    });
  }

  /**
   * Ends non-idempotent items that a previous holder marked as started. They may have run, so they must not
   * be run again.
   */
  private endPossiblyRunItems(): void {
    if (this.job.idempotent) return;
    this.queue
      .filter((offset) => this.started.has(offset))
      .forEach((offset) => {
        this.queue.splice(this.queue.indexOf(offset), 1);
        this.addResult(offset, {
          status: ItemStatus.mayHaveRun,
          cause: 'its holder was lost while it ran',
        });
      });
  }

  /** Whether results should be committed now, or the lease renewed because less than half of `leaseMs` is left. */
  private shouldWrite(nowMs: number): boolean {
    if (this.queue.length === 0 && this.running.size === 0 && this.results.length > 0) return true;
    if (this.results.length >= COMMIT_THRESHOLD_RESULTS) return true;
    const hasChanges = this.results.length > 0 || this.changedAttempts.size > 0;
    if (hasChanges && nowMs >= this.nextWriteMs) return true;
    return nowMs >= this.leaseUntilMs - this.options.leaseMs / 2;
  }

  /** Starts queued items whose retry delay is over, up to the limit of running items. */
  private startItems(nowMs: number): void {
    if (!this.job.idempotent) {
      this.startMarkedItems(nowMs);
      return;
    }
    const ready = this.queue.filter((offset) => (this.progress.get(offset)?.retryAtMs ?? 0) <= nowMs);
    ready
      .slice(0, Math.max(0, MAX_RUNNING_ITEMS - this.running.size))
      .forEach((offset) => this.start(offset));
  }

  /**
   * Starts non-idempotent items. They are marked in the ledger before they are dispatched, so that a later
   * holder does not run them again. One write marks many items.
   */
  private startMarkedItems(nowMs: number): void {
    const capacity = Math.min(MARK_BATCH_ITEMS, MAX_RUNNING_ITEMS - this.running.size);
    const ready = this.queue.filter((offset) => (this.progress.get(offset)?.retryAtMs ?? 0) <= nowMs);
    const marked = ready.filter((offset) => this.started.has(offset));
    marked.slice(0, Math.max(0, capacity)).forEach((offset) => this.start(offset));
    const unmarked = ready.filter((offset) => !this.started.has(offset)).slice(0, Math.max(0, capacity));
    if (unmarked.length === 0 || this.writing || this.running.size > MARK_BATCH_ITEMS) return;
    this.writeInBackground(async () => {
      const outcome = await this.write(markStarted(this.ledger.value, unmarked));
      if (outcome.ok) unmarked.forEach((offset) => this.started.add(offset));
    });
  }

  /** An unexpected error leaves open what is stored, so that the chunk is left to the next holder. */
  private writeInBackground(write: () => Promise<void>): void {
    this.tasks.run('write of a chunk', () =>
      write().catch((error: unknown) => {
        this.writing = false;
        this.drop('an unexpected error');
        throw error;
      }),
    );
  }

  private start(offset: number): void {
    const item = this.input.items[offset];
    if (!item) return;
    this.queue.splice(this.queue.indexOf(offset), 1);
    this.running.add(offset);
    const progress = this.progress.get(offset);
    const spec = {
      requestId: `${this.job.jobId}.${String(this.input.firstIndex + offset)}`,
      organisation: this.job.organisation,
      model: this.job.model,
      prompt: item.prompt,
      maxTokens: item.maxTokens,
      deadlineUnixMs: this.job.dueAtUnixMs,
      workClass: 'batch' as const,
      idempotent: this.job.idempotent,
      alone: (progress?.failedAttempts ?? 0) >= ALONE_AFTER_FAILURES,
      fencing: { scope: this.id, epoch: this.ledger.value.epoch },
      tokensSoFar: progress?.tokens ?? [],
      softwareVersion: progress?.softwareVersion,
      mayDispatch: () => this.checkDispatch(),
      onDispatch: () => this.assertLease(),
    };
    this.tasks.run('run of an item', () =>
      this.runner.run(spec, this.stopping.signal).then(
        (end) => this.onItemEnd(offset, end),
        (error: unknown) => this.onItemError(offset, error),
      ),
    );
  }

  /** Counts an unexpected error as a failed attempt that may have run. */
  private onItemError(offset: number, error: unknown): never {
    const problem = mayHaveRun('internal', 'its run has failed because of an unexpected error');
    const tokens = this.progress.get(offset)?.tokens ?? [];
    const softwareVersion = this.progress.get(offset)?.softwareVersion;
    const run = { kind: CompletionKind.failed, tokens, softwareVersion, problem };
    this.onItemEnd(offset, { ...run, brokeReplica: true, sent: true });
    throw error;
  }

  /** Throws `InvariantError` when an item is dispatched although another instance may claim the chunk. */
  private assertLease(): void {
    const claimableAtMs = this.leaseUntilMs + this.options.leaseMs * (1 - USABLE_LEASE_FRACTION);
    const isHeld = !this.closed && this.clock.monotonicMs() < claimableAtMs;
    checkInvariant(InvariantName.noDispatchOnExpiredLease, isHeld, () => ({ chunk: this.dump() }));
  }

  /** Whether an item may be dispatched now, which needs a usable lease and a job that is known to be open. */
  checkDispatch(): boolean {
    const allowed = !this.closed && this.clock.monotonicMs() < this.leaseUntilMs && this.mayDispatch();
    if (!allowed) this.metrics.count('batch_dispatches_refused');
    return allowed;
  }

  private onItemEnd(offset: number, end: CompletionEnd): void {
    this.running.delete(offset);
    if (this.closed) return;
    if (end.kind === CompletionKind.completed) {
      this.addResult(offset, {
        status: ItemStatus.succeeded,
        text: end.tokens.join(''),
        tokens: end.tokens.length,
      });
      return;
    }
    if (!this.job.idempotent && end.sent && end.kind !== CompletionKind.rejected) {
      this.addResult(offset, {
        status: ItemStatus.mayHaveRun,
        cause: end.problem?.detail ?? 'it was stopped',
      });
      return;
    }
    this.requeue(offset, end);
  }

  /** Queues an item to be run again, or ends it as failed after too many failed attempts. */
  private requeue(offset: number, end: CompletionEnd): void {
    const previous = this.progress.get(offset);
    const isItemFault = end.kind === CompletionKind.rejected || end.brokeReplica;
    const failedAttempts = (previous?.failedAttempts ?? 0) + (isItemFault ? 1 : 0);
    const lastCause = end.problem?.detail ?? previous?.lastCause ?? '';
    if (isItemFault) {
      this.changedAttempts.add(offset);
      this.metrics.count('batch_items_failed_attempts');
    }
    if (failedAttempts >= MAX_FAILED_ATTEMPTS) {
      this.addResult(offset, { status: ItemStatus.failed, cause: lastCause });
      return;
    }
    const retryDelayMs = end.kind === CompletionKind.failed ? FAILED_RETRY_DELAY_MS : 0;
    const retryAtMs = this.clock.monotonicMs() + retryDelayMs;
    const continued = runToContinue(end, end.problem?.code === 'no_upstream');
    this.progress.set(offset, { ...continued, failedAttempts, lastCause, retryAtMs });
    this.queue.unshift(offset);
  }

  private addResult(offset: number, result: Omit<ItemResult, 'index' | 'customId'>): void {
    this.progress.delete(offset);
    this.changedAttempts.delete(offset);
    const customId = this.input.items[offset]?.customId ?? '';
    this.results.push({ index: this.input.firstIndex + offset, customId, ...result });
  }

  /**
   * Writes up to `MAX_SEGMENT_RESULTS` pending results as a segment, then lists the segment in the ledger by one
   * compare-and-swap. Renews the lease, or releases it if `release` is set.
   */
  private async commit(release: boolean): Promise<void> {
    const results = this.results.slice(0, MAX_SEGMENT_RESULTS);
    const changed = [...this.changedAttempts];
    const segment = results.length > 0 ? `${newId('seg')}-${String(this.ledger.value.epoch)}` : undefined;
    this.writing = true;
    if (segment !== undefined) {
      const stored = await this.store.write(jobKeys.output(this.job.jobId, segment), undefined, results);
      if (!stored.ok) {
        this.onWriteFailed();
        return;
      }
    }
    const attempts = changed.map((offset) => this.attemptsOf(offset));
    const hasChanges = results.length > 0 || attempts.length > 0;
    const commit = { firstIndex: this.input.firstIndex, results, segment, attempts };
    const committed = hasChanges ? applyCommit(this.ledger.value, commit) : renewLease(this.ledger.value);
    const outcome = await this.write(release ? releaseLease(committed) : committed);
    if (!outcome.ok) return;
    this.results = this.results.slice(results.length);
    changed.forEach((offset) => this.changedAttempts.delete(offset));
    this.metrics.count('batch_items_committed', results.length);
    this.metrics.count('batch_commits');
  }

  private attemptsOf(offset: number): ItemAttempts {
    const progress = this.progress.get(offset);
    return {
      offset,
      failedAttempts: progress?.failedAttempts ?? 0,
      lastCause: progress?.lastCause ?? '',
    };
  }

  /**
   * Writes the ledger, which also renews the lease. The lease is counted from before the write was sent, so
   * that it expires here before it does for other instances. A conflict means that another instance holds the
   * lease, so the chunk is dropped; after other failures the write is tried again later.
   */
  private async write(next: ChunkLedger): Promise<Outcome<void, 'lease_lost' | 'write_failed'>> {
    this.writing = true;
    const sentAtMs = this.clock.monotonicMs();
    const outcome = await this.store.write(this.ledger.key, this.ledger, next);
    this.writing = false;
    if (outcome.ok) {
      this.ledger = outcome.value;
      this.leaseUntilMs = sentAtMs + this.options.leaseMs * USABLE_LEASE_FRACTION;
      this.nextWriteMs = this.clock.monotonicMs() + this.options.commitPeriodMs;
      return ok(undefined);
    }
    if (outcome.error.kind === StoreErrorKind.conflict) {
      this.drop('another holder took the lease');
      return fail('lease_lost');
    }
    this.onWriteFailed();
    return fail('write_failed');
  }

  /** Counts a failed write and puts off the next commit that is due by time. */
  private onWriteFailed(): void {
    this.writing = false;
    this.nextWriteMs = this.clock.monotonicMs() + this.options.commitPeriodMs;
    this.metrics.count('batch_commits_failed');
  }
}

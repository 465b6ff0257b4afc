/** One leased chunk: its items, its results that wait for commit, and its lease. */
import type {
  ChunkLedger,
  Clock,
  ItemAttempts,
  ItemResult,
  JobChunk,
  JobManifest,
  Metrics,
  Outcome,
} from '@fighub/core';
import { InvariantName, ItemStatus, checkInvariant, fail, jobKeys, newId, ok, sleep } from '@fighub/core';
import {
  applyCommit,
  isComplete,
  markStarted,
  openOffsets,
  releaseLease,
  renewLease,
} from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { CompletionEnd, CompletionRunner } from '../online/completion-runner.js';
import { CompletionKind } from '../online/completion-runner.js';

/** Settings of chunks. */
export interface ChunkOptions {
  readonly leaseMs: number;
  readonly commitPeriodMs: number;
}

interface ItemProgress {
  tokens: readonly string[];
  failedAttempts: number;
  lastCause: string;
  /** Not before this monotonic time. */
  retryAtMs: number;
}

/** Streams that one chunk keeps asked for or running. */
const MAX_ITEMS_IN_PLAY = 96;
const COMMIT_AT_RESULTS = 100;
const ALONE_AFTER_FAILURES = 2;
const MAX_FAILED_ATTEMPTS = 4;
const REFUSAL_PAUSE_MS = 250;
const LEASE_MARGIN = 0.75;
const MARK_AT_ONCE = 32;
const MAX_SEGMENT_RESULTS = 400;

/** Runs the items of a chunk under its lease. Only its ledger decides what has ended. */
export class HeldChunk {
  private readonly queue: number[];
  private readonly running = new Set<number>();
  private readonly progress = new Map<number, ItemProgress>();
  private readonly changedAttempts = new Set<number>();
  private results: ItemResult[] = [];
  private readonly started: Set<number>;
  private readonly stopping = new AbortController();
  private leaseUntilMs: number;
  private nextWriteMs: number;
  private writing = false;
  private lost = false;

  constructor(
    readonly job: JobManifest,
    readonly chunk: number,
    private readonly input: JobChunk,
    private ledger: Versioned<ChunkLedger>,
    leasedAtMs: number,
    private readonly options: ChunkOptions,
    private readonly store: RecordStore,
    private readonly runner: CompletionRunner,
    private readonly mayDispatch: () => boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.queue = openOffsets(ledger.value);
    this.started = new Set(ledger.value.startedOffsets);
    ledger.value.attempts.forEach((entry) => this.restoreAttempts(entry));
    this.leaseUntilMs = leasedAtMs + options.leaseMs * LEASE_MARGIN;
    this.nextWriteMs = leasedAtMs + options.commitPeriodMs;
    this.endLostItems();
  }

  get id(): string {
    return `${this.job.jobId}/${String(this.chunk)}`;
  }

  /** Whether the chunk has nothing more to do here. */
  get finished(): boolean {
    return this.lost || (isComplete(this.ledger.value) && !this.writing);
  }

  get complete(): boolean {
    return isComplete(this.ledger.value);
  }

  /** Items that wait or run here. */
  get itemsInPlay(): number {
    return this.queue.length + this.running.size;
  }

  /** Items that are not asked for yet. */
  get itemsQueued(): number {
    return this.queue.length;
  }

  /** Starts items and commits when it is time. */
  run(nowMs: number): void {
    if (this.finished) return;
    if (nowMs >= this.leaseUntilMs) {
      this.drop('its lease has lapsed');
      return;
    }
    if (!this.writing && this.shouldWrite(nowMs)) void this.commit(false);
    if (this.mayDispatch()) this.startItems(nowMs);
  }

  /** Stops all streams and forgets results that are not committed. */
  drop(reason: string): void {
    if (this.lost) return;
    this.lost = true;
    this.metrics.count('chunks_dropped', 1, [reason]);
    this.stopping.abort();
  }

  /** Ends the streams, commits what has ended and gives the lease back. */
  async release(): Promise<void> {
    // Non-idempotent items cannot be taken up again: their streams are waited for.
    if (this.job.idempotent) this.stopping.abort();
    while (this.writing || this.running.size > 0) await sleep(10);
    if (!this.lost) await this.commit(true);
    this.lost = true;
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

  /** Non-idempotent items that a former holder started may have run: they are not run again. */
  private endLostItems(): void {
    if (this.job.idempotent) return;
    this.queue
      .filter((offset) => this.started.has(offset))
      .forEach((offset) => {
        this.queue.splice(this.queue.indexOf(offset), 1);
        this.addResult(offset, { status: ItemStatus.mayHaveRun, cause: 'its holder was lost while it ran' });
      });
  }

  private shouldWrite(nowMs: number): boolean {
    if (this.queue.length === 0 && this.running.size === 0 && this.results.length > 0) return true;
    if (this.results.length >= COMMIT_AT_RESULTS) return true;
    const hasNews = this.results.length > 0 || this.changedAttempts.size > 0;
    if (hasNews && nowMs >= this.nextWriteMs) return true;
    return nowMs >= this.leaseUntilMs - this.options.leaseMs / 2;
  }

  private startItems(nowMs: number): void {
    if (!this.job.idempotent) {
      this.startMarkedItems(nowMs);
      return;
    }
    const ready = this.queue.filter((offset) => (this.progress.get(offset)?.retryAtMs ?? 0) <= nowMs);
    ready
      .slice(0, Math.max(0, MAX_ITEMS_IN_PLAY - this.running.size))
      .forEach((offset) => this.start(offset));
  }

  /** Non-idempotent items are marked in the ledger before they are dispatched, many with one write. */
  private startMarkedItems(nowMs: number): void {
    const room = Math.min(MARK_AT_ONCE, MAX_ITEMS_IN_PLAY - this.running.size);
    const ready = this.queue.filter((offset) => (this.progress.get(offset)?.retryAtMs ?? 0) <= nowMs);
    const marked = ready.filter((offset) => this.started.has(offset));
    marked.slice(0, Math.max(0, room)).forEach((offset) => this.start(offset));
    const unmarked = ready.filter((offset) => !this.started.has(offset)).slice(0, Math.max(0, room));
    if (unmarked.length === 0 || this.writing || this.running.size > MARK_AT_ONCE) return;
    void this.write(markStarted(this.ledger.value, unmarked)).then((outcome) => {
      if (outcome.ok) unmarked.forEach((offset) => this.started.add(offset));
    });
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
      mayDispatch: () => this.checkDispatch(),
      onDispatch: () => this.assertLease(),
    };
    void this.runner.run(spec, this.stopping.signal).then((end) => this.onItemEnd(offset, end));
  }

  private assertLease(): void {
    const nowMs = this.clock.monotonicMs();
    checkInvariant(InvariantName.noDispatchOnLapsedLease, !this.lost && nowMs < this.leaseUntilMs, () => ({
      chunk: this.dump(),
    }));
  }

  /** Whether an item may be sent to a replica now. */
  checkDispatch(): boolean {
    const allowed = !this.lost && this.clock.monotonicMs() < this.leaseUntilMs && this.mayDispatch();
    if (!allowed) this.metrics.count('batch_dispatches_refused');
    return allowed;
  }

  private onItemEnd(offset: number, end: CompletionEnd): void {
    this.running.delete(offset);
    if (this.lost) return;
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

  private requeue(offset: number, end: CompletionEnd): void {
    const known = this.progress.get(offset);
    const ownFailure = end.kind === CompletionKind.rejected || end.brokeReplica;
    const failedAttempts = (known?.failedAttempts ?? 0) + (ownFailure ? 1 : 0);
    const lastCause = end.problem?.detail ?? known?.lastCause ?? '';
    if (ownFailure) {
      this.changedAttempts.add(offset);
      this.metrics.count('batch_items_failed_attempts');
    }
    if (failedAttempts >= MAX_FAILED_ATTEMPTS) {
      this.addResult(offset, { status: ItemStatus.failed, cause: lastCause });
      return;
    }
    const pauseMs = end.kind === CompletionKind.failed ? REFUSAL_PAUSE_MS : 0;
    const retryAtMs = this.clock.monotonicMs() + pauseMs;
    this.progress.set(offset, { tokens: end.tokens, failedAttempts, lastCause, retryAtMs });
    this.queue.unshift(offset);
  }

  private addResult(offset: number, result: Omit<ItemResult, 'index' | 'customId'>): void {
    this.progress.delete(offset);
    this.changedAttempts.delete(offset);
    const customId = this.input.items[offset]?.customId ?? '';
    this.results.push({ index: this.input.firstIndex + offset, customId, ...result });
  }

  /** Writes the results as a segment, then names it in the ledger by one compare-and-swap. */
  private async commit(release: boolean): Promise<void> {
    const results = this.results.slice(0, MAX_SEGMENT_RESULTS);
    const changed = [...this.changedAttempts];
    const segment = results.length > 0 ? `${newId('seg')}-${String(this.ledger.value.epoch)}` : undefined;
    this.writing = true;
    if (segment !== undefined) {
      const stored = await this.store.write(jobKeys.output(this.job.jobId, segment), undefined, results);
      if (!stored.ok) {
        this.afterFailedWrite();
        return;
      }
    }
    const attempts = changed.map((offset) => this.attemptsOf(offset));
    const hasNews = results.length > 0 || attempts.length > 0;
    const commit = { firstIndex: this.input.firstIndex, results, segment, attempts };
    const committed = hasNews ? applyCommit(this.ledger.value, commit) : renewLease(this.ledger.value);
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

  /** Every write of the ledger extends the lease, counted from before the write was sent. */
  private async write(next: ChunkLedger): Promise<Outcome<void, 'lost' | 'later'>> {
    this.writing = true;
    const sentAtMs = this.clock.monotonicMs();
    const outcome = await this.store.write(this.ledger.key, this.ledger, next);
    this.writing = false;
    if (outcome.ok) {
      this.ledger = outcome.value;
      this.leaseUntilMs = sentAtMs + this.options.leaseMs * LEASE_MARGIN;
      this.nextWriteMs = this.clock.monotonicMs() + this.options.commitPeriodMs;
      return ok(undefined);
    }
    if (outcome.error.kind === StoreErrorKind.conflict) {
      this.drop('another holder took the lease');
      return fail('lost');
    }
    this.afterFailedWrite();
    return fail('later');
  }

  private afterFailedWrite(): void {
    this.writing = false;
    this.nextWriteMs = this.clock.monotonicMs() + this.options.commitPeriodMs;
    this.metrics.count('batch_commits_failed');
  }
}

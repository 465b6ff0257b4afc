/** Finds open batch jobs, leases their chunks and runs the leased chunks on this instance. */
import type { PermitClient } from '@fighub/admission';
import type {
  BackgroundTasks,
  ChunkLedger,
  Clock,
  JobChunk,
  JobManifest,
  Metrics,
  System,
} from '@fighub/core';
import { EntityTable, JobState, jobKeys } from '@fighub/core';
import type { OpenChunk } from '@fighub/decisions';
import { emptyLedger, isComplete, orderChunks, prefersChunk, takeLease } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';

import type { CompletionRunner } from '../online/completion-runner.js';
import type { ChunkOptions } from './held-chunk.js';
import { HeldChunk } from './held-chunk.js';
import { moveToEnded } from './job-index.js';
import type { OpenJob } from './job-intake.js';
import type { JobReader } from './job-reader.js';
import type { TableStore } from '../table/table-store.js';

/** Settings of the batch runner. */
export interface BatchOptions extends ChunkOptions {
  /** Largest number of chunks that this instance holds at the same time. */
  readonly maxHeldChunks: number;
}

/**
 * When this instance first read a ledger at a revision. The time is that of the local monotonic clock, so
 * that the expiry of another holder's lease does not depend on the clocks of other instances.
 */
interface LedgerObservation {
  readonly revision: number;
  readonly seenAtMs: number;
}

/** Time between two searches for work while this instance holds a chunk. */
const DISCOVERY_PERIOD_MS = 700;
/**
 * Time between two searches while this instance holds no chunk. It can be longer, as a cancellation has nothing to stop
 * on this instance.
 */
const IDLE_DISCOVERY_PERIOD_MS = 1_400;
/** No item is dispatched when the last successful read of the index of open jobs began longer ago than this. */
const MAX_INDEX_AGE_MS = 1_600;
/** Number of entries of the index of open jobs that are read from the store at a time. */
const OPEN_JOBS_PAGE_RECORDS = 500;
/** Number of ledgers read from the store at a time. */
const LEDGER_PAGE_RECORDS = 200;
/**
 * A free chunk that stays unclaimed for this time may be claimed by any instance, not only the preferred one.
 */
const UNCLAIMED_GRACE_MS = 1_500;
/** A chunk is claimed only while some pool has fewer waiting batch items than this for each of its slots. */
const MAX_WAITING_ITEMS_PER_SLOT = 0.5;

/** Searches for open jobs periodically, claims chunks and runs the chunks that this instance holds. */
export class BatchRunner implements System {
  readonly name = 'batch runner';
  private readonly held = new EntityTable<HeldChunk>();
  private readonly ledgerObservations = new Map<string, LedgerObservation>();
  private readonly cancelled = new Set<string>();
  private openJobIds = new Set<string>();
  private indexReadAtMs = Number.NEGATIVE_INFINITY;
  private discovering = false;
  private nextDiscoveryMs = 0;
  private stopped = false;

  constructor(
    private readonly selfId: string,
    private readonly store: RecordStore,
    private readonly runner: CompletionRunner,
    private readonly reader: JobReader,
    private readonly permits: PermitClient,
    private readonly table: TableStore,
    private readonly members: () => MembershipRunner,
    node: PeerNode,
    private readonly options: BatchOptions,
    private readonly tasks: BackgroundTasks,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    node.onNotice('job.cancelled', (body) => this.onCancelled(body.jobId));
  }

  /** Whether this instance holds a chunk. */
  get busy(): boolean {
    return this.held.size > 0;
  }

  /** Runs the held chunks, and starts a search for work when one is due. Called on each tick. */
  run(nowMs: number): void {
    this.held
      .all()
      .filter((chunk) => chunk.finished)
      .forEach((chunk) => this.onFinished(chunk));
    this.held.all().forEach((chunk) => chunk.run(nowMs));
    if (this.stopped) return;
    if (nowMs < this.nextDiscoveryMs || this.discovering) return;
    this.nextDiscoveryMs = nowMs + (this.held.size > 0 ? DISCOVERY_PERIOD_MS : IDLE_DISCOVERY_PERIOD_MS);
    this.discovering = true;
    this.tasks.run('search for work', () => this.discover().finally(() => (this.discovering = false)));
  }

  /** Stops all streams of a cancelled job on this instance. Its items are not dispatched any more. */
  onCancelled(jobId: string): void {
    this.cancelled.add(jobId);
    this.held
      .all()
      .filter((chunk) => chunk.job.jobId === jobId)
      .forEach((chunk) => chunk.drop('the job is cancelled'));
  }

  /** Stops claiming chunks, then commits the results of all held chunks and releases their leases. */
  async drain(): Promise<void> {
    this.stopped = true;
    const releases = this.held
      .all()
      .map((chunk) => this.tasks.finish('release of a chunk', () => chunk.release()));
    await Promise.all(releases);
  }

  dump(): Record<string, unknown> {
    return {
      held: this.held.all().map((chunk) => chunk.dump()),
      openJobs: [...this.openJobIds],
      indexReadAgoMs: Math.round(this.clock.monotonicMs() - this.indexReadAtMs),
    };
  }

  /**
   * Whether items of the job may be dispatched. Without a recent read of the index the job may have been
   * cancelled unnoticed, so its items must wait.
   */
  private mayDispatch(jobId: string): boolean {
    const fresh = this.clock.monotonicMs() - this.indexReadAtMs < MAX_INDEX_AGE_MS;
    return fresh && !this.stopped && !this.cancelled.has(jobId);
  }

  /**
   * Reads the index of open jobs, stops chunks of jobs that are closed, and claims a chunk if there is
   * capacity.
   */
  private async discover(): Promise<void> {
    const requestedAtMs = this.clock.monotonicMs();
    const index = await this.store.listAll<OpenJob>(jobKeys.openPrefix, OPEN_JOBS_PAGE_RECORDS);
    if (!index.ok) return;
    this.indexReadAtMs = requestedAtMs;
    const open = index.value.map((entry) => entry.value);
    this.openJobIds = new Set(open.filter((job) => !job.cancelled).map((job) => job.jobId));
    open.forEach((job) => this.permits.markModelInUse(job.model));
    await this.stopClosedJobs(open);
    if (!this.shouldClaimMore()) return;
    const chunks = await this.findChunks(open.filter((job) => !job.cancelled));
    await this.claimNext(chunks);
  }

  /**
   * Drops chunks of jobs that are no longer open. A cancellation that was interrupted after the index entry
   * was marked is completed by the instance to which rendezvous hashing assigns the job.
   */
  private async stopClosedJobs(open: readonly OpenJob[]): Promise<void> {
    this.held
      .all()
      .filter((chunk) => !this.openJobIds.has(chunk.job.jobId) && !chunk.complete)
      .forEach((chunk) => chunk.drop('the job is not open'));
    const partlyCancelled = open.filter((job) => job.cancelled);
    partlyCancelled.forEach((job) => this.onCancelled(job.jobId));
    const assigned = partlyCancelled.filter((job) =>
      prefersChunk(firstChunkOf(job.jobId), this.selfId, this.memberIds()),
    );
    await Promise.all(assigned.map((job) => this.reader.markCancelled(job.jobId, 1)));
  }

  /**
   * Whether another chunk should be claimed: this instance holds fewer chunks than its limit and has no queued items,
   * and some pool has few waiting batch items for its number of slots.
   */
  private shouldClaimMore(): boolean {
    if (this.held.size >= this.options.maxHeldChunks) return false;
    const queuedItems = this.held.all().reduce((sum, chunk) => sum + chunk.queuedItemCount, 0);
    if (queuedItems > 0) return false;
    const loads = this.permits.poolLoads();
    return loads.some((load) => load.batchWaiting < load.places * MAX_WAITING_ITEMS_PER_SLOT);
  }

  /** Claimable chunks of the jobs whose manifest says that they are open. */
  private async findChunks(open: readonly OpenJob[]): Promise<OpenChunk[]> {
    const manifests = await Promise.all(
      open.map((job) => this.store.read<JobManifest>(jobKeys.manifest(job.jobId))),
    );
    const jobs = manifests
      .filter((outcome) => outcome.ok)
      .map((outcome) => outcome.value?.value)
      .filter((job) => job?.state === JobState.open) as JobManifest[];
    const lists = await Promise.all(jobs.map((job) => this.findChunksOf(job)));
    return lists.flat();
  }

  /** Claimable chunks of a job. Completes the job instead when all of its chunks are complete. */
  private async findChunksOf(job: JobManifest): Promise<OpenChunk[]> {
    const ledgers = await this.store.listAll<ChunkLedger>(
      jobKeys.ledgerPrefix(job.jobId),
      LEDGER_PAGE_RECORDS,
    );
    if (!ledgers.ok) return [];
    const byKey = new Map(ledgers.value.map((ledger) => [ledger.key, ledger]));
    if (ledgers.value.length === job.chunkCount && ledgers.value.every((l) => isComplete(l.value))) {
      await this.completeJob(job);
      return [];
    }
    return Array.from({ length: job.chunkCount }, (_, chunk) => ({ job, chunk })).filter((candidate) =>
      this.isClaimable(candidate, byKey.get(jobKeys.ledger(job.jobId, candidate.chunk))),
    );
  }

  /**
   * Whether a chunk may be claimed. A leased chunk may be claimed after its ledger has not changed for the
   * length of a lease. A free chunk may be claimed by its preferred instance at once, and by others after a
   * grace period. The call also notes when a new revision of the ledger is first read.
   */
  private isClaimable(candidate: OpenChunk, ledger: Versioned<ChunkLedger> | undefined): boolean {
    const id = `${candidate.job.jobId}/${String(candidate.chunk)}`;
    if (this.held.has(id) || (ledger && isComplete(ledger.value))) return false;
    const nowMs = this.clock.monotonicMs();
    const revision = ledger?.revision ?? 0;
    const known = this.ledgerObservations.get(id);
    if (known?.revision !== revision) this.ledgerObservations.set(id, { revision, seenAtMs: nowMs });
    const unchangedMs = known?.revision === revision ? nowMs - known.seenAtMs : 0;
    if (ledger && !ledger.value.released) return unchangedMs >= this.options.leaseMs;
    return unchangedMs >= UNCLAIMED_GRACE_MS || prefersChunk(candidate, this.selfId, this.memberIds());
  }

  /**
   * Claims the first chunk in the order that `orderChunks` derives from the weights of the organisations, their items
   * held here, and the due times of the jobs.
   */
  private async claimNext(chunks: readonly OpenChunk[]): Promise<void> {
    const heldItems = new Map<string, number>();
    this.held.all().forEach((chunk) => {
      const { organisation } = chunk.job;
      heldItems.set(organisation, (heldItems.get(organisation) ?? 0) + chunk.unfinishedItemCount);
    });
    const weightOf = (organisation: string, model: string): number =>
      this.table.view.share(organisation, model).weight;
    const [next] = orderChunks(chunks, weightOf, heldItems);
    if (next) await this.claim(next);
  }

  /**
   * Leases a chunk by compare-and-swap of its ledger. Does nothing if another instance has leased it first.
   */
  private async claim(candidate: OpenChunk): Promise<void> {
    const { job, chunk } = candidate;
    const key = jobKeys.ledger(job.jobId, chunk);
    const [input, ledger] = await Promise.all([
      this.store.read<JobChunk>(jobKeys.input(job.jobId, job.uploadId, chunk)),
      this.store.read<ChunkLedger>(key),
    ]);
    if (!input.ok || !input.value || !ledger.ok) return;
    // Another instance may have claimed the chunk since the ledgers were listed, or this one may be draining.
    if (this.stopped || !this.isClaimable(candidate, ledger.value)) return;
    const base = ledger.value?.value ?? emptyLedger(input.value.value.items.length);
    if (isComplete(base)) return;
    const leasedAtMs = this.clock.monotonicMs();
    const leased = await this.store.write(key, ledger.value, takeLease(base, this.selfId));
    if (!leased.ok) {
      this.metrics.count('chunk_claims_lost');
      return;
    }
    this.metrics.count('chunks_claimed');
    const held = new HeldChunk(
      job,
      chunk,
      input.value.value,
      leased.value,
      leasedAtMs,
      this.options,
      this.store,
      this.runner,
      () => this.mayDispatch(job.jobId),
      this.tasks,
      this.clock,
      this.metrics,
    );
    this.held.set(held.id, held);
    // The drain may have begun while the lease was written.
    if (this.stopped) await held.release();
    // The next search starts on the next tick. It also reads the index again, and items need a recent read to start.
    this.nextDiscoveryMs = 0;
  }

  /** Removes a finished chunk, and completes its job if all chunks of the job are complete. */
  private onFinished(chunk: HeldChunk): void {
    this.held.take(chunk.id);
    this.ledgerObservations.delete(chunk.id);
    if (!chunk.complete) return;
    this.metrics.count('chunks_completed');
    this.nextDiscoveryMs = 0;
    this.tasks.run('search for chunks', () => this.findChunksOf(chunk.job));
  }

  /** Marks a job as complete if it is open, and moves it to the index of ended jobs. */
  private async completeJob(job: JobManifest): Promise<void> {
    const present = await this.store.read<JobManifest>(jobKeys.manifest(job.jobId));
    if (!present.ok || !present.value) return;
    const { value: manifest } = present.value;
    if (manifest.state !== JobState.open) return moveToEnded(this.store, manifest);
    const ended = { ...manifest, state: JobState.complete, endedAtUnixMs: this.clock.nowUnixMs() };
    const written = await this.store.write<JobManifest>(present.value.key, present.value, ended);
    if (!written.ok) return;
    this.metrics.count('jobs_completed');
    await moveToEnded(this.store, ended);
  }

  private memberIds(): string[] {
    return this.members()
      .owners()
      .map((member) => member.instanceId);
  }
}

/**
 * Returns a placeholder for the first chunk of a job, by which rendezvous hashing chooses one instance for the whole
 * job. It has only the fields that `prefersChunk` reads.
 */
function firstChunkOf(jobId: string): OpenChunk {
  return { job: { jobId } as JobManifest, chunk: 0 };
}

/** Leases chunks of open jobs and keeps them running. */
import type { PermitClient } from '@fighub/admission';
import type { ChunkLedger, Clock, JobChunk, JobManifest, Metrics, System } from '@fighub/core';
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
  readonly maxHeldChunks: number;
}

/** When a ledger was first seen in its present state, on our own monotonic clock. */
interface LedgerSighting {
  readonly revision: number;
  readonly seenAtMs: number;
}

const DISCOVERY_PERIOD_MS = 700;
/** An instance that holds no chunk looks for work more rarely; it has nothing that a cancel could stop. */
const IDLE_DISCOVERY_PERIOD_MS = 1_400;
/** Dispatch stops when the index of open jobs was not read for this long. */
const INDEX_FRESH_MS = 1_600;
const OPEN_JOBS_PAGE = 500;
const LEDGER_PAGE = 200;
const UNCLAIMED_GRACE_MS = 1_500;
const WAITING_PER_PLACE = 0.5;

/** Finds work, claims chunks and runs those that are held. */
export class BatchRunner implements System {
  readonly name = 'batch runner';
  private readonly held = new EntityTable<HeldChunk>();
  private readonly sightings = new Map<string, LedgerSighting>();
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
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    node.onNotice('job.cancelled', (body) => this.onCancelled(body.jobId));
  }

  get busy(): boolean {
    return this.held.size > 0;
  }

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
    void this.discover().finally(() => (this.discovering = false));
  }

  /** Stops the streams of a cancelled job at once. */
  onCancelled(jobId: string): void {
    this.cancelled.add(jobId);
    this.held
      .all()
      .filter((chunk) => chunk.job.jobId === jobId)
      .forEach((chunk) => chunk.drop('the job is cancelled'));
  }

  /** Commits what has ended and gives all leases back. */
  async drain(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.held.all().map((chunk) => chunk.release()));
  }

  dump(): Record<string, unknown> {
    return {
      held: this.held.all().map((chunk) => chunk.dump()),
      openJobs: [...this.openJobIds],
      indexReadAgoMs: Math.round(this.clock.monotonicMs() - this.indexReadAtMs),
    };
  }

  /** A job that cannot be seen to be open is not dispatched: it may have been cancelled. */
  private mayDispatch(jobId: string): boolean {
    const fresh = this.clock.monotonicMs() - this.indexReadAtMs < INDEX_FRESH_MS;
    return fresh && !this.stopped && !this.cancelled.has(jobId);
  }

  private async discover(): Promise<void> {
    const askedAtMs = this.clock.monotonicMs();
    const index = await this.store.listAll<OpenJob>(jobKeys.openPrefix, OPEN_JOBS_PAGE);
    if (!index.ok) return;
    this.indexReadAtMs = askedAtMs;
    const open = index.value.map((entry) => entry.value);
    this.openJobIds = new Set(open.filter((job) => !job.cancelled).map((job) => job.jobId));
    open.forEach((job) => this.permits.markModelInUse(job.model));
    await this.stopClosedJobs(open);
    if (!this.wantsMore()) return;
    const chunks = await this.findChunks(open.filter((job) => !job.cancelled));
    await this.claimSome(chunks);
  }

  /** Holders of jobs that are no longer open stop; a cancel that broke off half way is finished. */
  private async stopClosedJobs(open: readonly OpenJob[]): Promise<void> {
    this.held
      .all()
      .filter((chunk) => !this.openJobIds.has(chunk.job.jobId) && !chunk.complete)
      .forEach((chunk) => chunk.drop('the job is not open'));
    const half = open.filter((job) => job.cancelled);
    half.forEach((job) => this.onCancelled(job.jobId));
    const mine = half.filter((job) => prefersChunk(asChunk(job.jobId), this.selfId, this.memberIds()));
    await Promise.all(mine.map((job) => this.reader.markCancelled(job.jobId, 1)));
  }

  /** More chunks are leased only while the pools have places that nobody waits for. */
  private wantsMore(): boolean {
    if (this.held.size >= this.options.maxHeldChunks) return false;
    const queuedHere = this.held.all().reduce((sum, chunk) => sum + chunk.itemsQueued, 0);
    if (queuedHere > 0) return false;
    const loads = this.permits.poolLoads();
    return loads.some((load) => load.batchWaiting < load.places * WAITING_PER_PLACE);
  }

  private async findChunks(open: readonly OpenJob[]): Promise<OpenChunk[]> {
    const manifests = await Promise.all(
      open.map((job) => this.store.read<JobManifest>(jobKeys.manifest(job.jobId))),
    );
    const jobs = manifests
      .filter((answer) => answer.ok)
      .map((answer) => answer.value?.value)
      .filter((job) => job?.state === JobState.open) as JobManifest[];
    const lists = await Promise.all(jobs.map((job) => this.findChunksOf(job)));
    return lists.flat();
  }

  private async findChunksOf(job: JobManifest): Promise<OpenChunk[]> {
    const ledgers = await this.store.listAll<ChunkLedger>(jobKeys.ledgerPrefix(job.jobId), LEDGER_PAGE);
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

  /** A chunk may be claimed when it is free, or when its ledger has not changed for a lease's length. */
  private isClaimable(candidate: OpenChunk, ledger: Versioned<ChunkLedger> | undefined): boolean {
    const id = `${candidate.job.jobId}/${String(candidate.chunk)}`;
    if (this.held.has(id) || (ledger && isComplete(ledger.value))) return false;
    const nowMs = this.clock.monotonicMs();
    const revision = ledger?.revision ?? 0;
    const known = this.sightings.get(id);
    if (known?.revision !== revision) this.sightings.set(id, { revision, seenAtMs: nowMs });
    const unchangedMs = known?.revision === revision ? nowMs - known.seenAtMs : 0;
    if (ledger && !ledger.value.released) return unchangedMs >= this.options.leaseMs;
    return unchangedMs >= UNCLAIMED_GRACE_MS || prefersChunk(candidate, this.selfId, this.memberIds());
  }

  private async claimSome(chunks: readonly OpenChunk[]): Promise<void> {
    const heldItems = new Map<string, number>();
    this.held.all().forEach((chunk) => {
      const { organisation } = chunk.job;
      heldItems.set(organisation, (heldItems.get(organisation) ?? 0) + chunk.itemsInPlay);
    });
    const weightOf = (organisation: string, model: string): number =>
      this.table.view.share(organisation, model).weight;
    const [next] = orderChunks(chunks, weightOf, heldItems);
    if (next) await this.claim(next);
  }

  private async claim(candidate: OpenChunk): Promise<void> {
    const { job, chunk } = candidate;
    const key = jobKeys.ledger(job.jobId, chunk);
    const [input, ledger] = await Promise.all([
      this.store.read<JobChunk>(jobKeys.input(job.jobId, job.uploadId, chunk)),
      this.store.read<ChunkLedger>(key),
    ]);
    if (!input.ok || !input.value || !ledger.ok) return;
    // Another instance may have claimed the chunk since it was judged.
    if (!this.isClaimable(candidate, ledger.value)) return;
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
      this.clock,
      this.metrics,
    );
    this.held.set(held.id, held);
    // Also keeps the reading of the index fresh, which dispatches depend on.
    this.nextDiscoveryMs = 0;
  }

  private onFinished(chunk: HeldChunk): void {
    this.held.take(chunk.id);
    this.sightings.delete(chunk.id);
    if (!chunk.complete) return;
    this.metrics.count('chunks_completed');
    this.nextDiscoveryMs = 0;
    void this.findChunksOf(chunk.job);
  }

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

function asChunk(jobId: string): OpenChunk {
  return { job: { jobId } as JobManifest, chunk: 0 };
}

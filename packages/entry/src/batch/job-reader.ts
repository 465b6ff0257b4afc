/** Reads the state and the results of batch jobs, and cancels jobs. */
import type { ChunkLedger, Clock, ItemResult, JobManifest, Outcome, Problem } from '@fighub/core';
import { InvariantName, JobState, checkInvariant, fail, jobKeys, mayHaveRun, notRun, ok } from '@fighub/core';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import { moveToEnded } from './job-index.js';
import type { OpenJob } from './job-intake.js';

/** Status of a job as returned to callers. */
export interface JobStatus {
  readonly jobId: string;
  readonly organisation: string;
  readonly model: string;
  readonly state: JobState;
  readonly dueAtUnixMs: number;
  readonly createdAtUnixMs: number;
  readonly endedAtUnixMs?: number;
  readonly itemCount: number;
  /** Number of items that have ended, including the failed ones. */
  readonly doneCount: number;
  /** Number of items that ended without success. */
  readonly failedCount: number;
  /** End of the job, or its expected end at the mean rate so far. Undefined before the first results. */
  readonly expectedEndUnixMs?: number;
  /** Whether the job ended or is expected to end after its due time. Without an expected end: whether it is overdue. */
  readonly late: boolean;
}

/** A page of results. `nextCursor` is undefined once all results of the job have been read. */
export interface ResultPage {
  readonly results: readonly ItemResult[];
  readonly nextCursor?: string;
}

/** Position of a reader: the index of a chunk, and the number of its segments that were read. */
interface Cursor {
  readonly chunk: number;
  readonly segment: number;
}

/** Number of ledgers read from the store at a time. */
const LEDGER_PAGE_RECORDS = 200;
const SEGMENTS_PER_PAGE = 8;
/** A cancellation is tried up to this number of times when its writes fail. */
const MAX_CANCEL_TRIES = 5;

/** Reads jobs from the key-value service, so that any instance can serve them. */
export class JobReader {
  constructor(
    private readonly store: RecordStore,
    private readonly clock: Clock,
    /** Notifies the other instances, and the batch runner of this one, that a job is cancelled. */
    private readonly notifyCancelled: (jobId: string) => void,
  ) {}

  /**
   * Reads the manifest of a job. Fails with `unknown_job` when there is none or the job belongs to another
   * organisation. The organisation `fleet`, to which the bootstrap key belongs, has access to all jobs.
   */
  async manifest(jobId: string, organisation: string): Promise<Outcome<Versioned<JobManifest>, Problem>> {
    const found = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!found.ok) return fail(notRun('store_unavailable', found.error.detail, 1_000));
    const isOwn = found.value?.value.organisation === organisation || organisation === 'fleet';
    if (!found.value || !isOwn) return fail(notRun('unknown_job', `there is no job ${jobId}`));
    return ok(found.value);
  }

  /** Reads the status of a job, with the counts from the ledgers of its chunks. */
  async status(jobId: string, organisation: string): Promise<Outcome<JobStatus, Problem>> {
    const manifest = await this.manifest(jobId, organisation);
    if (!manifest.ok) return manifest;
    const ledgers = await this.store.listAll<ChunkLedger>(jobKeys.ledgerPrefix(jobId), LEDGER_PAGE_RECORDS);
    if (!ledgers.ok) return fail(notRun('store_unavailable', ledgers.error.detail, 1_000));
    return ok(
      this.toStatus(
        manifest.value.value,
        ledgers.value.map((ledger) => ledger.value),
      ),
    );
  }

  /** Reads the next results after `cursorText`. They are ordered by chunk, and within a chunk by commit. */
  async results(
    jobId: string,
    organisation: string,
    cursorText: string,
  ): Promise<Outcome<ResultPage, Problem>> {
    const cursor = parseCursor(cursorText);
    if (!cursor) return fail(notRun('bad_request', 'the cursor is not valid'));
    const manifest = await this.manifest(jobId, organisation);
    if (!manifest.ok) return manifest;
    if (cursor.chunk >= manifest.value.value.chunkCount) return ok({ results: [] });
    const ledger = await this.store.read<ChunkLedger>(jobKeys.ledger(jobId, cursor.chunk));
    if (!ledger.ok) return fail(notRun('store_unavailable', ledger.error.detail, 1_000));
    return this.readSegments(manifest.value.value, ledger.value?.value, cursor);
  }

  /**
   * Cancels a job. Cancelling it twice has no further effect. Fails with `conflict` when the job is complete.
   */
  async cancel(jobId: string, organisation: string): Promise<Outcome<JobStatus, Problem>> {
    const manifest = await this.manifest(jobId, organisation);
    if (!manifest.ok) return manifest;
    if (manifest.value.value.state === JobState.complete)
      return fail(notRun('conflict', 'the job is complete'));
    if (manifest.value.value.state === JobState.open) {
      const ended = await this.markCancelled(jobId, MAX_CANCEL_TRIES);
      if (!ended.ok) return ended;
    }
    this.notifyCancelled(jobId);
    return this.status(jobId, organisation);
  }

  /**
   * Marks the index entry, so that holders stop, then the manifest, and then moves the entry to the ended
   * jobs. A failed write is tried again while `triesLeft` is above 1. Fails with `outcome_unknown` when the job
   * may have been cancelled.
   */
  async markCancelled(jobId: string, triesLeft: number): Promise<Outcome<void, Problem>> {
    const entry = await this.store.read<OpenJob>(jobKeys.open(jobId));
    if (!entry.ok) return fail(notRun('store_unavailable', entry.error.detail, 1_000));
    if (entry.value && !entry.value.value.cancelled) {
      const marked = { ...entry.value.value, cancelled: true };
      const written = await this.store.write<OpenJob>(jobKeys.open(jobId), entry.value, marked);
      if (!written.ok && triesLeft > 1) return this.markCancelled(jobId, triesLeft - 1);
      if (!written.ok)
        return fail(mayHaveRun('outcome_unknown', 'the job may have been cancelled; cancel it again'));
    }
    this.notifyCancelled(jobId);
    const present = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!present.ok)
      return fail(mayHaveRun('outcome_unknown', 'the job may have been cancelled; cancel it again'));
    if (!present.value) return fail(notRun('unknown_job', `there is no job ${jobId}`));
    if (present.value.value.state === JobState.cancelled) return this.moveIndexEntry(present.value.value);
    if (present.value.value.state === JobState.complete)
      return fail(notRun('conflict', 'the job is complete'));
    const cancelled = {
      ...present.value.value,
      state: JobState.cancelled,
      endedAtUnixMs: this.clock.nowUnixMs(),
    };
    const written = await this.store.write<JobManifest>(jobKeys.manifest(jobId), present.value, cancelled);
    if (written.ok) return this.moveIndexEntry(cancelled);
    if (written.error.kind === StoreErrorKind.conflict && triesLeft > 1)
      return this.markCancelled(jobId, triesLeft - 1);
    return fail(mayHaveRun('outcome_unknown', 'the job may have been cancelled; cancel it again'));
  }

  private async moveIndexEntry(manifest: JobManifest): Promise<Outcome<void, Problem>> {
    await moveToEnded(this.store, manifest);
    return ok(undefined);
  }

  private async readSegments(
    manifest: JobManifest,
    ledger: ChunkLedger | undefined,
    cursor: Cursor,
  ): Promise<Outcome<ResultPage, Problem>> {
    const segments = ledger?.segments ?? [];
    const wanted = segments.slice(cursor.segment, cursor.segment + SEGMENTS_PER_PAGE);
    const read = await Promise.all(
      wanted.map((segment) => this.store.read<ItemResult[]>(jobKeys.output(manifest.jobId, segment))),
    );
    const failed = read.find((outcome) => !outcome.ok);
    if (failed && !failed.ok) return fail(notRun('store_unavailable', failed.error.detail, 1_000));
    const results = read.flatMap((outcome) => (outcome.ok ? (outcome.value?.value ?? []) : []));
    return ok({ results, nextCursor: this.nextCursor(manifest, ledger, cursor, wanted.length) });
  }

  /**
   * The cursor of the next page. It stays in an open chunk until the chunk is complete or the job is
   * cancelled.
   */
  private nextCursor(
    manifest: JobManifest,
    ledger: ChunkLedger | undefined,
    cursor: Cursor,
    segmentsRead: number,
  ): string | undefined {
    const segment = cursor.segment + segmentsRead;
    const allRead = segment >= (ledger?.segments.length ?? 0);
    const chunkEnded = ledger?.doneCount === ledger?.itemCount && ledger !== undefined;
    const isLast = cursor.chunk + 1 >= manifest.chunkCount;
    if (!allRead) return formatCursor({ chunk: cursor.chunk, segment });
    if (chunkEnded || manifest.state === JobState.cancelled) {
      return isLast ? undefined : formatCursor({ chunk: cursor.chunk + 1, segment: 0 });
    }
    return formatCursor({ chunk: cursor.chunk, segment });
  }

  /** Throws `InvariantError` when the counts exceed the number of items. */
  private toStatus(manifest: JobManifest, ledgers: readonly ChunkLedger[]): JobStatus {
    const doneCount = ledgers.reduce((sum, ledger) => sum + ledger.doneCount, 0);
    const failedCount = ledgers.reduce((sum, ledger) => sum + ledger.failedCount, 0);
    checkInvariant(
      InvariantName.countsAddUp,
      doneCount <= manifest.itemCount && failedCount <= doneCount,
      () => ({ manifest, doneCount, failedCount }),
    );
    const nowUnixMs = this.clock.nowUnixMs();
    const elapsedMs = nowUnixMs - manifest.createdAtUnixMs;
    const expectedEndUnixMs =
      doneCount > 0
        ? Math.round(manifest.createdAtUnixMs + (elapsedMs * manifest.itemCount) / doneCount)
        : undefined;
    const { jobId, organisation, model, state, dueAtUnixMs, createdAtUnixMs, endedAtUnixMs, itemCount } =
      manifest;
    return {
      jobId,
      organisation,
      model,
      state,
      dueAtUnixMs,
      createdAtUnixMs,
      endedAtUnixMs,
      itemCount,
      doneCount,
      failedCount,
      expectedEndUnixMs: endedAtUnixMs ?? expectedEndUnixMs,
      late: (endedAtUnixMs ?? expectedEndUnixMs ?? nowUnixMs) > dueAtUnixMs,
    };
  }
}

function parseCursor(text: string): Cursor | undefined {
  const match = /^(\d{1,6})\.(\d{1,6})$/.exec(text);
  return match ? { chunk: Number(match[1]), segment: Number(match[2]) } : undefined;
}

function formatCursor(cursor: Cursor): string {
  return `${String(cursor.chunk)}.${String(cursor.segment)}`;
}

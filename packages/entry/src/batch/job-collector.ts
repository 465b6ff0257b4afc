/** Deletes ended jobs whose retention is over, and the chunks of uploads that were never accepted. */
import type { BackgroundTasks, Clock, JobManifest, ManagedPart, Metrics } from '@fighub/core';
import { jobKeys } from '@fighub/core';
import type { FleetMember } from '@fighub/decisions';
import { winnerOf } from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';

import type { EndedJob } from './job-index.js';
import type { UploadRecord } from './job-intake.js';
import type { TableStore } from '../table/table-store.js';

/** Time between two rounds of the collector. */
const PERIOD_MS = 30_000;
/** Upload records older than this are removed, with their chunks unless the job was accepted. */
const UPLOAD_LIFETIME_MS = 3_600_000;
/** Number of records read from the store at a time. */
const PAGE_RECORDS = 100;
/**
 * Largest number of ended jobs, and of uploads, deleted per round, so that the collector does not use up the rate limit
 * of store calls.
 */
const MAX_RECORDS_PER_ROUND = 20;

/**
 * Deletes expired jobs and uploads periodically. One instance, chosen by rendezvous hashing, does the work;
 * when instances disagree on the members and two do it, they only repeat each other's deletes.
 */
export class JobCollector implements ManagedPart {
  readonly name = 'job collector';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly selfId: string,
    private readonly store: RecordStore,
    private readonly table: TableStore,
    private readonly members: () => readonly FleetMember[],
    private readonly tasks: BackgroundTasks,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.tasks.run('job collector', () => this.collect()), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Runs one round if this instance is the chosen one. */
  async collect(): Promise<void> {
    const ids = this.members().map((member) => member.instanceId);
    if (winnerOf('job-collector', ids) !== this.selfId) return;
    await this.collectEndedJobs();
    await this.collectUploads();
  }

  private async collectEndedJobs(): Promise<void> {
    const ended = await this.store.listAll<EndedJob>(jobKeys.endedPrefix, PAGE_RECORDS);
    if (!ended.ok) return;
    const nowUnixMs = this.clock.nowUnixMs();
    const expired = ended.value.filter(({ value }) => {
      const share = this.table.view.share(value.organisation, value.model);
      return value.endedAtUnixMs + share.resultRetentionMs < nowUnixMs;
    });
    await forEachInSequence(expired.slice(0, MAX_RECORDS_PER_ROUND), (entry) => this.deleteJob(entry));
  }

  /**
   * Deletes a job. The manifest is deleted first, so that readers never find a job with only a part of its
   * results.
   */
  private async deleteJob(entry: Versioned<EndedJob>): Promise<void> {
    const { jobId } = entry.value;
    const manifest = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!manifest.ok) return;
    if (manifest.value && !(await this.store.remove(manifest.value)).ok) return;
    const prefixes = [
      jobKeys.ledgerPrefix(jobId),
      jobKeys.outputPrefix(jobId),
      jobKeys.allInputPrefix(jobId),
    ];
    await forEachInSequence(prefixes, (prefix) => this.deleteAll(prefix));
    await this.store.remove(entry);
    this.metrics.count('jobs_collected');
  }

  /** Removes the records of old uploads, and their chunks unless the job was accepted. */
  private async collectUploads(): Promise<void> {
    const uploads = await this.store.listAll<UploadRecord>(jobKeys.uploadPrefix, PAGE_RECORDS);
    if (!uploads.ok) return;
    const expired = uploads.value.filter(
      ({ value }) => value.startedAtUnixMs + UPLOAD_LIFETIME_MS < this.clock.nowUnixMs(),
    );
    await forEachInSequence(expired.slice(0, MAX_RECORDS_PER_ROUND), (record) => this.collectUpload(record));
  }

  /**
   * Removes the upload record, then reads the manifest, then deletes the chunks. The order matters:
   * `JobIntake.acknowledgeUnlessCollected` relies on it.
   */
  private async collectUpload(record: Versioned<UploadRecord>): Promise<void> {
    const { jobId, uploadId } = record.value;
    if (!(await this.store.remove(record)).ok) return;
    const manifest = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!manifest.ok || manifest.value?.value.uploadId === uploadId) return;
    await this.deleteAll(jobKeys.inputPrefix(jobId, uploadId));
    this.metrics.count('uploads_collected');
  }

  private async deleteAll(prefix: string): Promise<void> {
    const found = await this.store.listAll<unknown>(prefix, PAGE_RECORDS);
    if (found.ok) await forEachInSequence(found.value, (record) => this.store.remove(record));
  }
}

/** Calls `work` for each value, one at a time. */
async function forEachInSequence<T>(
  values: readonly T[],
  work: (value: T) => Promise<unknown>,
): Promise<void> {
  await values.reduce(
    (previous, value) => previous.then(() => work(value)),
    Promise.resolve() as Promise<unknown>,
  );
}

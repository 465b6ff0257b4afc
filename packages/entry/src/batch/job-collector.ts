/** Deletes results past their retention and what dead uploads left behind. */
import type { Clock, JobManifest, ManagedPart, Metrics } from '@fighub/core';
import { jobKeys } from '@fighub/core';
import type { FleetMember } from '@fighub/decisions';
import { winnerOf } from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';

import type { EndedJob } from './job-index.js';
import type { UploadRecord } from './job-intake.js';
import type { TableStore } from '../table/table-store.js';

const PERIOD_MS = 30_000;
const UPLOAD_LIFETIME_MS = 3_600_000;
const PAGE = 100;
/** Ended jobs that one round looks at, so that collecting never uses up the budget of calls. */
const JOBS_PER_ROUND = 20;

/** Runs on one instance at a time; two at once only repeat each other's deletes. */
export class JobCollector implements ManagedPart {
  readonly name = 'job collector';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly selfId: string,
    private readonly store: RecordStore,
    private readonly table: TableStore,
    private readonly members: () => readonly FleetMember[],
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  start(): void {
    this.timer = setInterval(() => void this.collect(), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** One round. */
  async collect(): Promise<void> {
    const ids = this.members().map((member) => member.instanceId);
    if (winnerOf('job-collector', ids) !== this.selfId) return;
    await this.collectEnded();
    await this.collectUploads();
  }

  private async collectEnded(): Promise<void> {
    const ended = await this.store.listAll<EndedJob>(jobKeys.endedPrefix, PAGE);
    if (!ended.ok) return;
    const nowUnixMs = this.clock.nowUnixMs();
    const due = ended.value.filter(({ value }) => {
      const share = this.table.view.share(value.organisation, value.model);
      return value.endedAtUnixMs + share.resultRetentionMs < nowUnixMs;
    });
    await inTurn(due.slice(0, JOBS_PER_ROUND), (entry) => this.deleteJob(entry));
  }

  /** The manifest goes first, so that no reader finds a job with half of its results. */
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
    await inTurn(prefixes, (prefix) => this.deleteAll(prefix));
    await this.store.remove(entry);
    this.metrics.count('jobs_collected');
  }

  /** Takes the record away, then reads the manifest, then deletes chunks: see `JobIntake`. */
  private async collectUploads(): Promise<void> {
    const uploads = await this.store.listAll<UploadRecord>(jobKeys.uploadPrefix, PAGE);
    if (!uploads.ok) return;
    const old = uploads.value.filter(
      ({ value }) => value.startedAtUnixMs + UPLOAD_LIFETIME_MS < this.clock.nowUnixMs(),
    );
    await inTurn(old.slice(0, JOBS_PER_ROUND), (record) => this.collectUpload(record));
  }

  private async collectUpload(record: Versioned<UploadRecord>): Promise<void> {
    const { jobId, uploadId } = record.value;
    if (!(await this.store.remove(record)).ok) return;
    const manifest = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!manifest.ok || manifest.value?.value.uploadId === uploadId) return;
    await this.deleteAll(jobKeys.inputPrefix(jobId, uploadId));
    this.metrics.count('uploads_collected');
  }

  private async deleteAll(prefix: string): Promise<void> {
    const found = await this.store.listAll<unknown>(prefix, PAGE);
    if (found.ok) await inTurn(found.value, (record) => this.store.remove(record));
  }
}

async function inTurn<T>(values: readonly T[], work: (value: T) => Promise<unknown>): Promise<void> {
  await values.reduce(
    (previous, value) => previous.then(() => work(value)),
    Promise.resolve() as Promise<unknown>,
  );
}

/** Accepts batch jobs: streams the items into chunks and writes the manifest last. */
import { createHash } from 'node:crypto';
import { createInterface } from 'node:readline';

import type { Clock, JobChunk, JobItem, JobManifest, Metrics, Outcome, Problem } from '@fighub/core';
import { JobState, digest, fail, jobKeys, mayHaveRun, newId, notRun, ok } from '@fighub/core';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';
import { z } from 'zod';

import { promptOf } from '../online/completion-request.js';

/** Limits of a job. */
export interface IntakeLimits {
  readonly chunkItems: number;
  readonly chunkBytes: number;
  readonly maxItems: number;
  readonly maxItemBytes: number;
}

/** A job that is offered. */
export interface JobOffer {
  readonly organisation: string;
  readonly model: string;
  readonly idempotencyKey?: string;
  readonly dueAtUnixMs: number;
  readonly idempotent: boolean;
  readonly maxTokens: number;
}

/** Entry of the index of open jobs. */
export interface OpenJob {
  readonly jobId: string;
  readonly organisation: string;
  readonly model: string;
  readonly cancelled: boolean;
  readonly createdAtUnixMs: number;
}

/** An upload that has begun. */
export interface UploadRecord {
  readonly jobId: string;
  readonly uploadId: string;
  readonly startedAtUnixMs: number;
}

const DEFAULT_MAX_TOKENS = 128;
const message = z.looseObject({ role: z.string(), content: z.string() });
const bodySchema = z.looseObject({
  prompt: z.string().min(1).optional(),
  messages: z.array(message).min(1).optional(),
  max_tokens: z.number().int().positive().optional(),
});
const lineSchema = z.looseObject({
  custom_id: z.string().min(1).max(200).optional(),
  ...bodySchema.shape,
  body: bodySchema.optional(),
});

/** Writes jobs to the key-value service. */
export class JobIntake {
  constructor(
    private readonly store: RecordStore,
    private readonly limits: IntakeLimits,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Reads JSON Lines and accepts the job, or refuses it whole. */
  async accept(offer: JobOffer, body: NodeJS.ReadableStream): Promise<Outcome<JobManifest, Problem>> {
    const jobId = jobIdOf(offer);
    const present = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!present.ok) return fail(notAccepted(present.error.detail));
    const upload = new JobUpload(jobId, offer, this.limits, this.store, present.value === undefined);
    const begun = await upload.begin(this.clock.nowUnixMs());
    if (!begun.ok) return begun;
    const outcome = await upload.readAll(body);
    if (!outcome.ok) {
      await upload.discard();
      return outcome;
    }
    if (present.value) return this.resent(present.value.value, outcome.value.bodyDigest);
    return this.finish(offer, jobId, upload, outcome.value);
  }

  private async finish(
    offer: JobOffer,
    jobId: string,
    upload: JobUpload,
    read: UploadSummary,
  ): Promise<Outcome<JobManifest, Problem>> {
    const manifest: JobManifest = {
      jobId,
      uploadId: upload.uploadId,
      organisation: offer.organisation,
      model: offer.model,
      state: JobState.open,
      idempotent: offer.idempotent,
      dueAtUnixMs: offer.dueAtUnixMs,
      createdAtUnixMs: this.clock.nowUnixMs(),
      itemCount: read.itemCount,
      chunkCount: read.chunkCount,
      bodyDigest: read.bodyDigest,
    };
    const indexed = await this.ensureIndexed(manifest);
    if (!indexed.ok) {
      await upload.discard();
      return indexed;
    }
    const written = await this.store.write(jobKeys.manifest(jobId), undefined, manifest);
    if (written.ok) return this.acknowledgeIfKept(written.value, upload);
    if (written.error.present) {
      const present = written.error.present.value;
      if (present.uploadId !== upload.uploadId) await upload.discard();
      return this.resent(present, read.bodyDigest);
    }
    if (written.error.kind === StoreErrorKind.unknown) {
      return fail(mayHaveRun('outcome_unknown', 'the job may be accepted; send it again with the same key'));
    }
    await upload.discard();
    return fail(notAccepted(written.error.detail));
  }

  /**
   * A collector takes the record of an upload away before it deletes chunks, and reads the manifest in
   * between. So a record that is still there after the manifest was written means that the chunks stay.
   */
  private async acknowledgeIfKept(
    written: Versioned<JobManifest>,
    upload: JobUpload,
  ): Promise<Outcome<JobManifest, Problem>> {
    const record = await this.store.read<UploadRecord>(jobKeys.upload(written.value.jobId, upload.uploadId));
    if (!record.ok) {
      return fail(mayHaveRun('outcome_unknown', 'the job may be accepted; send it again with the same key'));
    }
    if (record.value) return this.acknowledge(written.value);
    await this.store.remove(written);
    return fail(notAccepted('the upload took too long'));
  }

  /** The index entry is checked once more after the manifest, in case a collector took it away. */
  private async acknowledge(manifest: JobManifest): Promise<Outcome<JobManifest, Problem>> {
    const indexed = await this.ensureIndexed(manifest);
    if (!indexed.ok) {
      return fail(mayHaveRun('outcome_unknown', 'the job may be accepted; send it again with the same key'));
    }
    this.metrics.count('jobs_accepted');
    return ok(manifest);
  }

  private async resent(present: JobManifest, bodyDigest: string): Promise<Outcome<JobManifest, Problem>> {
    if (present.bodyDigest !== bodyDigest) {
      return fail(notRun('key_reused', `the key belongs to job ${present.jobId} with another body`));
    }
    this.metrics.count('jobs_resent');
    return present.state === JobState.open ? this.acknowledge(present) : ok(present);
  }

  private async ensureIndexed(manifest: JobManifest): Promise<Outcome<void, Problem>> {
    const entry: OpenJob = {
      jobId: manifest.jobId,
      organisation: manifest.organisation,
      model: manifest.model,
      cancelled: false,
      createdAtUnixMs: manifest.createdAtUnixMs,
    };
    const written = await this.store.write(jobKeys.open(manifest.jobId), undefined, entry);
    if (written.ok || written.error.kind === StoreErrorKind.conflict) return ok(undefined);
    return fail(notAccepted(written.error.detail));
  }
}

interface UploadSummary {
  readonly itemCount: number;
  readonly chunkCount: number;
  readonly bodyDigest: string;
}

/** One upload. Its chunks have names of their own, so that two uploads of a key never mix. */
class JobUpload {
  readonly uploadId = newId('up');
  private readonly hash = createHash('sha256');
  private items: JobItem[] = [];
  private bytes = 0;
  private itemCount = 0;
  private chunkCount = 0;

  constructor(
    private readonly jobId: string,
    private readonly offer: JobOffer,
    private readonly limits: IntakeLimits,
    private readonly store: RecordStore,
    private readonly keep: boolean,
  ) {}

  /** Writes the record by which a collector finds the chunks if the upload dies. */
  async begin(startedAtUnixMs: number): Promise<Outcome<void, Problem>> {
    if (!this.keep) return ok(undefined);
    const record: UploadRecord = { jobId: this.jobId, uploadId: this.uploadId, startedAtUnixMs };
    const written = await this.store.write(jobKeys.upload(this.jobId, this.uploadId), undefined, record);
    return written.ok ? ok(undefined) : fail(notAccepted(written.error.detail));
  }

  async readAll(body: NodeJS.ReadableStream): Promise<Outcome<UploadSummary, Problem>> {
    const lines = createInterface({ input: body, crlfDelay: Infinity });
    let lineNumber = 0;
    try {
      for await (const line of lines) {
        lineNumber += 1;
        const taken = await this.takeLine(line, lineNumber);
        if (!taken.ok) return taken;
      }
    } catch {
      return fail(notRun('bad_request', `the body broke off after line ${String(lineNumber)}`));
    }
    if (this.itemCount === 0) return fail(notRun('bad_item', 'the job has no items'));
    const flushed = await this.flush();
    if (!flushed.ok) return flushed;
    return ok({
      itemCount: this.itemCount,
      chunkCount: this.chunkCount,
      bodyDigest: this.hash.digest('hex'),
    });
  }

  /** Deletes the chunks of a refused upload. What cannot be deleted now is collected later. */
  async discard(): Promise<void> {
    if (!this.keep) return;
    const chunks = await this.store.listAll<JobChunk>(jobKeys.inputPrefix(this.jobId, this.uploadId), 4);
    if (!chunks.ok) return;
    await Promise.all(chunks.value.map((chunk) => this.store.remove(chunk)));
  }

  private async takeLine(line: string, lineNumber: number): Promise<Outcome<void, Problem>> {
    if (line.trim() === '') return ok(undefined);
    if (Buffer.byteLength(line) > this.limits.maxItemBytes) {
      return fail(
        notRun(
          'body_too_large',
          `line ${String(lineNumber)} is over ${String(this.limits.maxItemBytes)} bytes`,
        ),
      );
    }
    const item = this.parseLine(line, lineNumber);
    if (!item.ok) return item;
    if (this.itemCount >= this.limits.maxItems) {
      return fail(notRun('body_too_large', `the job has more than ${String(this.limits.maxItems)} items`));
    }
    this.hash.update(line).update('\n');
    this.itemCount += 1;
    this.items.push(item.value);
    this.bytes += Buffer.byteLength(JSON.stringify(item.value));
    const full = this.items.length >= this.limits.chunkItems || this.bytes >= this.limits.chunkBytes;
    return full ? this.flush() : ok(undefined);
  }

  private parseLine(line: string, lineNumber: number): Outcome<JobItem, Problem> {
    const parsed = lineSchema.safeParse(parseJson(line));
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const field = issue?.path.join('.') ?? '';
      return fail(
        notRun('bad_item', `line ${String(lineNumber)}: ${field} ${issue?.message ?? 'not valid'}`.trim()),
      );
    }
    const body = parsed.data.body ?? parsed.data;
    const prompt = body.prompt ?? (body.messages ? promptOf(body.messages) : undefined);
    if (prompt === undefined)
      return fail(notRun('bad_item', `line ${String(lineNumber)}: prompt or messages is missing`));
    const maxTokens = body.max_tokens ?? Math.min(DEFAULT_MAX_TOKENS, this.offer.maxTokens);
    if (maxTokens > this.offer.maxTokens) {
      return fail(
        notRun('bad_item', `line ${String(lineNumber)}: max_tokens is over ${String(this.offer.maxTokens)}`),
      );
    }
    return ok({ customId: parsed.data.custom_id ?? `line-${String(lineNumber)}`, prompt, maxTokens });
  }

  private async flush(): Promise<Outcome<void, Problem>> {
    if (this.items.length === 0) return ok(undefined);
    const chunk: JobChunk = { firstIndex: this.itemCount - this.items.length, items: this.items };
    const number = this.chunkCount;
    this.chunkCount += 1;
    this.items = [];
    this.bytes = 0;
    if (!this.keep) return ok(undefined);
    const written = await this.store.write(
      jobKeys.input(this.jobId, this.uploadId, number),
      undefined,
      chunk,
    );
    return written.ok ? ok(undefined) : fail(notAccepted(written.error.detail));
  }
}

/** The id of a job follows from the organisation and the caller's key. */
export function jobIdOf(offer: Pick<JobOffer, 'organisation' | 'idempotencyKey'>): string {
  if (offer.idempotencyKey === undefined) return newId('job');
  return `job-${digest(offer.organisation, offer.idempotencyKey).slice(0, 24)}`;
}

function notAccepted(detail: string): Problem {
  return notRun('not_accepted', `the job is not accepted: ${detail}`, 2_000);
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return 'not JSON';
  }
}

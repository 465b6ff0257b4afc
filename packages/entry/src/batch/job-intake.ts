/**
 * Accepts batch jobs. The items are streamed into chunks, and a job is accepted once its manifest is written.
 */
import { createHash } from 'node:crypto';

import type { Clock, JobChunk, JobItem, JobManifest, Metrics, Outcome, Problem } from '@fighub/core';
import { JobState, digest, fail, jobKeys, mayHaveRun, newId, notRun, ok } from '@fighub/core';
import type { BodyLines } from '@fighub/ingress';
import { LineFault } from '@fighub/ingress';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';
import { z } from 'zod';

import { promptOf } from '../online/completion-request.js';

/** Limits of a job and of its chunks. */
export interface IntakeLimits {
  /** A chunk is written when it has this number of items. */
  readonly chunkItems: number;
  /** A chunk is written when the JSON of its items reaches this size. */
  readonly chunkBytes: number;
  readonly maxItems: number;
  /** Limit of one line of the body. */
  readonly maxItemBytes: number;
}

/** A job as submitted by a caller, without its items. */
export interface JobSubmission {
  readonly organisation: string;
  readonly model: string;
  readonly idempotencyKey?: string;
  readonly dueAtUnixMs: number;
  /** Whether items may be run again after an attempt that may have run. */
  readonly idempotent: boolean;
  /** Limit of the tokens that an item may ask for. */
  readonly maxTokens: number;
}

/** Entry of the index of open jobs. */
export interface OpenJob {
  readonly jobId: string;
  readonly organisation: string;
  readonly model: string;
  /** Set before the manifest is changed, so that holders stop while the cancellation is under way. */
  readonly cancelled: boolean;
  readonly createdAtUnixMs: number;
}

/** Record of an upload, written before its chunks. The collector finds abandoned chunks by it. */
export interface UploadRecord {
  readonly jobId: string;
  readonly uploadId: string;
  readonly startedAtUnixMs: number;
}

/** Token limit of an item that states none, unless the limit of the model is lower. */
const DEFAULT_MAX_TOKENS = 128;
/** Another instance may have memory, so that callers need not wait. */
const NO_MEMORY = notRun('overloaded', 'the request bodies of other callers fill the memory', 1_000);
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

/** Validates submitted jobs and writes them to the key-value service. */
export class JobIntake {
  constructor(
    private readonly store: RecordStore,
    private readonly limits: IntakeLimits,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Reads the items from a body in JSON Lines and accepts the job as a whole, or fails. Submitting the same
   * body under the same key again returns the manifest of the first submission; another body fails with
   * `key_reused`. Fails with `outcome_unknown` when the job may have been accepted.
   */
  async accept(submission: JobSubmission, body: BodyLines): Promise<Outcome<JobManifest, Problem>> {
    const jobId = jobIdOf(submission);
    const present = await this.store.read<JobManifest>(jobKeys.manifest(jobId));
    if (!present.ok) return fail(notAccepted(present.error.detail));
    const upload = new JobUpload(jobId, submission, this.limits, this.store, present.value === undefined);
    const recorded = await upload.writeUploadRecord(this.clock.nowUnixMs());
    if (!recorded.ok) return recorded;
    const outcome = await upload.readAll(body);
    if (!outcome.ok) {
      await upload.discard();
      return outcome;
    }
    if (present.value) return this.resent(present.value.value, outcome.value.bodyDigest);
    return this.finish(submission, jobId, upload, outcome.value);
  }

  /** Writes the index entry and the manifest of an upload whose chunks are all stored. */
  private async finish(
    submission: JobSubmission,
    jobId: string,
    upload: JobUpload,
    summary: UploadSummary,
  ): Promise<Outcome<JobManifest, Problem>> {
    const manifest: JobManifest = {
      jobId,
      uploadId: upload.uploadId,
      organisation: submission.organisation,
      model: submission.model,
      state: JobState.open,
      idempotent: submission.idempotent,
      dueAtUnixMs: submission.dueAtUnixMs,
      createdAtUnixMs: this.clock.nowUnixMs(),
      itemCount: summary.itemCount,
      chunkCount: summary.chunkCount,
      bodyDigest: summary.bodyDigest,
    };
    const indexed = await this.ensureIndexed(manifest);
    if (!indexed.ok) {
      await upload.discard();
      return indexed;
    }
    const written = await this.store.write(jobKeys.manifest(jobId), undefined, manifest);
    if (written.ok) return this.acknowledgeUnlessCollected(written.value, upload);
    if (written.error.present) {
      const present = written.error.present.value;
      if (present.uploadId !== upload.uploadId) await upload.discard();
      return this.resent(present, summary.bodyDigest);
    }
    if (written.error.kind === StoreErrorKind.unknown) {
      return fail(
        mayHaveRun(
          'outcome_unknown',
          'the job may have been accepted; send it again with the same Idempotency-Key',
        ),
      );
    }
    await upload.discard();
    return fail(notAccepted(written.error.detail));
  }

  /**
   * Acknowledges the job if its upload record still exists. The collector removes the record first, then
   * reads the manifest, and deletes the chunks only if the manifest does not name the upload. So if the
   * record exists after the manifest was written, the chunks stay. Otherwise they may be deleted, and the
   * manifest is removed again.
   */
  private async acknowledgeUnlessCollected(
    written: Versioned<JobManifest>,
    upload: JobUpload,
  ): Promise<Outcome<JobManifest, Problem>> {
    const record = await this.store.read<UploadRecord>(jobKeys.upload(written.value.jobId, upload.uploadId));
    if (!record.ok) {
      return fail(
        mayHaveRun(
          'outcome_unknown',
          'the job may have been accepted; send it again with the same Idempotency-Key',
        ),
      );
    }
    if (record.value) return this.acknowledge(written.value);
    await this.store.remove(written);
    return fail(notAccepted('the upload took too long, so its chunks may have been deleted'));
  }

  /**
   * Acknowledges the job. The index entry is written again if it was removed before the manifest was written,
   * since a job that is not in the index would never run.
   */
  private async acknowledge(manifest: JobManifest): Promise<Outcome<JobManifest, Problem>> {
    const indexed = await this.ensureIndexed(manifest);
    if (!indexed.ok) {
      return fail(
        mayHaveRun(
          'outcome_unknown',
          'the job may have been accepted; send it again with the same Idempotency-Key',
        ),
      );
    }
    this.metrics.count('jobs_accepted');
    return ok(manifest);
  }

  /** Handles a job that was accepted before. The same body is acknowledged again, another body is refused. */
  private async resent(present: JobManifest, bodyDigest: string): Promise<Outcome<JobManifest, Problem>> {
    if (present.bodyDigest !== bodyDigest) {
      return fail(
        notRun('key_reused', `the Idempotency-Key was used for job ${present.jobId} with another body`),
      );
    }
    this.metrics.count('jobs_resent');
    return present.state === JobState.open ? this.acknowledge(present) : ok(present);
  }

  /** Writes the entry in the index of open jobs unless there is one. */
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

/** One upload of a job. Its chunks have keys with the upload id, so that two uploads of one job never mix. */
class JobUpload {
  readonly uploadId = newId('up');
  private readonly hash = createHash('sha256');
  /** Items of the chunk that is being filled; `bytes` is the size of their JSON. */
  private items: JobItem[] = [];
  private bytes = 0;
  private itemCount = 0;
  private chunkCount = 0;

  constructor(
    private readonly jobId: string,
    private readonly submission: JobSubmission,
    private readonly limits: IntakeLimits,
    private readonly store: RecordStore,
    /** Whether the chunks are stored. False for a job sent again, whose body is only checked and hashed. */
    private readonly keep: boolean,
  ) {}

  /** Writes the record by which the collector finds the chunks if the upload is abandoned. */
  async writeUploadRecord(startedAtUnixMs: number): Promise<Outcome<void, Problem>> {
    if (!this.keep) return ok(undefined);
    const record: UploadRecord = { jobId: this.jobId, uploadId: this.uploadId, startedAtUnixMs };
    const written = await this.store.write(jobKeys.upload(this.jobId, this.uploadId), undefined, record);
    return written.ok ? ok(undefined) : fail(notAccepted(written.error.detail));
  }

  /** Reads and validates all items, and writes them in chunks. Fails at the first item that is not valid. */
  async readAll(body: BodyLines): Promise<Outcome<UploadSummary, Problem>> {
    let lineNumber = 0;
    for await (const line of body.read()) {
      if (!line.ok) return fail(this.problemOf(line.error, lineNumber));
      lineNumber += 1;
      const added = await this.addLine(line.value, lineNumber);
      if (!added.ok) return added;
      // The items of a chunk that has been written are not kept.
      if (this.items.length === 0) body.release();
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

  /** Deletes the chunks of an upload that was not accepted. The collector later deletes those that remain. */
  async discard(): Promise<void> {
    if (!this.keep) return;
    const chunks = await this.store.listAll<JobChunk>(jobKeys.inputPrefix(this.jobId, this.uploadId), 4);
    if (!chunks.ok) return;
    await Promise.all(chunks.value.map((chunk) => this.store.remove(chunk)));
  }

  private problemOf(fault: LineFault, linesRead: number): Problem {
    if (fault === LineFault.tooLong) return this.lineTooLong(linesRead + 1);
    if (fault === LineFault.noMemory) return NO_MEMORY;
    return notRun(
      'bad_request',
      `the connection closed before the end of the request body, after line ${String(linesRead)}`,
    );
  }

  private lineTooLong(lineNumber: number): Problem {
    return notRun(
      'body_too_large',
      `line ${String(lineNumber)} exceeds the limit of ${String(this.limits.maxItemBytes)} bytes`,
    );
  }

  /** Adds the item of a line to the hash and the current chunk, and writes the chunk when it is full. */
  private async addLine(line: string, lineNumber: number): Promise<Outcome<void, Problem>> {
    if (line.trim() === '') return ok(undefined);
    if (Buffer.byteLength(line) > this.limits.maxItemBytes) return fail(this.lineTooLong(lineNumber));
    const item = this.parseLine(line, lineNumber);
    if (!item.ok) return item;
    if (this.itemCount >= this.limits.maxItems) {
      return fail(
        notRun('body_too_large', `the job exceeds the limit of ${String(this.limits.maxItems)} items`),
      );
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
    const maxTokens = body.max_tokens ?? Math.min(DEFAULT_MAX_TOKENS, this.submission.maxTokens);
    if (maxTokens > this.submission.maxTokens) {
      return fail(
        notRun(
          'bad_item',
          `line ${String(lineNumber)}: max_tokens exceeds the limit of ${String(this.submission.maxTokens)}`,
        ),
      );
    }
    return ok({ customId: parsed.data.custom_id ?? `line-${String(lineNumber)}`, prompt, maxTokens });
  }

  /** Writes the current chunk and begins the next one. */
  private async flush(): Promise<Outcome<void, Problem>> {
    if (this.items.length === 0) return ok(undefined);
    const chunk: JobChunk = { firstIndex: this.itemCount - this.items.length, items: this.items };
    const chunkIndex = this.chunkCount;
    this.chunkCount += 1;
    this.items = [];
    this.bytes = 0;
    if (!this.keep) return ok(undefined);
    const written = await this.store.write(
      jobKeys.input(this.jobId, this.uploadId, chunkIndex),
      undefined,
      chunk,
    );
    return written.ok ? ok(undefined) : fail(notAccepted(written.error.detail));
  }
}

/** Derives the job id from the organisation and its Idempotency-Key. Without a key the id is random. */
export function jobIdOf(submission: Pick<JobSubmission, 'organisation' | 'idempotencyKey'>): string {
  if (submission.idempotencyKey === undefined) return newId('job');
  return `job-${digest(submission.organisation, submission.idempotencyKey).slice(0, 24)}`;
}

function notAccepted(detail: string): Problem {
  return notRun('not_accepted', `the job was not accepted: ${detail}`, 2_000);
}

/** Parses a line. Returns a string for text that is not JSON, which the schema then refuses. */
function parseJson(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return 'not JSON';
  }
}

/** HTTP API with which callers submit, read and cancel batch jobs. */
import type { Clock, Problem } from '@fighub/core';
import { fail, jobKeys, notRun, ok } from '@fighub/core';
import type { Outcome } from '@fighub/core';
import { BodyLines } from '@fighub/ingress';
import type { RecordStore } from '@fighub/outside';

import type { Caller, Request, Response } from '../ingress/http-helpers.js';
import { heldBodyOf, sendJson, sendProblem, textHeader } from '../ingress/http-helpers.js';
import type { JobIntake, JobSubmission, OpenJob } from './job-intake.js';
import type { JobReader } from './job-reader.js';
import type { TableStore } from '../table/table-store.js';

/** Time after which a job is due when the caller states none. */
const DEFAULT_DUE_AFTER_MS = 24 * 3_600_000;
/** Largest length of the Idempotency-Key header. */
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;
/** Number of entries of the index of open jobs that are read from the store at a time. */
const OPEN_JOBS_PAGE_RECORDS = 500;
/** Cursor of the first page: chunk 0, segment 0. */
const FIRST_CURSOR = '0.0';

/** Handles the requests under `/v1/jobs`, and the list of open jobs for operators. */
export class JobApi {
  constructor(
    private readonly intake: JobIntake,
    private readonly reader: JobReader,
    private readonly store: RecordStore,
    private readonly table: TableStore,
    private readonly clock: Clock,
    private readonly maxLineBytes: number,
  ) {}

  /** Accepts a job whose body has one item per line, in JSON Lines. Responds once the job is stored. */
  async create(req: Request, res: Response, caller: Caller): Promise<void> {
    const submission = this.parseSubmission(req, caller);
    const lines = new BodyLines(req, this.maxLineBytes, heldBodyOf(req));
    const accepted = submission.ok ? await this.intake.accept(submission.value, lines) : submission;
    if (!accepted.ok) {
      sendProblem(res, accepted.error);
      return;
    }
    const { jobId, itemCount, state, dueAtUnixMs } = accepted.value;
    sendJson(res, 202, { jobId, itemCount, state, dueAtUnixMs }, { Location: `/v1/jobs/${jobId}` });
  }

  /** Responds with the state and the counts of a job. */
  async status(res: Response, caller: Caller, jobId: string): Promise<void> {
    const status = await this.reader.status(jobId, caller.organisation);
    if (status.ok) sendJson(res, 200, status.value);
    else sendProblem(res, status.error);
  }

  /**
   * Responds with one page of results in JSON Lines. The header Fighub-Next-Cursor has the cursor of the
   * next page, if there is one.
   */
  async results(req: Request, res: Response, caller: Caller, jobId: string): Promise<void> {
    const cursor = new URLSearchParams(req.getQuery()).get('cursor') ?? FIRST_CURSOR;
    const page = await this.reader.results(jobId, caller.organisation, cursor);
    if (!page.ok) return sendProblem(res, page.error);
    const headers: Record<string, string> = { 'Content-Type': 'application/jsonl' };
    if (page.value.nextCursor !== undefined) headers['Fighub-Next-Cursor'] = page.value.nextCursor;
    res.writeHead(200, headers);
    res.end(page.value.results.map((result) => `${JSON.stringify(result)}\n`).join(''));
  }

  /** Cancels a job and responds with its status. */
  async cancel(res: Response, caller: Caller, jobId: string): Promise<void> {
    const cancelled = await this.reader.cancel(jobId, caller.organisation);
    if (cancelled.ok) sendJson(res, 200, cancelled.value);
    else sendProblem(res, cancelled.error);
  }

  /** Responds with the open jobs of all organisations, for operators. */
  async listOpen(res: Response): Promise<void> {
    const index = await this.store.listAll<OpenJob>(jobKeys.openPrefix, OPEN_JOBS_PAGE_RECORDS);
    if (!index.ok) return sendProblem(res, notRun('store_unavailable', index.error.detail, 1_000));
    sendJson(res, 200, { jobs: index.value.map((entry) => entry.value) });
  }

  /** Reads the parameters of a job from the query and the Idempotency-Key header. */
  private parseSubmission(req: Request, caller: Caller): Outcome<JobSubmission, Problem> {
    const query = new URLSearchParams(req.getQuery());
    const model = query.get('model') ?? '';
    const row = this.table.view.model(model);
    if (!row)
      return fail(notRun('unknown_model', `there is no model ${model}; set the query parameter model`));
    const key = textHeader(req, 'idempotency-key', MAX_IDEMPOTENCY_KEY_CHARACTERS);
    if (!key.ok) return key;
    const due = query.get('dueAtUnixMs');
    const dueAtUnixMs = due === null ? this.clock.nowUnixMs() + DEFAULT_DUE_AFTER_MS : Number(due);
    if (!Number.isSafeInteger(dueAtUnixMs) || dueAtUnixMs <= 0) {
      return fail(notRun('bad_request', 'dueAtUnixMs must be a Unix time in milliseconds'));
    }
    return ok({
      organisation: caller.organisation,
      model,
      idempotencyKey: key.value,
      dueAtUnixMs,
      idempotent: row.idempotent && query.get('idempotent') !== 'false',
      maxTokens: row.maxTokens,
    });
  }
}

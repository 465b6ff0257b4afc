/** The callers' API for batch jobs. */
import type { Clock, Problem } from '@fighub/core';
import { fail, jobKeys, notRun, ok } from '@fighub/core';
import type { Outcome } from '@fighub/core';
import type { RecordStore } from '@fighub/outside';

import type { Caller, Request, Response } from '../ingress/http-kit.js';
import { sendJson, sendProblem, textHeader } from '../ingress/http-kit.js';
import type { JobIntake, JobOffer, OpenJob } from './job-intake.js';
import type { JobReader } from './job-reader.js';
import type { TableStore } from '../table/table-store.js';

const DEFAULT_DUE_AFTER_MS = 24 * 3_600_000;
const MAX_KEY_LENGTH = 200;
const OPEN_JOBS_PAGE = 500;
const FIRST_CURSOR = '0.0';

/** Handles `/v1/jobs`. */
export class JobApi {
  constructor(
    private readonly intake: JobIntake,
    private readonly reader: JobReader,
    private readonly store: RecordStore,
    private readonly table: TableStore,
    private readonly clock: Clock,
  ) {}

  /** Accepts a job of JSON Lines. */
  async create(req: Request, res: Response, caller: Caller): Promise<void> {
    const offer = this.offerOf(req, caller);
    const accepted = offer.ok ? await this.intake.accept(offer.value, req) : offer;
    if (!accepted.ok) {
      sendProblem(res, accepted.error);
      return;
    }
    const { jobId, itemCount, state, dueAtUnixMs } = accepted.value;
    sendJson(res, 202, { jobId, itemCount, state, dueAtUnixMs }, { Location: `/v1/jobs/${jobId}` });
  }

  async status(res: Response, caller: Caller, jobId: string): Promise<void> {
    const status = await this.reader.status(jobId, caller.organisation);
    if (status.ok) sendJson(res, 200, status.value);
    else sendProblem(res, status.error);
  }

  /** One page of results as JSON Lines; the cursor of the next page is in a header. */
  async results(req: Request, res: Response, caller: Caller, jobId: string): Promise<void> {
    const cursor = new URLSearchParams(req.getQuery()).get('cursor') ?? FIRST_CURSOR;
    const page = await this.reader.results(jobId, caller.organisation, cursor);
    if (!page.ok) return sendProblem(res, page.error);
    const headers: Record<string, string> = { 'Content-Type': 'application/jsonl' };
    if (page.value.nextCursor !== undefined) headers['Fighub-Next-Cursor'] = page.value.nextCursor;
    res.writeHead(200, headers);
    res.end(page.value.results.map((result) => `${JSON.stringify(result)}\n`).join(''));
  }

  async cancel(res: Response, caller: Caller, jobId: string): Promise<void> {
    const cancelled = await this.reader.cancel(jobId, caller.organisation);
    if (cancelled.ok) sendJson(res, 200, cancelled.value);
    else sendProblem(res, cancelled.error);
  }

  /** Open jobs of all organisations, for operators. */
  async listOpen(res: Response): Promise<void> {
    const index = await this.store.listAll<OpenJob>(jobKeys.openPrefix, OPEN_JOBS_PAGE);
    if (!index.ok) return sendProblem(res, notRun('store_unavailable', index.error.detail, 1_000));
    sendJson(res, 200, { jobs: index.value.map((entry) => entry.value) });
  }

  private offerOf(req: Request, caller: Caller): Outcome<JobOffer, Problem> {
    const query = new URLSearchParams(req.getQuery());
    const model = query.get('model') ?? '';
    const row = this.table.view.model(model);
    if (!row) return fail(notRun('unknown_model', `there is no model ${model}; name one by model=`));
    const key = textHeader(req, 'idempotency-key', MAX_KEY_LENGTH);
    if (!key.ok) return key;
    const due = query.get('dueAtUnixMs');
    const dueAtUnixMs = due === null ? this.clock.nowUnixMs() + DEFAULT_DUE_AFTER_MS : Number(due);
    if (!Number.isSafeInteger(dueAtUnixMs) || dueAtUnixMs <= 0) {
      return fail(notRun('bad_request', 'dueAtUnixMs must be a time in milliseconds since 1970'));
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

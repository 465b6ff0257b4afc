/** HTTP handlers with which operators read and edit the table. */
import type { Metrics, Outcome, Problem, StoredRow } from '@fighub/core';
import { fail, isRowKey, notRun, ok, sleep } from '@fighub/core';

import type { Caller, Request, Response } from '../ingress/http-helpers.js';
import { readJson, sendJson, sendProblem } from '../ingress/http-helpers.js';
import type { TableReplication } from '../table/table-replication.js';
import type { TableStore } from '../table/table-store.js';
import { bucketOf, liveRevision } from '../table/table-store.js';

const MAX_ROW_BYTES = 64_000;
const POLL_INTERVAL_MS = 100;
const MAX_WAIT_MS = 30_000;

/** Handles `/admin/v1/table`. */
export class TableApi {
  constructor(
    private readonly table: TableStore,
    private readonly replication: TableReplication,
    private readonly metrics: Metrics,
  ) {}

  /** Sends all rows that are not deleted, as CSV when the request accepts `text/csv` and as JSON otherwise. */
  list(req: Request, res: Response): void {
    const rows = this.table
      .rows()
      .filter((row) => !row.deleted)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    if ((req.headers.accept ?? '').includes('text/csv')) {
      res.writeHead(200, { 'Content-Type': 'text/csv; charset=utf-8' });
      res.end(toCsv(rows));
      return;
    }
    sendJson(res, 200, { revisions: this.table.revisions(), rows });
  }

  /** Sends one row with its entity tag. */
  get(res: Response, key: string): void {
    const row = this.table.row(key);
    if (!row || row.deleted) {
      sendProblem(res, notRun('unknown_row', `there is no row ${key}`));
      return;
    }
    sendJson(res, 200, row, { ETag: etagOf(row) });
  }

  /** Sends the recorded versions of a row, newest first. */
  async history(res: Response, key: string): Promise<void> {
    const rows = await this.table.history(key);
    if (rows.ok) sendJson(res, 200, rows.value);
    else sendProblem(res, rows.error);
  }

  /** Creates or replaces a row. The headers `If-Match` and `If-None-Match` make the edit conditional. */
  async put(req: Request, res: Response, caller: Caller, key: string): Promise<void> {
    const body = await readJson(req, MAX_ROW_BYTES);
    if (!body.ok) return sendProblem(res, body.error);
    await this.change(req, res, caller, key, body.value);
  }

  /** Deletes a row, under the same conditions as `put`. */
  async delete(req: Request, res: Response, caller: Caller, key: string): Promise<void> {
    await this.change(req, res, caller, key, undefined);
  }

  /**
   * Waits until all live instances have reported the current revision of a row's bucket. The query parameter `wait`
   * limits the wait, in milliseconds, up to `MAX_WAIT_MS`. Sends whether the revision is in force and which instances
   * lag behind it.
   */
  async revision(req: Request, res: Response): Promise<void> {
    const query = new URLSearchParams(req.getQuery());
    const key = query.get('key') ?? '';
    if (!isRowKey(key))
      return sendProblem(res, notRun('bad_request', 'the query parameter key must be a row key'));
    const untilMs = Date.now() + Math.min(MAX_WAIT_MS, Number(query.get('wait') ?? 0) || 0);
    const bucket = bucketOf(key);
    const revision = this.table.revisions()[bucket] ?? 0;
    while (this.replication.lagging(bucket, revision).length > 0 && Date.now() < untilMs) {
      await sleep(POLL_INTERVAL_MS);
    }
    const lagging = this.replication.lagging(bucket, revision);
    sendJson(res, 200, { key, bucket, bucketRevision: revision, inForce: lagging.length === 0, lagging });
  }

  private async change(
    req: Request,
    res: Response,
    caller: Caller,
    key: string,
    value: unknown,
  ): Promise<void> {
    const expected = expectedRevision(req);
    if (!expected.ok) return sendProblem(res, expected.error);
    const changedBy = caller.organisation;
    const edited = await this.table.edit({ key, value, expectedRevision: expected.value, changedBy });
    if (!edited.ok) return sendProblem(res, edited.error);
    this.metrics.count('table_edits');
    sendJson(res, 200, edited.value, { ETag: etagOf(edited.value) });
  }
}

/** Returns the entity tag of a row, which is its revision. */
export function etagOf(row: StoredRow): string {
  return `"${String(liveRevision(row))}"`;
}

/**
 * Reads the expected revision of a row from the headers: `If-Match: "<revision>"`, or `If-None-Match: *` for a row
 * that must not exist. Undefined when any revision may be replaced.
 */
function expectedRevision(req: Request): Outcome<number | undefined, Problem> {
  if (req.headers['if-none-match'] === '*') return ok(0);
  const header = req.headers['if-match'];
  if (header === undefined || header === '*') return ok(undefined);
  const match = /^"(\d{1,15})"$/.exec(header);
  if (!match) return fail(notRun('bad_header', 'If-Match must be "<revision>"'));
  return ok(Number(match[1]));
}

function toCsv(rows: readonly StoredRow[]): string {
  const lines = rows.map((row) =>
    [row.key, String(row.revision), JSON.stringify(row.value)].map(csvField).join(','),
  );
  return ['key,revision,value', ...lines].join('\r\n') + '\r\n';
}

function csvField(field: string): string {
  return /[",\r\n]/.test(field) ? `"${field.replaceAll('"', '""')}"` : field;
}

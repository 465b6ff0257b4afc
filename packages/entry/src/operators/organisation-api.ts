/** HTTP handlers with which administrators manage organisations and their keys. */
import { randomBytes } from 'node:crypto';

import type { OrganisationRow, Outcome, Problem, StoredRow } from '@fighub/core';
import { Role, fail, keyDigest, notRun, ok, organisationSchema } from '@fighub/core';
import { z } from 'zod';

import type { Caller, Request, Response } from '../ingress/http-helpers.js';
import { readJson, sendJson, sendProblem } from '../ingress/http-helpers.js';
import type { TableStore } from '../table/table-store.js';
import { liveRevision } from '../table/table-store.js';

const KEY_BYTES = 24;
const MAX_BODY_BYTES = 10_000;
/** Number of times that a change is tried when other edits of the row conflict with it. */
const MAX_EDIT_TRIES = 4;
const createSchema = z.strictObject({ role: z.enum(Role).default(Role.caller) });

/** Handles `/admin/v1/organisations`. A key is shown only once, when it is created; the table holds its hash. */
export class OrganisationApi {
  constructor(private readonly table: TableStore) {}

  /** Creates an organisation with its first key. */
  async create(req: Request, res: Response, caller: Caller, name: string): Promise<void> {
    const body = await readJson(req, MAX_BODY_BYTES);
    if (!body.ok) return sendProblem(res, body.error);
    const parsed = createSchema.safeParse(body.value);
    if (!parsed.success)
      return sendProblem(
        res,
        notRun('bad_request', 'the body may only have the field role, with a known role'),
      );
    const key = newKey();
    const value = { keyHashes: [keyDigest(key)], role: parsed.data.role };
    const edit = { key: rowKey(name), value, expectedRevision: 0, changedBy: caller.organisation };
    const edited = await this.table.edit(edit);
    if (edited.ok) sendJson(res, 201, { organisation: name, key, keyHash: keyDigest(key) });
    else sendProblem(res, edited.error);
  }

  /** Adds a key. Earlier keys stay valid until they are removed, so that callers can change keys without a gap. */
  async addKey(res: Response, caller: Caller, name: string): Promise<void> {
    const key = newKey();
    const added = await this.change(name, caller, (row) => ({
      ...row,
      keyHashes: [...row.keyHashes, keyDigest(key)],
    }));
    if (added.ok) sendJson(res, 201, { organisation: name, key, keyHash: keyDigest(key) });
    else sendProblem(res, added.error);
  }

  /** Removes a key by its hash. */
  async removeKey(res: Response, caller: Caller, name: string, hash: string): Promise<void> {
    const removed = await this.change(name, caller, (row) => ({
      ...row,
      keyHashes: row.keyHashes.filter((candidate) => candidate !== hash),
    }));
    if (removed.ok) sendJson(res, 200, { organisation: name, removed: hash });
    else sendProblem(res, removed.error);
  }

  /** Retires an organisation: its keys are no longer accepted, but its jobs and results are kept. */
  async retire(res: Response, caller: Caller, name: string): Promise<void> {
    const retired = await this.change(name, caller, (row) => ({ ...row, retired: true }));
    if (retired.ok) sendJson(res, 200, { organisation: name, retired: true });
    else sendProblem(res, retired.error);
  }

  /** Applies `change` to the row of an organisation by compare-and-swap. */
  private async change(
    name: string,
    caller: Caller,
    change: (row: OrganisationRow) => OrganisationRow,
    triesLeft = MAX_EDIT_TRIES,
  ): Promise<Outcome<StoredRow, Problem>> {
    const row = this.table.row(rowKey(name));
    if (!row || row.deleted) return fail(notRun('unknown_row', `there is no organisation ${name}`));
    const value = change(organisationSchema.parse(row.value));
    const edit = {
      key: rowKey(name),
      value,
      expectedRevision: liveRevision(row),
      changedBy: caller.organisation,
    };
    const edited = await this.table.edit(edit);
    if (edited.ok) return ok(edited.value);
    // The failed edit has updated the local copy of the row, to which the change is applied again.
    if (edited.error.code === 'row_changed' && triesLeft > 1)
      return this.change(name, caller, change, triesLeft - 1);
    return edited;
  }
}

function rowKey(name: string): string {
  return `organisation/${name}`;
}

function newKey(): string {
  return `fh-${randomBytes(KEY_BYTES).toString('base64url')}`;
}

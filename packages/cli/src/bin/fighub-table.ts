#!/usr/bin/env node
/** Command-line tool that reads and edits the operators' table. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { ApiClient } from '@fighub/client';
import type { StoredRow } from '@fighub/core';
import meow from 'meow';

import type { Subcommand } from '../command.js';
import {
  COMMON_FLAGS,
  COMMON_HELP,
  ExitCode,
  clientOf,
  failWith,
  print,
  report,
  reportError,
  runSubcommand,
} from '../command.js';
import type { MissingRows } from '../table-csv.js';
import { csvChanges, tableToCsv } from '../table-csv.js';

const IN_FORCE_TIMEOUT_MS = 20_000;
const WATCH_POLL_PERIOD_MS = 1_000;

const cli = meow(
  `
  Reads and edits the operators' table.

  Usage
    $ fighub-table list
    $ fighub-table get <row>
    $ fighub-table set <row> <JSON> [--revision N] [--wait]
    $ fighub-table delete <row> [--revision N]
    $ fighub-table edit              edit the table as CSV in $EDITOR
    $ fighub-table diff <file.csv>   print the changes that a CSV contains
    $ fighub-table apply <file.csv>  apply the changes of a CSV row by row
    $ fighub-table history <row>
    $ fighub-table watch

  Options${COMMON_HELP}
    --revision  Change the row only if it still has this revision; 0 for a new row
    --wait      Wait until the change is in force on all instances

  Example
    $ fighub-table set share/obloha/alert-modely '{"weight": 2}' --wait

  Exit codes: 0 done, 1 refused, 2 wrong usage, 3 the row was changed by someone else, 4 no response
`,
  {
    importMeta: import.meta,
    flags: { ...COMMON_FLAGS, revision: { type: 'number' }, wait: { type: 'boolean', default: false } },
  },
);

const client = clientOf(cli.flags);
const { json } = cli.flags;
const [subcommand = '', first = '', second = ''] = cli.input;

function rowLine(row: StoredRow): string {
  return `${row.key}  r${String(row.revision)}  ${JSON.stringify(row.value)}`;
}

async function readRows(): Promise<StoredRow[] | undefined> {
  const table = await client.table();
  if (table.ok) return table.value.rows;
  reportError(table.error, json);
  return undefined;
}

async function list(): Promise<void> {
  const rows = await readRows();
  if (rows) print(json ? JSON.stringify(rows) : rows.map(rowLine).join('\n'));
}

async function set(): Promise<void> {
  let value: unknown;
  try {
    value = JSON.parse(second);
  } catch {
    return failWith(ExitCode.usage, `the value is not valid JSON: ${second}`);
  }
  report(await client.putRow(first, value, cli.flags.revision), json, rowLine);
  if (cli.flags.wait && !process.exitCode) await waitUntilInForce(client);
}

async function waitUntilInForce(api: ApiClient): Promise<void> {
  const state = await api.inForce(first, IN_FORCE_TIMEOUT_MS);
  if (!state.ok) return reportError(state.error, json);
  if (state.value.inForce) print('the change is in force on all instances');
  else failWith(ExitCode.failed, `the change is not yet in force on ${state.value.lagging.join(', ')}`);
}

async function applyCsv(text: string, dryRun: boolean, missing: MissingRows): Promise<void> {
  const rows = await readRows();
  if (!rows) return;
  const changes = csvChanges(rows, text, missing);
  if (!changes.ok) return failWith(ExitCode.usage, changes.error.join('\n'));
  for (const change of changes.value) {
    const shown = change.value === undefined ? 'delete' : JSON.stringify(change.value);
    if (dryRun) {
      print(`${change.key}: ${shown}`);
      continue;
    }
    const outcome =
      change.value === undefined
        ? await client.deleteRow(change.key, change.expectedRevision)
        : await client.putRow(change.key, change.value, change.expectedRevision);
    if (outcome.ok) print(`${change.key}: done`);
    else {
      process.stderr.write(`${change.key}: `);
      reportError(outcome.error, json);
    }
  }
}

async function edit(): Promise<void> {
  const rows = await readRows();
  if (!rows) return;
  const folder = mkdtempSync(join(tmpdir(), 'fighub-table-'));
  const file = join(folder, 'table.csv');
  writeFileSync(file, tableToCsv(rows));
  const editor = process.env.EDITOR ?? 'vi';
  const editorRun = spawnSync(editor, [file], { stdio: 'inherit', shell: true });
  const text = readFileSync(file, 'utf8');
  rmSync(folder, { recursive: true });
  if (editorRun.status !== 0)
    return failWith(ExitCode.failed, 'the editor failed; the table was not changed');
  await applyCsv(text, false, 'delete');
}

async function watch(): Promise<void> {
  const printedRevisions = new Map<string, number>();
  for (;;) {
    const rows = (await readRows()) ?? [];
    rows
      .filter((row) => printedRevisions.get(row.key) !== row.revision)
      .forEach((row) => print(rowLine(row)));
    rows.forEach((row) => printedRevisions.set(row.key, row.revision));
    await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_PERIOD_MS));
  }
}

function readFile(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    failWith(ExitCode.usage, (error as Error).message);
    return undefined;
  }
}

async function processCsvFile(file: string, dryRun: boolean): Promise<void> {
  const text = readFile(file);
  if (text !== undefined) await applyCsv(text, dryRun, 'keep');
}

const SUBCOMMANDS: Readonly<Record<string, Subcommand>> = {
  list,
  get: async () => report(await client.row(first), json, rowLine),
  set,
  delete: async () => report(await client.deleteRow(first, cli.flags.revision), json, rowLine),
  edit,
  diff: () => processCsvFile(first, true),
  apply: () => processCsvFile(first, false),
  history: async () => report(await client.rowHistory(first), json, (rows) => rows.map(rowLine).join('\n')),
  watch,
};

await runSubcommand(SUBCOMMANDS, subcommand);

#!/usr/bin/env node
/** Command-line tool that submits, monitors and cancels batch jobs. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

import type { JobView } from '@fighub/client';
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

const POLL_PERIOD_MS = 1_000;

const cli = meow(
  `
  Submits, monitors and cancels batch jobs.

  Usage
    $ fighub-job submit <items.jsonl> --model <model> [--idempotency-key K] [--due-at-unix-ms T]
    $ fighub-job status|wait|results|cancel <job>
    $ fighub-job list

  Options${COMMON_HELP}
    --model             Model that runs the items
    --idempotency-key   A repeated submit with the same key finds the same job
    --due-at-unix-ms    When the job is due, as a Unix time in milliseconds
    --non-idempotent    Run each item at most once

  Example
    $ fighub-job submit bulletins.jsonl --model alert-modely --idempotency-key spring-lot

  Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict, 4 no response
`,
  {
    importMeta: import.meta,
    flags: {
      ...COMMON_FLAGS,
      model: { type: 'string', default: '' },
      idempotencyKey: { type: 'string' },
      dueAtUnixMs: { type: 'number' },
      nonIdempotent: { type: 'boolean', default: false },
    },
  },
);

const client = clientOf(cli.flags);
const { json } = cli.flags;
const [subcommand = '', fileOrJobId = ''] = cli.input;

function jobLine(job: JobView): string {
  const late = job.late ? ', late' : '';
  return `${job.jobId}  ${job.state}  ${String(job.doneCount ?? 0)} of ${String(job.itemCount)} done, ${String(job.failedCount ?? 0)} failed${late}`;
}

async function submit(): Promise<void> {
  const lines: string[] = [];
  try {
    for await (const line of createInterface({ input: createReadStream(fileOrJobId) })) lines.push(line);
  } catch (error) {
    return failWith(ExitCode.usage, (error as Error).message);
  }
  const { model, idempotencyKey, dueAtUnixMs, nonIdempotent } = cli.flags;
  report(
    await client.createJob({ model, lines, idempotencyKey, dueAtUnixMs, idempotent: !nonIdempotent }),
    json,
    jobLine,
  );
}

async function wait(): Promise<void> {
  for (;;) {
    const job = await client.job(fileOrJobId);
    if (!job.ok) return reportError(job.error, json);
    if (job.value.state !== 'open') return report(job, json, jobLine);
    await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
  }
}

async function results(): Promise<void> {
  const all = await client.allResults(fileOrJobId);
  if (!all.ok) return reportError(all.error, json);
  all.value.forEach((result) => print(JSON.stringify(result)));
}

const SUBCOMMANDS: Readonly<Record<string, Subcommand>> = {
  submit,
  status: async () => report(await client.job(fileOrJobId), json, jobLine),
  wait,
  results,
  cancel: async () => report(await client.cancelJob(fileOrJobId), json, jobLine),
  list: async () => report(await client.listJobs(), json, (jobs) => JSON.stringify(jobs, undefined, 2)),
};

await runSubcommand(SUBCOMMANDS, subcommand);

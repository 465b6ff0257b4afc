#!/usr/bin/env node
/** Command-line tool that prints the log lines about one request, item or job, or the streams at each replica. */
import { readFileSync } from 'node:fs';

import meow from 'meow';

import { ExitCode, failWith, print } from '../command.js';
import { formatOccupancy, occupancyOf } from '../occupancy.js';
import { formatLine, parseLines, traceOf } from '../trace.js';

const STANDARD_INPUT_FD = 0;

const cli = meow(
  `
  Prints all log lines about one request, item or job, in order of their
  timestamps. Each process takes its timestamps from its own clock.

  Usage
    $ fighub-trace <id> [file...]
    $ fighub-trace --occupancy [file...]

  Options
    --json       Print the lines as JSON
    --occupancy  Print the number of streams at each replica over time, and who granted their slots
    --step-ms    Time between two lines of --occupancy in milliseconds (default: 500)

  Without files, the logs are read from standard input.

  Example
    $ fighub-trace ae9a566a3a4f2414 logs/*.jsonl

  Exit codes: 0 done, 1 no matching log line, 2 wrong usage
`,
  {
    importMeta: import.meta,
    flags: {
      json: { type: 'boolean', default: false },
      occupancy: { type: 'boolean', default: false },
      stepMs: { type: 'number', default: 500 },
    },
  },
);

function readLines(file: string | number): string[] {
  return readFileSync(file, 'utf8').split('\n');
}

function linesOf(files: readonly string[]): string[] {
  return files.length > 0 ? files.flatMap(readLines) : readLines(STANDARD_INPUT_FD);
}

function printTrace(id: string, files: readonly string[]): void {
  const trace = traceOf(id, linesOf(files));
  const firstUnixMs = trace[0]?.timeUnixMs ?? 0;
  trace.forEach((line) => print(cli.flags.json ? JSON.stringify(line) : formatLine(line, firstUnixMs)));
  if (trace.length === 0) failWith(ExitCode.failed, `no log line contains the id ${id}`);
}

function printOccupancy(files: readonly string[]): void {
  const { steps, linesLeftOut } = occupancyOf(parseLines(linesOf(files)), cli.flags.stepMs);
  const firstUnixMs = steps[0]?.timeUnixMs ?? 0;
  steps.forEach((step) => print(formatOccupancy(step, firstUnixMs)));
  if (steps.length === 0) failWith(ExitCode.failed, 'no log line is about a stream');
  if (linesLeftOut > 0) {
    print(
      `${String(linesLeftOut)} log lines were omitted to limit the log rate; their streams are not counted`,
    );
  }
}

function run(): void {
  if (cli.flags.occupancy) {
    if (cli.flags.stepMs > 0) printOccupancy(cli.input);
    else failWith(ExitCode.usage, '--step-ms must be greater than 0');
    return;
  }
  const [id, ...files] = cli.input;
  if (id === undefined) failWith(ExitCode.usage, 'pass the id of a request, an item or a job');
  else printTrace(id, files);
}

try {
  run();
} catch (error) {
  failWith(ExitCode.usage, (error as Error).message);
}

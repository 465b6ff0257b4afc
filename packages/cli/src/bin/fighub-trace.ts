#!/usr/bin/env node
/** Prints the story of one request, item or job from log files. */
import { readFileSync } from 'node:fs';

import meow from 'meow';

import { ExitCode, failWith, print } from '../command.js';
import { formatLine, traceOf } from '../trace.js';

const STANDARD_INPUT = 0;

const cli = meow(
  `
  Prints all log lines about one request, item or job, in the order of the processes' clocks.

  Usage
    $ fighub-trace <id> [file...]

  Options
    --json  Print the lines as JSON

  Without files the logs are read from standard input.

  Example
    $ fighub-trace ae9a566a3a4f2414 logs/*.jsonl

  Exit codes: 0 done, 1 no line has the id, 2 wrong usage
`,
  { importMeta: import.meta, flags: { json: { type: 'boolean', default: false } } },
);

function readLines(file: string | number): string[] {
  return readFileSync(file, 'utf8').split('\n');
}

const [id, ...files] = cli.input;
if (id === undefined) failWith(ExitCode.usage, 'give the id of a request, an item or a job');
else {
  try {
    const lines = files.length > 0 ? files.flatMap(readLines) : readLines(STANDARD_INPUT);
    const trace = traceOf(id, lines);
    const firstUnixMs = trace[0]?.timeUnixMs ?? 0;
    trace.forEach((line) => print(cli.flags.json ? JSON.stringify(line) : formatLine(line, firstUnixMs)));
    if (trace.length === 0) failWith(ExitCode.failed, `no line has the id ${id}`);
  } catch (error) {
    failWith(ExitCode.usage, (error as Error).message);
  }
}

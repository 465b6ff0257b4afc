#!/usr/bin/env -S node --disable-warning=DEP0111
/** Command-line tool: runs experiments and soak tests on local fleets of real processes, and compares stored runs. */
import meow from 'meow';

import type { Bound, ExperimentOutcome } from '../experiment.js';
import { missedBounds } from '../experiment.js';
import { experiments } from '../experiments/index.js';
import { SeededRandom } from '../random.js';
import type { StoredRun } from '../report.js';
import { compareRuns, readRun, writeReport } from '../report.js';
import { SOAK_BOUNDS, Soak } from '../soak.js';

const USAGE_ERROR_EXIT_CODE = 2;

const cli = meow(
  `
  Runs experiments and soak tests, and prints their figures.

  Usage
    $ npm run lab -- run <experiment> [--seed N] [--json] [--report <folder>]
    $ npm run lab -- soak --seed N --minutes M [--json] [--report <folder>]
    $ npm run lab -- compare <a.json> <b.json>
    $ npm run lab -- list

  Example
    $ npm run lab -- run harm --seed 1 --json

  Exit codes: 0 all bounds met, 1 a bound was missed, 2 wrong usage
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      minutes: { type: 'number', default: 1 },
      json: { type: 'boolean', default: false },
      report: { type: 'string' },
    },
  },
);

const [command = '', name = ''] = cli.input;
const { seed } = cli.flags;
const printProgress = (line: string): void => void process.stderr.write(`${line}\n`);

interface Run {
  readonly experiment: string;
  readonly bounds: readonly Bound[];
  start(): Promise<ExperimentOutcome>;
}

function chooseRun(): Run | undefined {
  if (command === 'soak') {
    const lengthMs = cli.flags.minutes * 60_000;
    return {
      experiment: 'soak',
      bounds: SOAK_BOUNDS,
      start: () => new Soak(seed, { lengthMs }, printProgress).run(),
    };
  }
  const experiment = experiments.find((candidate) => candidate.name === name);
  if (command !== 'run' || !experiment) return undefined;
  const start = (): Promise<ExperimentOutcome> => experiment.run(new SeededRandom(seed), printProgress);
  return { experiment: experiment.name, bounds: experiment.bounds, start };
}

function rerunCommand(run: Run): string {
  return run.experiment === 'soak'
    ? `npm run lab -- soak --seed ${String(seed)} --minutes ${String(cli.flags.minutes)}`
    : `npm run lab -- run ${run.experiment} --seed ${String(seed)}`;
}

async function execute(run: Run): Promise<number> {
  const { figures, plots } = await run.start();
  const missed = missedBounds(run.bounds, figures);
  const result: StoredRun = { experiment: run.experiment, seed, pass: missed.length === 0, figures };
  process.stdout.write(cli.flags.json ? `${JSON.stringify(result)}\n` : formatFigures(figures, missed));
  if (cli.flags.report !== undefined) writeReport(cli.flags.report, { ...result, missed, plots });
  if (missed.length > 0)
    printProgress(`missed bounds: ${missed.join(', ')}\nrun again with: ${rerunCommand(run)}`);
  return missed.length === 0 ? 0 : 1;
}

function formatFigures(figures: Readonly<Record<string, number>>, missed: readonly string[]): string {
  return Object.entries(figures)
    .map(([figure, value]) => {
      const mark = missed.includes(figure) ? '  MISSED' : '';
      return `${figure.padEnd(34)} ${String(Math.round(value * 1_000) / 1_000)}${mark}\n`;
    })
    .join('');
}

function listExperiments(): number {
  experiments.forEach((entry) => process.stdout.write(`${entry.name.padEnd(10)} ${entry.summary}\n`));
  return 0;
}

async function main(): Promise<number> {
  if (command === 'list') return listExperiments();
  if (command === 'compare') return compareFiles(name, cli.input[2] ?? '');
  const run = chooseRun();
  if (run) return execute(run);
  process.stderr.write('unknown command or experiment; see --help, or use list to see the experiments\n');
  return USAGE_ERROR_EXIT_CODE;
}

function compareFiles(first: string, second: string): number {
  try {
    process.stdout.write(compareRuns(readRun(first), readRun(second)));
    return 0;
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    return USAGE_ERROR_EXIT_CODE;
  }
}

process.exit(await main());

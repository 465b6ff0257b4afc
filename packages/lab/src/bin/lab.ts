#!/usr/bin/env -S node --disable-warning=DEP0111
/** Runs experiments on fleets of real processes. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import meow from 'meow';

import { missedBounds } from '../experiment.js';
import { experiments } from '../experiments/index.js';
import { SeededRandom } from '../random.js';

const USAGE_ERROR = 2;

const cli = meow(
  `
  Runs an experiment and prints its figures.

  Usage
    $ npm run lab -- run <experiment> [--seed N] [--json] [--report <folder>]
    $ npm run lab -- list

  Example
    $ npm run lab -- run harm --seed 1 --json

  Exit codes: 0 all bounds met, 1 a bound was missed, 2 wrong usage
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      json: { type: 'boolean', default: false },
      report: { type: 'string' },
    },
  },
);

const [verb = '', name = ''] = cli.input;
if (verb === 'list') {
  experiments.forEach((experiment) =>
    process.stdout.write(`${experiment.name.padEnd(10)} ${experiment.summary}\n`),
  );
  process.exit(0);
}
const experiment = experiments.find((candidate) => candidate.name === name);
if (verb !== 'run' || !experiment) {
  process.stderr.write(`unknown command or experiment; see --help and list\n`);
  process.exit(USAGE_ERROR);
}

const note = (line: string): void => void process.stderr.write(`${line}\n`);
const { figures, plots } = await experiment.run(new SeededRandom(cli.flags.seed), note);
const missed = missedBounds(experiment.bounds, figures);
const result = { experiment: experiment.name, seed: cli.flags.seed, pass: missed.length === 0, figures };
if (cli.flags.json) process.stdout.write(`${JSON.stringify(result)}\n`);
else {
  Object.entries(figures).forEach(([figure, value]) => {
    const mark = missed.includes(figure) ? '  MISSED' : '';
    process.stdout.write(`${figure.padEnd(34)} ${String(Math.round(value * 1_000) / 1_000)}${mark}\n`);
  });
}
if (cli.flags.report !== undefined) {
  mkdirSync(cli.flags.report, { recursive: true });
  const file = join(cli.flags.report, `${experiment.name}-${String(cli.flags.seed)}.json`);
  writeFileSync(file, JSON.stringify({ ...result, missed, bounds: experiment.bounds, plots }));
}
process.exit(missed.length === 0 ? 0 : 1);

#!/usr/bin/env -S node --disable-warning=DEP0111
/** The daemon of an entry instance. */
import { readFileSync } from 'node:fs';

import { InvariantError, describeFaults, parseSettings } from '@fighub/core';
import meow from 'meow';
import { pino } from 'pino';

import { startEntry } from '../life-cycle/entry-instance.js';
import { entrySettingsSchema } from '../settings.js';
import { createStatsdSink } from '../life-cycle/statsd-sink.js';

const USAGE_ERROR = 2;
const CRASHED = 70;

const cli = meow(
  `
  Runs one entry instance of fighub.

  Usage
    $ fighub-entry --settings <file>

  Options
    --settings  Settings in JSON with comments
    --check     Check the settings and exit
    --json      Print the addresses as one line of JSON when ready

  Example
    $ fighub-entry --settings examples/slnecna-straz/zvolen-hala.jsonc
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string', isRequired: true },
      check: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
    },
  },
);

function readSettings(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`${file}: ${(error as Error).message}\n`);
    process.exit(USAGE_ERROR);
  }
}

const settings = parseSettings(readSettings(cli.flags.settings), entrySettingsSchema, cli.flags.settings);
if (!settings.ok) {
  process.stderr.write(`${describeFaults(settings.error)}\n`);
  process.exit(USAGE_ERROR);
}
if (cli.flags.check) process.exit(0);

const logger = pino({ level: settings.value.logLevel }, pino.destination({ fd: 2, sync: true }));

/** An error that no code expected, or a broken invariant: the process must not go on. */
function crash(error: unknown): void {
  const details = error instanceof InvariantError ? { invariant: error.invariant, state: error.state } : {};
  logger.fatal({ err: error, ...details }, 'the process stops');
  process.exit(CRASHED);
}

process.on('uncaughtException', crash);
process.on('unhandledRejection', crash);

const instance = await startEntry(settings.value, logger, crash, createStatsdSink(settings.value.statsd));
const stop = (): void => {
  void instance.close().then(() => {
    logger.info('instance stopped');
    process.exit(0);
  });
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
if (cli.flags.json) {
  const { instanceId, httpAddress, peerAddress } = instance;
  process.stdout.write(`${JSON.stringify({ instanceId, httpAddress, peerAddress })}\n`);
}

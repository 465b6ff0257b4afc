#!/usr/bin/env -S node --disable-warning=DEP0111
/**
 * Command-line program that runs one entry instance. The flag of `node` hides a deprecation warning about
 * process.binding(), which a dependency calls.
 */
import { readFileSync } from 'node:fs';

import { InvariantError, describeFaults, parseSettings } from '@fighub/core';
import meow from 'meow';
import { pino } from 'pino';

import { startEntry } from '../life-cycle/entry-instance.js';
import { entrySettingsSchema } from '../settings.js';
import { createStatsdSink } from '../life-cycle/statsd-sink.js';

/** Exit status for wrong usage or invalid settings. */
const USAGE_ERROR_STATUS = 2;
/** Exit status after an unexpected error; the same as EX_SOFTWARE of sysexits. */
const CRASH_STATUS = 70;

const cli = meow(
  `
  Runs one entry instance of fighub.

  Usage
    $ fighub-entry --settings <file>

  Options
    --settings  Settings file in JSON with comments
    --check     Validate the settings and exit
    --json      Print the instance id and addresses as one line of JSON when ready

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
    process.exit(USAGE_ERROR_STATUS);
  }
}

const settings = parseSettings(readSettings(cli.flags.settings), entrySettingsSchema, cli.flags.settings);
if (!settings.ok) {
  process.stderr.write(`${describeFaults(settings.error)}\n`);
  process.exit(USAGE_ERROR_STATUS);
}
if (cli.flags.check) process.exit(0);

const logger = pino({ level: settings.value.logLevel }, pino.destination({ fd: 2, sync: true }));

/** Logs an uncaught error or a violated invariant and exits, because the process cannot safely continue. */
function crash(error: unknown): void {
  const details = error instanceof InvariantError ? { invariant: error.invariant, state: error.state } : {};
  logger.fatal({ err: error, ...details }, 'unexpected error; the process exits');
  process.exit(CRASH_STATUS);
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

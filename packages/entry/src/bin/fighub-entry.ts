#!/usr/bin/env -S node --disable-warning=DEP0111
/**
 * Command-line program that runs one entry instance. The flag of `node` hides a deprecation warning about
 * process.binding(), which a dependency calls.
 */
import { readFileSync } from 'node:fs';

import type { EndReason as Reason } from '@fighub/core';
import {
  EndReason,
  ExitStatus,
  InvariantError,
  ProcessPhase,
  SignalAction,
  actionOnSignal,
  describeFaults,
  parseSettings,
} from '@fighub/core';
import { LogOutput, ProcessLog, StandardStream, writeMessage } from '@fighub/outside';
import meow from 'meow';

import type { EntryInstance } from '../life-cycle/entry-instance.js';
import { startEntry } from '../life-cycle/entry-instance.js';
import type { EntrySettings } from '../settings.js';
import { entrySettingsSchema } from '../settings.js';
import { createStatsdSink } from '../life-cycle/statsd-sink.js';

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

/** Reads the settings once; they are not replaced while the program runs. */
function readSettings(file: string): EntrySettings {
  try {
    const settings = parseSettings(readFileSync(file, 'utf8'), entrySettingsSchema, file);
    if (settings.ok) return settings.value;
    writeMessage(describeFaults(settings.error));
  } catch (error) {
    writeMessage(`${file}: ${(error as Error).message}`);
  }
  process.exit(ExitStatus.usage);
}

const settings = readSettings(cli.flags.settings);
if (cli.flags.check) process.exit(ExitStatus.stopped);

// Each line is written at once.
const log = new ProcessLog(new LogOutput(StandardStream.error, 0));
log.useSettings(settings.logLevel, settings.instanceName);
/** Empty until the instance has been started. */
const started: { instance?: EntryInstance } = {};
let interrupts = 0;

function end(reason: Reason, exitStatus: number, detail: string): never {
  return log.exit(log.endNow(reason, exitStatus, detail));
}

/** Logs an uncaught error or a violated invariant and exits, because the process cannot safely continue. */
function crash(error: unknown): never {
  const isInvariant = error instanceof InvariantError;
  const details = isInvariant ? { invariant: error.invariant, state: error.state } : {};
  log.logger.fatal({ err: error, ...details }, 'unexpected error; the process exits');
  const reason = isInvariant ? EndReason.invariantViolated : EndReason.unexpectedError;
  return end(reason, ExitStatus.crash, error instanceof Error ? error.message : String(error));
}

function stop(signal: string, running: EntryInstance): void {
  log.enter(ProcessPhase.stopping);
  void running.close().then(() => {
    log.logger.info('instance stopped');
    end(EndReason.signal, ExitStatus.stopped, signal);
  });
}

/** Stops on SIGTERM and SIGINT, and on SIGHUP, which says that the terminal of the program is gone. */
function onSignal(signal: NodeJS.Signals): void {
  const action = actionOnSignal(signal === 'SIGHUP' ? 'SIGTERM' : signal, log.phase, interrupts);
  if (signal === 'SIGINT') interrupts += 1;
  log.logger.info({ event: 'signal_received', signal, phase: log.phase, action }, 'signal_received');
  if (action === SignalAction.abandonStart)
    end(EndReason.signal, ExitStatus.stopped, `${signal} in the phase ${log.phase}`);
  if (action === SignalAction.stop && started.instance) stop(signal, started.instance);
  if (action === SignalAction.endDrain) void started.instance?.closeNow();
}

process.on('uncaughtException', crash);
process.on('unhandledRejection', crash);
(['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR1', 'SIGUSR2'] as const).forEach((signal) =>
  process.on(signal, onSignal),
);

log.enter(ProcessPhase.binding);
const instance = await startEntry(settings, log.logger, crash, createStatsdSink(settings.statsd));
started.instance = instance;
log.enter(ProcessPhase.serving);
if (cli.flags.json) {
  const { instanceId, httpAddress, peerAddress } = instance;
  process.stdout.write(`${JSON.stringify({ instanceId, httpAddress, peerAddress })}\n`);
}

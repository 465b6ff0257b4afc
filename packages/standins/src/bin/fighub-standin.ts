#!/usr/bin/env node
/** Command-line program that runs one stand-in: a local substitute for an outside service. */
import meow from 'meow';

import { ENGINE_DEFAULTS, startEngineStandin } from '../engine-standin.js';
import type { RunningServer } from '../http-util.js';
import { startInstancesStandin } from '../instances-standin.js';
import { KV_DEFAULTS, startKvStandin } from '../kv-standin.js';
import { startServiceStandin } from '../service-standin.js';

/** Exit code for an unknown kind of stand-in. */
const USAGE_ERROR_EXIT_CODE = 2;

const cli = meow(
  `
  Runs a local stand-in for an outside service. Prints {"address": …} when it is ready.

  Usage
    $ fighub-standin <key-value|instances|engine|service> [--options JSON]

  Example
    $ fighub-standin key-value --options '{"port": 2379, "writesPerSecond": 300}'
`,
  { importMeta: import.meta, flags: { options: { type: 'string', default: '{}' } } },
);

const STARTERS: Readonly<Record<string, (options: object) => Promise<RunningServer>>> = {
  'key-value': (options) => startKvStandin({ ...KV_DEFAULTS, ...options }),
  instances: (options) => startInstancesStandin({ port: 0, lagMs: 1_000, ...options }),
  engine: (options) => startEngineStandin({ ...ENGINE_DEFAULTS, ...options }),
  service: (options) => startServiceStandin({ port: 0, workMs: 20, ...options }),
};

const start = STARTERS[cli.input[0] ?? ''];
if (!start) {
  process.stderr.write(`unknown stand-in "${cli.input[0] ?? ''}"; see --help\n`);
  process.exit(USAGE_ERROR_EXIT_CODE);
}
const running = await start(JSON.parse(cli.flags.options) as object);
process.stdout.write(`${JSON.stringify({ address: running.address })}\n`);

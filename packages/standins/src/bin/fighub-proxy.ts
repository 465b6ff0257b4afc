#!/usr/bin/env node
/** Command-line program that runs the fault-injecting TCP proxy. */
import meow from 'meow';

import { startFaultProxy } from '../fault-proxy.js';

const cli = meow(
  `
  Runs a TCP proxy that injects network faults. Prints {"address": …} of its control API when it is ready.

  Usage
    $ fighub-proxy [--port N]

  Example
    $ fighub-proxy --port 9900
`,
  { importMeta: import.meta, flags: { port: { type: 'number', default: 0 } } },
);

const running = await startFaultProxy(cli.flags.port);
process.stdout.write(`${JSON.stringify({ address: running.address })}\n`);

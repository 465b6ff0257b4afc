#!/usr/bin/env node
/** Runs the fault-injecting proxy as a process. */
import meow from 'meow';

import { startFaultProxy } from '../fault-proxy.js';

const cli = meow(
  `
  Runs the fault-injecting TCP proxy. Prints the address of its control interface when it is ready.

  Usage
    $ fighub-proxy [--port N]

  Example
    $ fighub-proxy --port 9900
`,
  { importMeta: import.meta, flags: { port: { type: 'number', default: 0 } } },
);

const running = await startFaultProxy(cli.flags.port);
process.stdout.write(`${JSON.stringify({ address: running.address })}\n`);

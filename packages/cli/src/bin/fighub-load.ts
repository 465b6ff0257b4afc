#!/usr/bin/env node
/** Puts a bounded online load on instances of this machine and prints latencies. */
import { ApiClient } from '@fighub/client';
import { build } from 'hdr-histogram-js';
import meow from 'meow';

import { COMMON_FLAGS, COMMON_HELP, ExitCode, failWith, print } from '../command.js';

const MAX_RATE_PER_SECOND = 500;
const MAX_SECONDS = 600;

const cli = meow(
  `
  Puts a bounded online load on instances on the loopback interface and prints latencies.

  Usage
    $ fighub-load --address <address>[,<address>…] --model <model>

  Options${COMMON_HELP}
    --model       Model to ask
    --rate        Requests a second, at most ${String(MAX_RATE_PER_SECOND)}
    --seconds     Length, at most ${String(MAX_SECONDS)}
    --max-tokens  Tokens of each answer

  Example
    $ fighub-load --address http://127.0.0.1:8080 --model alert-modely --rate 20 --seconds 10

  Exit codes: 0 all answered, 1 some failed, 2 wrong usage
`,
  {
    importMeta: import.meta,
    flags: {
      ...COMMON_FLAGS,
      model: { type: 'string', isRequired: true },
      rate: { type: 'number', default: 10 },
      seconds: { type: 'number', default: 10 },
      maxTokens: { type: 'number', default: 16 },
    },
  },
);

const addresses = cli.flags.address.split(',');
const bounded = cli.flags.rate <= MAX_RATE_PER_SECOND && cli.flags.seconds <= MAX_SECONDS;
const LOOPBACK = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;
const isLocal = addresses.every((address) => LOOPBACK.test(new URL(address).hostname));

async function run(): Promise<void> {
  const histogram = build();
  const refusals: Record<string, number> = {};
  const clients = addresses.map((address) => new ApiClient(address, cli.flags.key));
  const total = Math.round(cli.flags.rate * cli.flags.seconds);
  const ask = async (index: number): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, (index * 1_000) / cli.flags.rate));
    const call = { model: cli.flags.model, prompt: `load ${String(index)}`, maxTokens: cli.flags.maxTokens };
    const answer = await clients[index % clients.length]?.stream(call);
    if (answer?.ok) histogram.recordValue(Math.max(1, Math.round(answer.value.firstTokenMs)));
    else if (answer) refusals[answer.error.code] = (refusals[answer.error.code] ?? 0) + 1;
  };
  await Promise.all(Array.from({ length: total }, (_, index) => ask(index)));
  const figures = {
    requests: total,
    answered: histogram.totalCount,
    firstTokenP50Ms: histogram.getValueAtPercentile(50),
    firstTokenP95Ms: histogram.getValueAtPercentile(95),
    firstTokenP99Ms: histogram.getValueAtPercentile(99),
    refusals,
  };
  print(JSON.stringify(figures, undefined, cli.flags.json ? undefined : 2));
  if (figures.answered < total) process.exitCode = ExitCode.failed;
}

if (!bounded) failWith(ExitCode.usage, 'the rate or the length is over its bound');
else if (!isLocal) failWith(ExitCode.usage, 'load goes to the loopback interface only');
else await run();

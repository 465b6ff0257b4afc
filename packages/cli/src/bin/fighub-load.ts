#!/usr/bin/env node
/** Command-line tool that sends online requests to local instances at a limited rate and prints latencies. */
import { ApiClient } from '@fighub/client';
import { build } from 'hdr-histogram-js';
import meow from 'meow';

import { COMMON_FLAGS, COMMON_HELP, ExitCode, failWith, print } from '../command.js';

const MAX_RATE_PER_SECOND = 500;
const MAX_DURATION_S = 600;

const cli = meow(
  `
  Sends online requests to instances on the loopback interface at a limited rate and prints latencies.

  Usage
    $ fighub-load --address <address>[,<address>…] --model <model>

  Options${COMMON_HELP}
    --model       Model to request
    --rate        Requests per second, at most ${String(MAX_RATE_PER_SECOND)}
    --seconds     Duration in seconds, at most ${String(MAX_DURATION_S)}
    --max-tokens  Maximum number of tokens in each response

  Example
    $ fighub-load --address http://127.0.0.1:8080 --model alert-modely --rate 20 --seconds 10

  Exit codes: 0 all requests completed, 1 some failed, 2 wrong usage
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
const isWithinBounds = cli.flags.rate <= MAX_RATE_PER_SECOND && cli.flags.seconds <= MAX_DURATION_S;
const LOOPBACK_HOST = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;
const isLocal = addresses.every((address) => LOOPBACK_HOST.test(new URL(address).hostname));

async function run(): Promise<void> {
  const histogram = build();
  const refusals: Record<string, number> = {};
  const clients = addresses.map((address) => new ApiClient(address, cli.flags.key));
  const total = Math.round(cli.flags.rate * cli.flags.seconds);
  const sendRequest = async (index: number): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, (index * 1_000) / cli.flags.rate));
    const request = {
      model: cli.flags.model,
      prompt: `load ${String(index)}`,
      maxTokens: cli.flags.maxTokens,
    };
    const response = await clients[index % clients.length]?.stream(request);
    if (response?.ok) histogram.recordValue(Math.max(1, Math.round(response.value.firstTokenMs)));
    else if (response) refusals[response.error.code] = (refusals[response.error.code] ?? 0) + 1;
  };
  await Promise.all(Array.from({ length: total }, (_, index) => sendRequest(index)));
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

if (!isWithinBounds) failWith(ExitCode.usage, '--rate or --seconds exceeds its maximum');
else if (!isLocal) failWith(ExitCode.usage, 'every --address must be on the loopback interface');
else await run();

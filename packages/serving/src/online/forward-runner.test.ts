import type { Slot } from '@fighub/admission';
import type { Route } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, ok } from '@fighub/core';
import { BlockedPrompts, BufferBudget } from '@fighub/decisions';
import { describe, expect, it } from 'vitest';

import { OrganisationUsage } from '../access/organisation-usage.js';
import { RelayedTransport } from '../relay/relayed-transport.js';
import type { RelayClient } from '../relay/relay-client.js';
import type { ForwardDependencies } from './forward-run.js';
import { ForwardRunner } from './forward-runner.js';
import type { DirectTransport, ForwardedRequest, ResponseSink } from './forwarding.js';

const ROUTE = {
  name: 'r',
  kind: 'streaming',
  backends: [{ service: 's', weight: 1 }],
  timeoutMs: 5_000,
  targetMs: 300,
  maxAttempts: 3,
} as unknown as Route;

/** Forwards a request whose caller's connection throws `thrown` when the response is written. */
async function forward(thrown: Error) {
  const clock = new SystemClock();
  const metrics = new Metrics();
  const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
  const released: string[] = [];
  const slot = {
    replicaId: 'r1',
    address: 'a:1',
    permitId: 'p',
    revoked: new AbortController().signal,
  } as unknown as Slot;
  const aborted: boolean[] = [];
  const direct: DirectTransport = {
    probe: () => Promise.resolve(true),
    send: async (_call, listener, signal) => {
      listener.onHead({ status: 200, headers: [], notRun: false, framing: 'chunks' });
      listener.onData(Buffer.from('id: 1\ndata: a\n\n'));
      await Promise.resolve();
      aborted.push(signal.aborted);
      return { kind: 'cancelled', detail: '' };
    },
  };
  const transport = new RelayedTransport({ direct, client: {} as RelayClient, clock, metrics, log });
  const runner = new ForwardRunner({
    view: {
      blockedPrompts: new BlockedPrompts(),
      originOf: () => ({ service: 's', softwareVersion: 'v1' }),
      confirmsOrigin: () => true,
      isUsable: () => true,
      replicas: { revision: 1 },
      configurationVersion: 1,
    },
    permits: {
      acquire: () => Promise.resolve(ok(slot)),
      release: (_slot: Slot, { end }: { end: string }) => released.push(end),
      recordRequestLimit: () => undefined,
    },
    transport,
    origins: {},
    leavingAnnouncements: {},
    clock,
    metrics,
    log,
    random: () => 0,
    organisationUsage: new OrganisationUsage(),
    responseBuffers: new BufferBudget(1_000_000),
  } as unknown as ForwardDependencies);
  const request = {
    requestId: 'q',
    method: 'POST',
    host: 'h',
    target: '/t',
    headers: [],
    body: Buffer.alloc(0),
    arrivedAtMs: clock.monotonicMs(),
    wholeAtMs: clock.monotonicMs(),
    deadlineMs: clock.monotonicMs() + 5_000,
    costTokens: 1,
    prefixDigest: '',
    sharedPartIds: [],
  } as ForwardedRequest;
  const sink = {
    head: () => {
      throw thrown;
    },
  } as unknown as ResponseSink;
  const end = runner.run(request, ROUTE, sink, new AbortController().signal);
  await expect(end).rejects.toBe(thrown);
  return { released, aborted, openRequests: runner.openRequests };
}

describe('ForwardRunner', () => {
  // Guards against an error of one caller's response that leaves the process, or that keeps a slot occupied for good.
  it('gives the slot back and ends the call when the response cannot be written', async () => {
    const { released, aborted, openRequests } = await forward(new RangeError('unexpected'));
    expect(released).toEqual(['cancelled']);
    expect(aborted).toEqual([true]);
    expect(openRequests).toBe(0);
  });
});

import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { Metrics, fail } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { MemoryKeyValueService, StoreErrorKind } from '@fighub/outside';
import type { PeerNoticeName, PeerRequestName } from '@fighub/peers';
import { PeerNode } from '@fighub/peers';
import { pino } from 'pino';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { ServingAdapters } from './serving-container.js';
import { startServing } from './serving-instance.js';
import { servingSettingsSchema } from './settings.js';

const HOST = '127.0.0.1';
const SECRET = 'a-secret-of-this-test-fleet';
const ODD_BODIES: readonly unknown[] = [undefined, null, 7, 'text', [], [null], {}, { accepted: true }];
const ODD_FIELDS: readonly unknown[] = [
  { from: null, updates: [], table: { revisions: [1] } },
  { updates: [null], members: [null], streams: [null], loads: [null], observations: [null] },
  { version: Number.NaN, ageMs: 'soon', outcome: null, configuration: {}, directory: {} },
  {
    version: 99,
    ageMs: Number.NaN,
    configuration: { version: Number.NaN, routes: null },
    directory: { revision: 'x', replicas: null },
  },
];
const REQUESTS: readonly PeerRequestName[] = [
  'permit.renew',
  'permit.acquire',
  'swim.members',
  'swim.indirect',
  'pool.load',
  'configuration.prove',
  'view.fetch',
  'stream.origin',
  'store.call',
  'relay.state',
  'relay.call',
  'job.item',
  'job.results',
];
const NOTICES: readonly PeerNoticeName[] = [
  'permit.withdraw',
  'permit.release',
  'permit.granted',
  'permit.refused',
  'permit.revoked',
  'owner.suspected',
  'replica.leaving',
  'permit.progress',
  'replicas.observed',
  'relay.part',
  'relay.read',
  'relay.cancel',
  'stream.begun',
  'job.cancelled',
  'job.offered',
  'view.pushed',
  'swim.update',
];

const unavailable = () => Promise.resolve(fail({ kind: StoreErrorKind.unavailable, detail: 'no store' }));
const ADAPTERS: ServingAdapters = {
  keyValueService: new MemoryKeyValueService(),
  fleetSource: {
    nextConfiguration: unavailable,
    currentConfiguration: unavailable,
    readDirectory: unavailable,
  } as unknown as ServingAdapters['fleetSource'],
  instanceList: {
    read: () => Promise.resolve(fail('no list')),
    announce: () => Promise.resolve(),
  } as unknown as ServingAdapters['instanceList'],
  transport: {} as unknown as ServingAdapters['transport'],
};

const rejections: unknown[] = [];
const onRejection = (error: unknown): unknown => rejections.push(error);
const cleanUp: (() => unknown)[] = [];

async function freePort(): Promise<number> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, HOST, resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}

/** A coordinator of another release. It responds to pings as expected after `oddPings` of them, and to the rest with `body`. */
async function startOddPeer(body: unknown, oddPings: number) {
  const node = new PeerNode(
    { instanceId: 'odd', host: HOST, port: 0, secret: SECRET },
    new Metrics(),
    () => undefined,
  );
  const peerAddress = `${HOST}:${String(await node.listen())}`;
  const from: MemberUpdate = {
    instanceId: 'odd',
    failureDomain: 'd',
    peerAddress,
    state: 'alive',
    incarnation: 1,
    schedules: true,
  };
  const asked = new Set<string>();
  let pings = 0;
  const answer = (name: string): never => {
    asked.add(name);
    return body as never;
  };
  REQUESTS.forEach((name) => node.onRequest(name, () => answer(name)));
  node.onRequest('swim.ping', () => {
    pings += 1;
    if (pings <= oddPings) return answer('swim.ping');
    return { from, updates: [], table: { revisions: [99] }, liveDigest: pings };
  });
  cleanUp.push(() => node.close());
  return { node, peerAddress, asked, pings: () => pings };
}

async function startInstance(seedAddress: string, coordinates: boolean) {
  const peerAddress = `${HOST}:${String(await freePort())}`;
  const settings = servingSettingsSchema.parse({
    instanceName: 'self',
    failureDomain: 'd',
    host: HOST,
    peerAddress,
    seedAddresses: [seedAddress],
    fleetSecret: SECRET,
    coordinates,
    store: { address: `${HOST}:1`, readsPerSecond: 10, writesPerSecond: 10 },
    peers: { probePeriodMs: 30 },
  });
  const errors: unknown[] = [];
  const instance = await startServing(settings, ADAPTERS, pino({ level: 'silent' }), (error) =>
    errors.push(error),
  );
  cleanUp.push(async () => {
    const closed = instance.close();
    await Promise.race([closed, instance.close()]);
  });
  return { instance, peerAddress, errors };
}

beforeEach(() => process.on('unhandledRejection', onRejection));
afterEach(async () => {
  await Promise.all(cleanUp.splice(0).map((end) => end()));
  process.off('unhandledRejection', onRejection);
  rejections.length = 0;
});

describe('an instance beside one of another release', () => {
  it.each(
    [...ODD_BODIES, ...ODD_FIELDS].flatMap((body) =>
      [false, true].map((coordinates) => ({ body, coordinates })),
    ),
  )(
    'goes on after $body as response and as message (coordinates: $coordinates)',
    async ({ body, coordinates }) => {
      const odd = await startOddPeer(body, 3);
      const { instance, peerAddress, errors } = await startInstance(odd.peerAddress, coordinates);
      await vi.waitUntil(() => odd.pings() >= 10 && odd.asked.has('view.fetch'), { timeout: 8_000 });
      NOTICES.forEach((name) => odd.node.notify(peerAddress, name, body as never));
      const messages = [...REQUESTS, 'swim.ping' as const];
      await Promise.all(messages.map((name) => odd.node.request(peerAddress, name, body as never, 300)));
      await instance.components.store.read('a key that nobody has written').catch(() => undefined);
      const pingsBefore = odd.pings();
      await vi.waitUntil(() => odd.pings() >= pingsBefore + 3, { timeout: 8_000 });
      expect({ rejections, errors }).toEqual({ rejections: [], errors: [] });
    },
    20_000,
  );
});

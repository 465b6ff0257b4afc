import type { LineWriter } from '@fighub/core';
import { DecisionLog, ManualClock, Metrics } from '@fighub/core';
import { keepersOf } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { StreamOriginExchange } from './stream-origin-exchange.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const STREAM = { requestId: 'q1', requestDigest: 'd1' };
const ORIGIN = { service: 's', softwareVersion: 'v1' };
const KEEPER_IDS = ['a', 'b', 'c'];
const MEMBERS = KEEPER_IDS.map((instanceId) => ({ instanceId, peerAddress: instanceId, schedules: true }));

type Handler = (body: unknown) => unknown;

/** Instances that exchange messages in this process. Those in `silent` receive none. */
function fleetOf(instanceIds: readonly string[], silent: ReadonlySet<string>) {
  const clock = new ManualClock();
  const handlers = new Map<string, Handler>();
  const exchanges = new Map(
    instanceIds.map((self) => {
      const deliver = (to: string, name: string, body: unknown): unknown =>
        silent.has(to) ? undefined : handlers.get(`${to} ${name}`)?.(body);
      const node = {
        onNotice: (name: string, handler: Handler) => handlers.set(`${self} ${name}`, handler),
        onRequest: (name: string, handler: Handler) => handlers.set(`${self} ${name}`, handler),
        notify: deliver,
        request: (to: string, name: string, body: unknown) => {
          const value = deliver(to, name, body);
          return Promise.resolve(value === undefined ? { ok: false, error: 'timeout' } : { ok: true, value });
        },
      } as unknown as PeerNode;
      const members = {
        owners: () => MEMBERS,
        membership: { get: (id: string) => MEMBERS.find(({ instanceId }) => instanceId === id) },
      } as unknown as MembershipRunner;
      const metrics = new Metrics();
      const log = new DecisionLog(DISCARDING_WRITER, clock, metrics);
      return [
        self,
        new StreamOriginExchange(
          () => self,
          () => members,
          node,
          clock,
          metrics,
          log,
        ),
      ] as const;
    }),
  );
  const exchange = (id: string): StreamOriginExchange =>
    exchanges.get(id) ?? expect.fail(`no instance ${id}`);
  return { clock, exchange };
}

describe('StreamOriginExchange', () => {
  it('finds an origin at one of its keepers when the other keepers and the first instance do not respond', async () => {
    const [firstKeeper] = keepersOf(STREAM.requestDigest, MEMBERS);
    const silent = new Set<string>();
    const { exchange } = fleetOf([...KEEPER_IDS, 'entry-1', 'entry-2'], silent);
    exchange('entry-1').record({ ...STREAM, origin: ORIGIN, keepForMs: 5_000 });
    await new Promise((resolve) => setImmediate(resolve));
    KEEPER_IDS.filter((id) => id !== firstKeeper).forEach((id) => silent.add(id));
    silent.add('entry-1');
    expect(await exchange('entry-2').find(STREAM)).toEqual(ORIGIN);
  });

  it('guesses nothing while one of the keepers knows of another stream of the request', async () => {
    const [firstKeeper = ''] = keepersOf(STREAM.requestDigest, MEMBERS);
    const silent = new Set<string>();
    const { exchange } = fleetOf([...KEEPER_IDS, 'entry-1', 'entry-2'], silent);
    const unnamed = { requestDigest: STREAM.requestDigest };
    const flush = () => new Promise((resolve) => setImmediate(resolve));
    exchange('entry-1').record({ ...STREAM, origin: ORIGIN, keepForMs: 5_000 });
    await flush();
    expect(await exchange('entry-2').find(unnamed)).toEqual(ORIGIN);
    silent.add(firstKeeper);
    const other = { ...STREAM, requestId: 'q2', origin: { ...ORIGIN, softwareVersion: 'v2' } };
    exchange('entry-2').record({ ...other, keepForMs: 5_000 });
    await flush();
    silent.clear();
    expect(await exchange('entry-1').find(unnamed)).toBeUndefined();
    expect(await exchange('entry-1').find(STREAM)).toEqual(ORIGIN);
  });

  it('finds no origin when no keeper responds, and none after its caller has stopped waiting', async () => {
    const silent = new Set<string>();
    const { clock, exchange } = fleetOf([...KEEPER_IDS, 'entry-1', 'entry-2'], silent);
    exchange('entry-1').record({ ...STREAM, origin: ORIGIN, keepForMs: 5_000 });
    await new Promise((resolve) => setImmediate(resolve));
    KEEPER_IDS.forEach((id) => silent.add(id));
    expect(await exchange('entry-2').find(STREAM)).toBeUndefined();
    silent.clear();
    expect(await exchange('entry-2').find(STREAM)).toEqual(ORIGIN);
    clock.advance(5_000);
    expect(await exchange('entry-2').find(STREAM)).toBeUndefined();
  });
});

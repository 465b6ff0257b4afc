import { DecisionLog, Metrics, SystemClock } from '@fighub/core';
import { BufferBudget } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import { PeerNode } from '@fighub/peers';
import { afterEach, describe, expect, it, vi } from 'vitest';

import type {
  DirectTransport,
  UpstreamCall,
  UpstreamEnd,
  UpstreamHead,
  UpstreamListener,
} from '../online/forwarding.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { LeavingAnnouncements } from '../routing/leaving-announcements.js';
import { RelayClient } from './relay-client.js';
import { RelayServer } from './relay-server.js';
import { RelayedTransport } from './relayed-transport.js';

const HOST = '127.0.0.1';
/** Memory for request bodies. */
const BODIES_BYTES = 1_000;
const HEAD: UpstreamHead = { status: 200, headers: [['Seal', 's']], framing: 'chunks', notRun: false };
const UNREACHABLE: UpstreamEnd = { kind: 'not_connected', detail: 'refused', unreachable: true };

/** The path of one instance to the replicas, with the calls that took it. */
class FakePath implements DirectTransport {
  isCut = false;
  /** How calls end while the path is cut. */
  cutEnd: UpstreamEnd = UNREACHABLE;
  readonly calls: UpstreamCall[] = [];
  readonly cancelled: string[] = [];
  /** What the replica does with a call. */
  respond: (listener: UpstreamListener) => Promise<UpstreamEnd> = (listener) => {
    listener.onHead(HEAD);
    listener.onData(Buffer.from('whole '));
    listener.onData(Buffer.from('body'));
    return Promise.resolve({ kind: 'complete', detail: '' });
  };

  async send(call: UpstreamCall, listener: UpstreamListener, signal: AbortSignal): Promise<UpstreamEnd> {
    this.calls.push(call);
    if (this.isCut) return this.cutEnd;
    if (!call.mayBegin()) return { kind: 'not_connected', detail: 'not begun' };
    const stopped = new Promise<UpstreamEnd>((resolve) =>
      signal.addEventListener('abort', () => {
        this.cancelled.push(call.requestId);
        resolve({ kind: 'cancelled', detail: '' });
      }),
    );
    return Promise.race([this.respond(listener), stopped]);
  }

  probe(): Promise<boolean> {
    return Promise.resolve(!this.isCut);
  }
}

interface Instance {
  readonly instanceId: string;
  readonly node: PeerNode;
  readonly path: FakePath;
  readonly transport: RelayedTransport;
  readonly server: RelayServer;
  readonly requestBodies: BufferBudget;
  readonly leaving: string[];
}

const nodes: PeerNode[] = [];
afterEach(() => nodes.splice(0).forEach((node) => node.close()));

/** Instances that reach each other; whether one reaches the replicas is set by its path. */
async function start(count: number): Promise<Instance[]> {
  const members: { instanceId: string; peerAddress: string; failureDomain: string }[] = [];
  const membership = () =>
    ({
      owners: () => members,
      membership: {
        version: members.length,
        get: (id: string) => members.find(({ instanceId }) => instanceId === id),
      },
    }) as unknown as MembershipRunner;
  const startOne = async (instanceId: string): Promise<Instance> => {
    const clock = new SystemClock();
    const metrics = new Metrics();
    const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
    const node = new PeerNode({ instanceId, host: HOST, port: 0, secret: 's' }, metrics, (error) => {
      throw error;
    });
    nodes.push(node);
    members.push({ instanceId, peerAddress: `${HOST}:${String(await node.listen())}`, failureDomain: 'd' });
    const self = { selfId: instanceId, failureDomain: 'd' };
    const client = new RelayClient({ ...self, members: membership, node, clock, metrics });
    const path = new FakePath();
    const transport = new RelayedTransport({ direct: path, client, clock, metrics, log });
    const leaving: string[] = [];
    const requestBodies = new BufferBudget(BODIES_BYTES);
    const server = new RelayServer(
      {
        direct: transport.directPath,
        view: { isUsable: (id: string) => id !== 'leaving' } as unknown as FleetView,
        leavingAnnouncements: {
          onResponse: (id: string) => leaving.push(id),
        } as unknown as LeavingAnnouncements,
        members: membership,
        node,
        requestBodies,
        clock,
        metrics,
        log,
      },
      () => transport.arePathsLost,
    );
    return { instanceId, node, path, transport, server, requestBodies, leaving };
  };
  const instances: Instance[] = [];
  for (let index = 0; index < count; index += 1) instances.push(await startOne(`i${String(index)}`));
  return instances;
}

/** Receives a response. */
class Receiver implements UpstreamListener {
  readonly heads: UpstreamHead[] = [];
  readonly leavingIds: string[] = [];
  body = '';
  ready: Promise<void> | undefined;

  onLeaving(replicaId: string): void {
    this.leavingIds.push(replicaId);
  }

  onHead(head: UpstreamHead): void {
    this.heads.push(head);
  }

  onData(part: Buffer): void {
    this.body += part.toString();
  }

  whenReady(): Promise<void> | undefined {
    return this.ready;
  }
}

const callTo = (replicaId: string, requestId = 'q'): UpstreamCall => ({
  replicaId,
  address: `${replicaId}:1`,
  requestId,
  method: 'POST',
  host: 'h',
  target: '/t',
  headers: [['Model', 'm']],
  body: Buffer.from('prompt'),
  deadlineMs: performance.now() + 5_000,
  mayBegin: () => true,
});

async function send(
  { transport }: Instance,
  replicaId = 'r',
  requestId = 'q',
  signal = new AbortController().signal,
): Promise<{ end: UpstreamEnd; receiver: Receiver }> {
  const receiver = new Receiver();
  return { end: await transport.send(callTo(replicaId, requestId), receiver, signal), receiver };
}

/** Cuts an instance off and sends the requests that show it. */
async function cutOff(instance: Instance): Promise<void> {
  instance.path.isCut = true;
  await send(instance, 'r1');
  await send(instance, 'r2');
  expect(instance.transport.arePathsLost).toBe(true);
}

async function eventually(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

describe('RelayedTransport', () => {
  it('relays the request and its response unchanged, without another attempt of its own', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    const attempts = holder.path.calls.length;
    const { end, receiver } = await send(holder);
    expect(end).toEqual({ kind: 'complete', detail: '', relayedBy: 'i1' });
    expect(receiver).toMatchObject({ heads: [HEAD], body: 'whole body' });
    expect(holder.path.calls).toHaveLength(attempts);
    const [call] = relay.path.calls.slice(-1);
    const { replicaId, address, requestId, method, host, target, headers, body } = callTo('r');
    expect(call).toMatchObject({ replicaId, address, requestId, method, host, target, headers });
    expect(call?.body.equals(body)).toBe(true);
    expect((call?.deadlineMs ?? 0) - performance.now()).toBeLessThanOrEqual(5_000);
  });

  it('serves the request whose failure shows the loss of the paths', async () => {
    const [holder] = (await start(2)) as [Instance];
    holder.path.isCut = true;
    expect((await send(holder, 'r1')).end).toEqual(UNREACHABLE);
    expect((await send(holder, 'r2')).end.kind).toBe('complete');
  });

  it('finds a relay among instances that have lost their paths too', async () => {
    const instances = (await start(6)) as [Instance, ...Instance[]];
    instances.slice(0, 5).forEach(({ path }) => (path.isCut = true));
    await Promise.all(instances.slice(1, 5).flatMap((each) => [send(each, 'r1'), send(each, 'r2')]));
    await cutOff(instances[0]);
    expect((await send(instances[0])).end).toMatchObject({ kind: 'complete', relayedBy: 'i5' });
  });

  it('tries another relay when one does not reach the replica and does not know of it yet', async () => {
    const instances = (await start(3)) as [Instance, Instance, Instance];
    await cutOff(instances[0]);
    instances[1].path.isCut = true;
    const ends = await Promise.all(['a', 'b', 'c', 'd'].map((id) => send(instances[0], 'r', id)));
    expect(ends.map(({ end }) => end.kind)).toEqual(['complete', 'complete', 'complete', 'complete']);
  });

  it('says that nothing was sent, and nothing of the replica, when no instance reaches any replica', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    relay.path.isCut = true;
    await Promise.all([send(relay, 'r1'), send(relay, 'r2')]);
    await cutOff(holder);
    expect((await send(holder)).end).toEqual({ ...UNREACHABLE, pathsLost: true });
  });

  it('says nothing of the replica when the relaying instance lacks what a connection needs', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.isCut = true;
    relay.path.cutEnd = { ...UNREACHABLE, detail: 'EMFILE', pathsLost: true };
    const { end } = await send(holder);
    expect(end).toEqual({ kind: 'not_connected', detail: 'EMFILE', relayedBy: 'i1', pathsLost: true });
  });

  it('relays no call whose body has no room beside those of its own callers, and later ones once there is room', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.requestBodies.take(BODIES_BYTES - 1);
    expect((await send(holder, 'r', 'a')).end).toMatchObject({ kind: 'not_connected' });
    relay.requestBodies.release(BODIES_BYTES - 1);
    // The holder asks the relay again after a while.
    const isRelayed = async () => expect((await send(holder, 'r', 'b')).end.kind).toBe('complete');
    await vi.waitFor(isRelayed, { timeout: 10_000 });
    await vi.waitFor(() => {
      expect(relay.requestBodies.take(BODIES_BYTES)).toBe(true);
    });
  });

  it('never relays a call for another instance that it cannot make itself', async () => {
    const [holder, relay] = (await start(3)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.isCut = true;
    const before = relay.path.calls.length;
    await send(holder, 'r', 'only-once');
    const made = relay.path.calls.slice(before).filter(({ requestId }) => requestId === 'only-once');
    expect(made.length).toBeLessThanOrEqual(1);
  });

  // Guards against a malformed head that a relay of an earlier release passes on.
  it.each([
    ['a status below 100', { ...HEAD, status: 0 }],
    ['a header without a name', { ...HEAD, headers: [['', 'x']] as const }],
  ])('cannot use a relayed response with %s', async (_fault, head) => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.respond = (listener) => {
      listener.onHead(head);
      listener.onData(Buffer.from('body'));
      return Promise.resolve({ kind: 'complete', detail: '' });
    };
    const { end, receiver } = await send(holder);
    expect(end).toMatchObject({ kind: 'unusable', relayedBy: relay.instanceId });
    expect([receiver.heads, receiver.body]).toEqual([[], '']);
  });

  it('stops the relayed call when the caller leaves', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.respond = () => new Promise(() => undefined);
    const caller = new AbortController();
    const sending = send(holder, 'r', 'left', caller.signal);
    await eventually(() => relay.path.calls.some(({ requestId }) => requestId === 'left'));
    caller.abort();
    expect((await sending).end.kind).toBe('cancelled');
    await eventually(() => relay.path.cancelled.includes('left'));
  });

  it('sends nothing when the caller leaves before a relay is chosen', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    const caller = new AbortController();
    const sending = send(holder, 'r', 'left', caller.signal);
    caller.abort();
    await sending;
    await send(holder, 'r', 'later');
    expect(relay.path.calls.map(({ requestId }) => requestId)).not.toContain('left');
  });

  it('counts a call as possibly run when its relay is lost in the middle of the response', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.respond = (listener) => {
      listener.onHead(HEAD);
      return new Promise(() => undefined);
    };
    const sending = send(holder);
    await eventually(() => relay.path.calls.length > 1);
    relay.node.close();
    // The replica, and the request that it ran, are not to blame.
    expect((await sending).end).toMatchObject({ kind: 'broken', pathsLost: true });
  });

  it('stops what it relays when the holder is lost', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.respond = () => new Promise(() => undefined);
    void send(holder, 'r', 'lost');
    await eventually(() => relay.path.calls.some(({ requestId }) => requestId === 'lost'));
    holder.node.close();
    await eventually(() => relay.path.cancelled.includes('lost'));
  });

  it('reads no more of a response than a window while its receiver cannot take more', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    const part = Buffer.alloc(65_536, 'x');
    const total = 40;
    let sent = 0;
    relay.path.respond = async (listener) => {
      listener.onHead(HEAD);
      for (sent = 0; sent < total; sent += 1) {
        listener.onData(part);
        await listener.whenReady();
      }
      return { kind: 'complete', detail: '' };
    };
    const receiver = new Receiver();
    let resume: () => void = () => undefined;
    receiver.ready = new Promise((resolve) => (resume = resolve));
    const sending = holder.transport.send(callTo('r'), receiver, new AbortController().signal);
    await eventually(() => receiver.body.length >= 4 * part.length);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(sent).toBeLessThan(8);
    receiver.ready = undefined;
    resume();
    expect((await sending).kind).toBe('complete');
    expect(receiver.body.length).toBe(total * part.length);
  });

  it('does not relay to a replica that the relay knows to be leaving, and passes on what replicas state', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    expect((await send(holder, 'leaving')).end).toMatchObject({ kind: 'not_connected' });
    relay.path.respond = (listener) => {
      listener.onLeaving('r');
      listener.onHead({ ...HEAD, requestsPerSecond: 2.5, load: { running: 1, waiting: 0 } });
      return Promise.resolve({ kind: 'complete', detail: '' });
    };
    const { receiver } = await send(holder);
    expect(receiver.leavingIds).toEqual(['r']);
    expect(receiver.heads).toMatchObject([{ requestsPerSecond: 2.5, load: { running: 1, waiting: 0 } }]);
    expect(relay.leaving).toEqual(['r']);
  });

  it('gives a relay no more calls than its memory has room for', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    relay.path.respond = () => new Promise(() => undefined);
    const caller = new AbortController();
    const body = Buffer.alloc(870_000);
    const isLarge = ({ requestId }: UpstreamCall): boolean => requestId.startsWith('large');
    const largeCalls = (): number => [...holder.path.calls, ...relay.path.calls].filter(isLarge).length;
    const sending: Promise<UpstreamEnd>[] = [];
    for (let sent = 1; sent <= 60; sent += 1) {
      const call = { ...callTo('r', `large${String(sent)}`), body };
      sending.push(holder.transport.send(call, new Receiver(), caller.signal));
      await eventually(() => largeCalls() >= sent);
    }
    caller.abort();
    await Promise.all(sending);
    expect(relay.path.calls.filter(isLarge).length).toBeLessThanOrEqual(40);
  });

  it('gives a stopping relay no new calls, and waits there for those that are open', async () => {
    const [holder, relay, other] = (await start(3)) as [Instance, Instance, Instance];
    await cutOff(holder);
    let finish: () => void = () => undefined;
    const respond = (listener: UpstreamListener): Promise<UpstreamEnd> => {
      listener.onHead(HEAD);
      return new Promise((resolve) => (finish = () => resolve({ kind: 'complete', detail: '' })));
    };
    relay.path.respond = respond;
    other.path.respond = respond;
    const sending = send(holder, 'r', 'open');
    const isAt = ({ path }: Instance): boolean => path.calls.some(({ requestId }) => requestId === 'open');
    await eventually(() => isAt(relay) || isAt(other));
    const stopping = isAt(relay) ? relay : other;
    const finishOpen = finish;
    let isDrained = false;
    const drained = stopping.server.drain(new AbortController().signal).then(() => (isDrained = true));
    const ends = ['a', 'b', 'c'].map((id) => send(holder, 'r', id));
    const running = stopping === relay ? other : relay;
    await eventually(() => running.path.calls.length >= 3);
    expect(isDrained).toBe(false);
    running.path.cancelled.length = 0;
    finishOpen();
    await drained;
    expect((await sending).end.kind).toBe('complete');
    nodes.splice(0).forEach((node) => node.close());
    await Promise.all(ends);
  });

  it('sends directly again once it reaches replicas', async () => {
    const [holder, relay] = (await start(2)) as [Instance, Instance];
    await cutOff(holder);
    await send(holder);
    holder.path.isCut = false;
    await eventually(() => {
      holder.transport.run(performance.now());
      return !holder.transport.arePathsLost;
    });
    const before = relay.path.calls.length;
    expect((await send(holder)).end).toEqual({ kind: 'complete', detail: '' });
    expect(relay.path.calls).toHaveLength(before);
  });
});

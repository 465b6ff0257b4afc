import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { Metrics } from '@fighub/core';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { FrameKind, encodeFrame } from './frame.js';
import { HANDSHAKE_TIMEOUT_MS, HEARTBEAT_PERIOD_MS, SILENCE_LIMIT_MS } from './peer-connection.js';
import { PeerFailure } from './peer-messages.js';
import { PeerNode } from './peer-node.js';

const TIMEOUT_MS = 1_000;
/** Longer than the time limit of a test, which ends a wait that never succeeds. */
const WAIT = { timeout: 600_000 };

/** Two nodes, one of which reaches the other through a proxy that can stop passing bytes on. */
class ProxiedNodes {
  isSilent = false;
  readonly dialling = newNode('dialling');
  private readonly accepting = newNode('accepting');
  private proxy: Server | undefined;
  private readonly sockets: Socket[] = [];

  /** Responds to the request for a job's results; undefined until it has arrived. */
  respond: (() => void) | undefined;

  /** Starts listening and returns the address of the proxy. */
  async start(): Promise<string> {
    this.accepting.onRequest('swim.members', () => ({ members: [] }));
    this.accepting.onRequest('job.results', async () => {
      await new Promise<void>((resolve) => (this.respond = resolve));
      return { held: false, itemCount: 0, committedCount: 0, results: [] };
    });
    const port = await this.accepting.listen();
    const proxy = createServer((socket) => this.relay(socket, connect(port, '127.0.0.1')));
    this.proxy = proxy;
    await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${String((proxy.address() as AddressInfo).port)}`;
  }

  stop(): void {
    this.dialling.close();
    this.accepting.close();
    this.sockets.forEach((socket) => socket.destroy());
    this.proxy?.close();
  }

  private relay(near: Socket, far: Socket): void {
    this.sockets.push(near, far);
    near.on('data', (bytes) => this.isSilent || far.write(bytes));
    far.on('data', (bytes) => this.isSilent || near.write(bytes));
  }
}

function newNode(instanceId: string): PeerNode {
  return new PeerNode({ instanceId, host: '127.0.0.1', port: 0, secret: 's' }, new Metrics(), (error) => {
    throw error;
  });
}

/** Holds up the process. */
function pauseProcess(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

describe('PeerConnection', () => {
  let nodes: ProxiedNodes;

  afterEach(() => nodes.stop());

  it('sends no heartbeats after the response to its last message', async () => {
    nodes = new ProxiedNodes();
    const address = await nodes.start();
    expect((await nodes.dialling.request(address, 'swim.members', {}, TIMEOUT_MS)).ok).toBe(true);
    const before = nodes.dialling.traffic();
    await pause(3 * HEARTBEAT_PERIOD_MS);
    expect(nodes.dialling.traffic()).toEqual(before);
  });

  it('sends one heartbeat after a notice, which has no response', async () => {
    nodes = new ProxiedNodes();
    const address = await nodes.start();
    await nodes.dialling.request(address, 'swim.members', {}, TIMEOUT_MS);
    nodes.dialling.notify(address, 'job.offered', { jobId: 'j' });
    const received = nodes.dialling.traffic().bytesReceived;
    await vi.waitUntil(() => nodes.dialling.traffic().bytesReceived > received, WAIT);
    const confirmed = nodes.dialling.traffic();
    await pause(2 * HEARTBEAT_PERIOD_MS);
    expect(nodes.dialling.traffic()).toEqual(confirmed);
  });

  it('does not take the response to an earlier request for a sign that a notice has arrived', async () => {
    nodes = new ProxiedNodes();
    const address = await nodes.start();
    await nodes.dialling.request(address, 'swim.members', {}, TIMEOUT_MS);
    const earlier = nodes.dialling.request(address, 'job.results', { jobId: 'j', afterPosition: 0 }, 60_000);
    await vi.waitUntil(() => nodes.respond !== undefined, WAIT);
    nodes.dialling.notify(address, 'job.offered', { jobId: 'j' });
    nodes.respond?.();
    await earlier;
    const { bytesSent } = nodes.dialling.traffic();
    await vi.waitUntil(() => nodes.dialling.traffic().bytesSent > bytesSent, WAIT);
  });

  it('is closed when nothing is received after a notice', async () => {
    nodes = new ProxiedNodes();
    const address = await nodes.start();
    await nodes.dialling.request(address, 'swim.members', {}, TIMEOUT_MS);
    const closed = new Promise<void>((resolve) => nodes.dialling.onOutboundClosed(() => resolve()));
    nodes.isSilent = true;
    nodes.dialling.notify(address, 'job.offered', { jobId: 'j' });
    await closed;
  });

  it('is not given up after a pause of this process in which the handshake could not go on', async () => {
    const [dialling, accepting] = [newNode('dialling'), newNode('accepting')];
    nodes = { stop: () => [dialling, accepting].forEach((node) => node.close()) } as ProxiedNodes;
    accepting.onRequest('swim.members', () => ({ members: [] }));
    const address = `127.0.0.1:${String(await accepting.listen())}`;
    const closed = vi.fn();
    dialling.onOutboundClosed(closed);
    const answer = dialling.request(address, 'swim.members', {}, 20_000);
    // The kernel establishes the connection meanwhile.
    process.nextTick(() => pauseProcess(HANDSHAKE_TIMEOUT_MS + HEARTBEAT_PERIOD_MS));
    expect((await answer).ok).toBe(true);
    expect(closed).not.toHaveBeenCalled();
  });

  it('is closed for a newer one while too many have not proven what they are, and never after its proof', async () => {
    const options = { host: '127.0.0.1', port: 0, secret: 's', maxUnprovenConnections: 3 };
    const [accepting, dialling] = [
      new PeerNode({ ...options, instanceId: 'accepting' }, new Metrics(), () => undefined),
      newNode('dialling'),
    ];
    const strangers: Socket[] = [];
    nodes = {
      stop: () => {
        strangers.forEach((socket) => socket.destroy());
        [dialling, accepting].forEach((node) => node.close());
      },
    } as ProxiedNodes;
    accepting.onRequest('swim.members', () => ({ members: [] }));
    const port = await accepting.listen();
    const ask = () => dialling.request(`127.0.0.1:${String(port)}`, 'swim.members', {}, TIMEOUT_MS);
    expect((await ask()).ok).toBe(true);
    const closed = vi.fn();
    dialling.onOutboundClosed(closed);
    strangers.push(...Array.from({ length: 10 }, () => connect(port, '127.0.0.1')));
    strangers.forEach((socket) => socket.on('error', () => undefined).resume());
    await vi.waitUntil(() => strangers.filter(({ destroyed }) => destroyed).length === 7, WAIT);
    expect((await ask()).ok).toBe(true);
    expect(closed).not.toHaveBeenCalled();
  });

  it('returns nothing to a stranger that sends heartbeats, which would fill the memory if it did not read', async () => {
    const [dialling, accepting] = [newNode('dialling'), newNode('accepting')];
    const port = await accepting.listen();
    const stranger = connect(port, '127.0.0.1');
    nodes = {
      stop: () => {
        stranger.destroy();
        [dialling, accepting].forEach((node) => node.close());
      },
    } as ProxiedNodes;
    let received = '';
    stranger.on('data', (bytes) => (received += bytes.toString('latin1')));
    stranger.on('error', () => undefined);
    stranger.write(encodeFrame({ kind: FrameKind.heartbeat, body: 'text of the stranger' }));
    await vi.waitUntil(() => stranger.destroyed, WAIT);
    expect(received).not.toContain('text of the stranger');
  });

  it('is not opened any more once its node is closed', async () => {
    const [dialling, accepting] = [newNode('dialling'), newNode('accepting')];
    nodes = { stop: () => [dialling, accepting].forEach((node) => node.close()) } as ProxiedNodes;
    accepting.onRequest('swim.members', () => ({ members: [] }));
    const address = `127.0.0.1:${String(await accepting.listen())}`;
    const ask = () => dialling.request(address, 'swim.members', {}, TIMEOUT_MS);
    expect((await ask()).ok).toBe(true);
    dialling.close();
    expect(await ask()).toEqual({ ok: false, error: PeerFailure.notConnected });
    dialling.notify(address, 'job.offered', { jobId: 'j' });
    expect(dialling.dump()).toMatchObject({ links: [], pendingCalls: 0 });
  });

  it('stays open after a pause of this process, whose responses have arrived meanwhile', async () => {
    const [dialling, accepting] = [newNode('dialling'), newNode('accepting')];
    const close = (): void => [dialling, accepting].forEach((node) => node.close());
    nodes = { stop: close } as ProxiedNodes;
    let pauseMs = 0;
    accepting.onRequest('swim.members', () => {
      // Runs once the response has been written.
      setImmediate(() => pauseProcess(pauseMs));
      return { members: [] };
    });
    const address = `127.0.0.1:${String(await accepting.listen())}`;
    const ask = () => dialling.request(address, 'swim.members', {}, TIMEOUT_MS);
    await ask();
    const closed = vi.fn();
    dialling.onOutboundClosed(closed);
    pauseMs = TIMEOUT_MS + 100;
    expect((await ask()).ok).toBe(true);
    dialling.notify(address, 'job.offered', { jobId: 'j' });
    const { bytesSent } = accepting.traffic();
    // The accepting node returns the heartbeat, which is read after the pause only.
    while (accepting.traffic().bytesSent === bytesSent) await new Promise((resolve) => setImmediate(resolve));
    pauseProcess(SILENCE_LIMIT_MS + HEARTBEAT_PERIOD_MS);
    await pause(2 * HEARTBEAT_PERIOD_MS);
    expect(closed).not.toHaveBeenCalled();
  });
});

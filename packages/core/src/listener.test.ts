import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { Listener } from './listener.js';

const HOST = '127.0.0.1';
const cleanUp: (() => void)[] = [];

/** Holds a free port until `close`. */
async function holdPort(): Promise<{ holder: Server; port: number }> {
  const holder = createServer();
  cleanUp.push(() => void holder.close());
  await new Promise<void>((resolve) => holder.listen(0, HOST, resolve));
  return { holder, port: (holder.address() as AddressInfo).port };
}

function listenerAt(port: number, host = HOST) {
  const events: string[] = [];
  const server = createServer();
  const record = (_: unknown, event: string, { code }: Readonly<Record<string, unknown>>): unknown =>
    events.push(code === undefined ? event : `${event} ${String(code)}`);
  const listener = new Listener(server, { host, port }, 'test server', { record });
  cleanUp.push(() => listener.close());
  return { server, listener, events };
}

const EXPECTED = ['listener_unavailable EADDRINUSE', 'listener_regained'];

afterEach(() => cleanUp.splice(0).forEach((end) => end()));

describe('Listener', () => {
  it('waits for an address that it needs while another process holds it', async () => {
    const { holder, port } = await holdPort();
    const { server, listener, events } = listenerAt(port);
    const bound = listener.bind(Number.POSITIVE_INFINITY);
    await vi.waitUntil(() => events.length === 1);
    holder.close();
    await bound;
    expect(server.listening).toBe(true);
    expect(events).toEqual(EXPECTED);
  });

  it('rejects with the address, the time and the cause when the wait is over', async () => {
    const { port } = await holdPort();
    const { listener } = listenerAt(port);
    await expect(listener.bind(performance.now() + 150)).rejects.toThrow(
      new RegExp(`the test server cannot listen on ${HOST}:${String(port)} after \\d+ ms: .*EADDRINUSE`),
    );
  });

  it('does not wait for what does not change by itself', async () => {
    await expect(listenerAt(1, 'no host').listener.bind(Number.POSITIVE_INFINITY)).rejects.toThrow(
      /cannot listen/,
    );
  });

  it('binds an optional address as soon as it is free', async () => {
    const { holder, port } = await holdPort();
    const { server, listener, events } = listenerAt(port);
    await listener.bindWhenFree(10);
    expect(server.listening).toBe(false);
    holder.close();
    await vi.waitUntil(() => server.listening);
    await vi.waitUntil(() => events.length === 2);
    expect(events).toEqual(EXPECTED);
  });

  it('stops trying when it is closed', async () => {
    const { holder, port } = await holdPort();
    const [optional, required] = [listenerAt(port), listenerAt(port)];
    await optional.listener.bindWhenFree(10);
    const bound = required.listener.bind(Number.POSITIVE_INFINITY);
    optional.listener.close();
    required.listener.close();
    holder.close();
    await bound;
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect([optional.server.listening, required.server.listening]).toEqual([false, false]);
  });

  it('logs errors of a server that listens, and goes on', async () => {
    const { server, listener, events } = listenerAt(0);
    await listener.bind(0);
    ['EMFILE', 'ENFILE', 'ECONNABORTED'].forEach((code) =>
      server.emit('error', Object.assign(new Error('accept'), { code })),
    );
    expect(events).toEqual(['listener_error EMFILE', 'listener_error ENFILE', 'listener_error ECONNABORTED']);
    expect(server.listening).toBe(true);
  });
});

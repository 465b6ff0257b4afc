import { request as requestHttp } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { ResetReportingAgent } from './connection-reset.js';

describe('ResetReportingAgent', () => {
  const server = createServer((socket) => {
    socket.write('last bytes', () => socket.resetAndDestroy());
  });

  afterEach(() => {
    server.close();
  });

  it('does not stop the process when a connection is reset that no request uses any more', async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const socket = new ResetReportingAgent().createConnection({ host: '127.0.0.1', port });
    socket?.resume();
    const hadError = await new Promise((resolve) => socket?.once('close', resolve));
    expect(hadError).toBe(true);
  });

  // The peer closes the connection in order and then resets it, before this process has read either.
  it('does not stop the process when a connection is reset before the response has begun', async () => {
    const resetting = createServer((socket) => {
      socket.once('data', () => {
        socket.end();
        setImmediate(() => socket.resetAndDestroy());
      });
    });
    await new Promise<void>((resolve) => resetting.listen(0, '127.0.0.1', resolve));
    const { port } = resetting.address() as AddressInfo;
    const errors: string[] = [];
    for (let index = 0; index < 200; index += 1) {
      const request = requestHttp({
        port,
        host: '127.0.0.1',
        agent: new ResetReportingAgent(),
        method: 'POST',
      });
      const closed = new Promise((resolve) => request.once('close', resolve));
      // Like a client that listens for a single error.
      request.once('error', (error) => errors.push(error.message));
      request.end('body');
      await new Promise((resolve) => request.once('finish', resolve));
      blockUntil(performance.now() + (index % 5));
      await closed;
    }
    resetting.close();
    expect(errors.length).toBe(200);
  });
});

/** Keeps the event loop from reading anything until then. */
function blockUntil(untilMs: number): void {
  while (performance.now() < untilMs);
}

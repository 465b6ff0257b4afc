import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { ConnectionGuard } from './connection-guard.js';
import { InputPacer } from './input-pacer.js';

const SMALL_CHUNKS = 50_000;
/** More requests than arrive with one read. */
const PIPELINED = 2_000;
const CHUNK = '1\r\na\r\n';
/** Bytes that are parsed in one turn of a connection that takes much work: a quarter of what one read of the socket brings. */
const TURN_BYTES = 16_384;
/** Longer than the time limit of a test, which ends a wait that never succeeds. */
const WAIT = { timeout: 600_000 };
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c41d07be2a35f68\r\nModel: m\r\n\r\n';

let server: Server;
const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  server.closeAllConnections();
  server.close();
});

async function start(handle: (req: IncomingMessage, res: ServerResponse) => void): Promise<number> {
  server = createServer(handle);
  new ConnectionGuard(server, { served: 100, refused: 10 }, 'test', new InputPacer(), {
    record: () => undefined,
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

function open(port: number): { socket: Socket; received: () => string } {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (part) => (text += part.toString('latin1')));
  socket.on('error', () => undefined);
  sockets.push(socket);
  return { socket, received: () => text };
}

describe('InputPacer', () => {
  it('lets other events in while a body in chunks of one byte is parsed, and loses nothing of it', async () => {
    let bytes = 0;
    let mostAtOnce = 0;
    let atOnce = 0;
    const port = await start((req, res) => {
      const countTurn = (): void => {
        mostAtOnce = Math.max(mostAtOnce, atOnce);
        atOnce = 0;
        if (!req.complete) setImmediate(countTurn);
      };
      setImmediate(countTurn);
      req.on('data', (part: Buffer) => {
        bytes += part.length;
        atOnce += part.length;
        // As costly as on a slow machine, so that the slices stay short on any.
        const untilMs = performance.now() + 0.01;
        while (performance.now() < untilMs);
      });
      req.on('end', () => res.end(String(bytes)));
    });
    const { socket, received } = open(port);
    socket.write(`${HEAD}${CHUNK.repeat(SMALL_CHUNKS)}0\r\n\r\n`);
    await vi.waitUntil(() => received().endsWith(String(SMALL_CHUNKS)), WAIT);
    expect(mostAtOnce * CHUNK.length).toBeLessThan(TURN_BYTES);
  });

  it('passes long bodies on whole, in any chunks', async () => {
    const port = await start((req, res) => {
      const parts: Buffer[] = [];
      req.on('data', (part: Buffer) => parts.push(part));
      req.on('end', () => res.end(Buffer.concat(parts).toString('latin1')));
    });
    const body = Array.from({ length: 300 }, (_, index) => String(index).repeat(1 + ((index * 7) % 400)));
    const { socket, received } = open(port);
    const chunked = body.map((text) => `${text.length.toString(16)}\r\n${text}\r\n`).join('');
    socket.write(`${HEAD.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n')}${chunked}0\r\n\r\n`);
    await vi.waitUntil(() => socket.readableEnded, WAIT);
    expect(received()).toContain(body.join(''));
  });

  it('does not begin the next requests of a connection before the first is answered', async () => {
    const waiting: ServerResponse[] = [];
    const port = await start((_, res) => waiting.push(res));
    const { socket, received } = open(port);
    socket.write(REQUEST.repeat(PIPELINED));
    await vi.waitUntil(() => waiting.length > 0, WAIT);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(waiting.length).toBeLessThan(PIPELINED / 20);
    const answered = new Set<ServerResponse>();
    const answer = (): boolean => {
      waiting.filter((res) => !answered.has(res)).forEach((res) => answered.add(res.end('.')));
      return answered.size === PIPELINED;
    };
    await vi.waitUntil(answer, { ...WAIT, interval: 1 });
    expect(socket.destroyed).toBe(false);
    expect(received()).toContain('200 OK');
  });

  it('tells the server at once when a caller has closed its connection', async () => {
    let closed = false;
    const port = await start((req) => req.socket.once('end', () => (closed = true)));
    const { socket } = open(port);
    socket.write(REQUEST);
    socket.end(REQUEST);
    await vi.waitUntil(() => closed, WAIT);
  });
});

describe('ConnectionGuard', () => {
  it('never answers what cannot be parsed in place of an earlier request', async () => {
    let response: ServerResponse | undefined;
    const port = await start((_, res) => (response = res));
    const { socket, received } = open(port);
    socket.write(REQUEST);
    await vi.waitUntil(() => response !== undefined, WAIT);
    socket.write('this is no request\r\n\r\n');
    await vi.waitUntil(() => socket.destroyed, WAIT);
    expect(received()).toBe('');
  });

  it.each([
    ['this is no request\r\n\r\n', '400'],
    [`GET / HTTP/1.1\r\nX: ${'a'.repeat(70_000)}\r\n\r\n`, '431'],
    [`${HEAD}no chunk\r\n`, '400'],
  ])('answers what cannot be parsed: %#', async (text, status) => {
    const port = await start(() => undefined);
    const { socket, received } = open(port);
    socket.write(text);
    await vi.waitUntil(() => received() !== '', WAIT);
    expect(received()).toContain(`HTTP/1.1 ${status}`);
  });
});

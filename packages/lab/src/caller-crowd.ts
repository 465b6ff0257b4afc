/**
 * Callers that exceed the limits of the service: many connections, each of which sends the same bytes and then stays open without ending
 * its request. What is sent is written as fast as the other end takes it.
 */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import { sleep, splitAddress } from '@fighub/core';

/** Connections that are opened at once, for which the queue of new connections has room. */
const OPENED_AT_ONCE = 50;
const POLL_PERIOD_MS = 25;

/** A connection of the crowd, with the bytes that came back on it. */
export interface CrowdCaller {
  readonly socket: Socket;
  received: string;
  isOpen: boolean;
  isClosed: boolean;
}

/** Callers that stay until `leave` is called. */
export class CallerCrowd {
  readonly callers: CrowdCaller[] = [];

  /** Opens `count` connections to a `host:port` address and writes the bytes of `messageOf` on each of them. */
  async send(address: string, count: number, messageOf: (index: number) => readonly Buffer[]): Promise<void> {
    if (count === 0) return;
    const first = this.callers.length;
    const step = Array.from({ length: Math.min(count, OPENED_AT_ONCE) }, (_, index) =>
      this.open(address, messageOf(first + index)),
    );
    await eventually(() => step.every(({ isOpen, isClosed }) => isOpen || isClosed));
    await this.send(address, count - step.length, messageOf);
  }

  /** Waits until the other end has taken all bytes, or closed the connection, of at least `count` callers. */
  async sent(count = this.callers.length): Promise<void> {
    await eventually(
      () =>
        this.callers.filter(({ socket, isClosed }) => isClosed || socket.writableLength === 0).length >=
        count,
    );
  }

  /** Closes all connections. */
  leave(): void {
    this.callers.splice(0).forEach(({ socket }) => socket.destroy());
  }

  private open(address: string, message: readonly Buffer[]): CrowdCaller {
    const { host, port } = splitAddress(address);
    const caller: CrowdCaller = { socket: connect(port, host), received: '', isOpen: false, isClosed: false };
    caller.socket.on('data', (part) => (caller.received += part.toString('latin1')));
    caller.socket.on('connect', () => (caller.isOpen = true));
    caller.socket.on('error', () => undefined);
    caller.socket.on('close', () => (caller.isClosed = true));
    message.forEach((part) => caller.socket.write(part));
    this.callers.push(caller);
    return caller;
  }
}

/** The head of a request whose body is sent in chunks. `headers` are lines, each with its end. */
export function chunkedHead(method: string, path: string, headers: string): Buffer {
  return Buffer.from(`${method} ${path} HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
}

/** `count` chunks of `bytes` each, without the last chunk that ends a body. */
export function chunks(count: number, bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`.repeat(count));
}

async function eventually(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_PERIOD_MS);
}

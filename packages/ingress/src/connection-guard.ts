/** Bounds the connections of callers, and what each of them may have open, so that they leave memory and descriptors for serving. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ListenerLog } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { ConnectionBudget } from '@fighub/decisions';
import { ConnectionLedger } from '@fighub/decisions';

import type { InputPacer } from './input-pacer.js';

/** How often a server looks for connections whose header sections are overdue; Node.js does so every 30 s by default. */
export const CONNECTION_CHECK_PERIOD_MS = 1_000;
/** Requests of one connection that may be open at a time. Further ones wait unread, unless they have been parsed together. */
const MAX_PIPELINED_REQUESTS = 64;

/** Responses to what cannot be parsed, by the code of the parser's error. None of these requests has run. */
const PARSE_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly ledger: ConnectionLedger<Socket>;
  /** Responses that have not ended, by connection. */
  private readonly open = new WeakMap<Socket, Set<ServerResponse>>();

  /** `name` says in the log what the server is for. */
  constructor(
    server: Server,
    budget: ConnectionBudget,
    private readonly name: string,
    private readonly pacer: InputPacer,
    private readonly log: ListenerLog,
  ) {
    this.ledger = new ConnectionLedger(budget);
    // One more is accepted, for which another one is closed.
    server.maxConnections = budget.served + budget.refused + 1;
    server.on('connection', (socket) => this.onConnection(socket));
    server.on('drop', () => this.record('connection_closed_on_arrival'));
    server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.onParseError(error, socket as Socket),
    );
    server.prependListener('request', (req, res) => this.onRequest(req, res));
    pacer.attach(server, { onBytes: (socket) => this.ledger.received(socket, performance.now()) });
  }

  /** Whether the request that arrived on this connection is handled. If not, it is to be refused and the connection closed. */
  mayServe(socket: Socket): boolean {
    const { isServed, closed } = this.ledger.mayServe(socket, performance.now());
    if (closed) this.close(closed, 'idle_connection_closed');
    if (!isServed) this.record('request_over_connections');
    return isServed;
  }

  /** Keeps a connection from being closed for another one until the response has ended. */
  keepUntilAnswered(socket: Socket, res: ServerResponse): void {
    this.ledger.requestBegan(socket);
    res.once('close', () => this.ledger.requestEnded(socket, performance.now()));
  }

  private onConnection(socket: Socket): void {
    socket.once('close', () => this.ledger.closed(socket));
    const leaving = this.ledger.opened(socket, performance.now());
    if (leaving) this.close(leaving, 'connection_closed_unserved');
  }

  private close(socket: Socket, event: string): void {
    this.record(event);
    socket.destroy();
  }

  private onRequest({ socket }: IncomingMessage, res: ServerResponse): void {
    const open = this.open.get(socket) ?? new Set();
    this.open.set(socket, open.add(res));
    res.once('close', () => {
      open.delete(res);
      if (open.size < 2) this.pacer.release(socket);
    });
    if (open.size > 1) this.pacer.hold(socket);
    if (open.size <= MAX_PIPELINED_REQUESTS || socket.destroyed) return;
    this.close(socket, 'connection_over_pipelined');
  }

  /**
   * Answers what cannot be parsed or came too late, and closes the connection. Without a response if the caller would take it for that of
   * an earlier request, which may be running.
   */
  private onParseError(error: NodeJS.ErrnoException, socket: Socket): void {
    const [first, ...others] = this.open.get(socket) ?? [];
    const belongsToFirst = first !== undefined && !first.req.complete && !first.headersSent;
    const mayAnswer = others.length === 0 && (first === undefined || belongsToFirst);
    const status = PARSE_ERROR_STATUS[error.code ?? ''] ?? BAD_REQUEST;
    this.record('request_not_parsed', { code: error.code, answered: mayAnswer });
    if (error.code !== 'ECONNRESET' && socket.writable && mayAnswer)
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    socket.destroy();
  }

  private record(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.log.record(LogCategory.failure, event, {
      server: this.name,
      open: this.ledger.openCount,
      ...fields,
    });
  }
}

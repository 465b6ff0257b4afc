/** Bounds the connections of callers, so that they leave memory and descriptors for serving. */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ListenerLog } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { ConnectionBudget } from '@fighub/decisions';
import { ConnectionLedger } from '@fighub/decisions';

import type { InputPacer } from './input-pacer.js';

/** How often a server looks for connections whose header sections are overdue; Node.js does so every 30 s by default. */
export const CONNECTION_CHECK_PERIOD_MS = 1_000;

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly ledger: ConnectionLedger<Socket>;

  /** `name` says in the log what the server is for. */
  constructor(
    server: Server,
    budget: ConnectionBudget,
    private readonly name: string,
    pacer: InputPacer,
    private readonly log: ListenerLog,
  ) {
    this.ledger = new ConnectionLedger(budget);
    // One more is accepted, for which another one is closed.
    server.maxConnections = budget.served + budget.refused + 1;
    server.on('connection', (socket) => this.onConnection(socket));
    server.on('drop', () => this.record('connection_closed_on_arrival'));
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

  private record(event: string): void {
    this.log.record(LogCategory.failure, event, { server: this.name, open: this.ledger.openCount });
  }
}

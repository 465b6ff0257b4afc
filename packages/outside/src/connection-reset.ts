/** Reports every reset of a connection as an error. */
import type { ClientRequestArgs } from 'node:http';
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import VError from 'verror';

/**
 * Agent whose connections fail with an error when they are reset. Without it, Node.js reports a reset that is read in
 * the same turn of the event loop as the last bytes as an orderly end, and a response that ends with its connection
 * counts as complete.
 */
export class ResetReportingAgent extends Agent {
  /**
   * Called by Node.js for each request, though it is not documented. A reset before the response has begun is reported
   * to the request twice: as a hang-up at the end of the connection, and as the error of the connection. Clients that
   * listen for one error only must not be stopped by the second.
   */
  addRequest(request: ClientRequest, ...rest: unknown[]): void {
    request.on('error', () => undefined);
    const agent = Agent.prototype as unknown as { addRequest: (...all: unknown[]) => void };
    agent.addRequest.call(this, request, ...rest);
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const connection = super.createConnection(options, callback);
    if (connection instanceof Socket) failOnReset(connection);
    return connection;
  }
}

function failOnReset(socket: Socket): void {
  // A request listens for errors only until its response has ended; a later one must not stop the process.
  socket.on('error', () => undefined);
  socket.prependOnceListener('end', () => {
    // A connection that its peer has closed still has a remote address, unless this side has closed it too; one that was
    // reset has none.
    if (socket.remoteAddress === undefined && !socket.writableEnded)
      socket.destroy(new VError('the connection was reset'));
  });
}

/** TCP proxy that injects network faults between processes. */
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { splitAddress } from '@fighub/core';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Faults of one route of the proxy. */
export interface RouteFaults {
  /** New connections are reset and open ones are closed. */
  cut: boolean;
  /** All bytes are dropped in both directions, while connections stay open and new ones are accepted. */
  blackHole: boolean;
  /** Connections that are open when this is set drop all bytes from then on; later ones work. Resets itself at once. */
  silenceOpen: boolean;
  /** Bytes from the target to the client are dropped, while the other direction works. */
  dropAnswers: boolean;
  /** Latency that is added to each direction. It does not apply to data while `dripMs` is not 0. */
  delayMs: number;
  /** Time between two bytes, which are forwarded one at a time; 0 to forward without pauses. */
  dripMs: number;
  /** IP addresses of clients whose connections drop all bytes. */
  blockedSources: readonly string[];
}

const NO_FAULTS: RouteFaults = {
  cut: false,
  blackHole: false,
  silenceOpen: false,
  dropAnswers: false,
  delayMs: 0,
  dripMs: 0,
  blockedSources: [],
};

interface ProxiedConnection {
  readonly client: Socket;
  readonly target: Socket;
  readonly sourceAddress: string;
  silenced: boolean;
  /**
   * Whether bytes were dropped. As its data has a gap, the connection is then closed at the next change of the route's
   * faults, unless it still has to be silent.
   */
  hasLostBytes: boolean;
}

/** A listening port whose connections are forwarded to one target. */
class ProxyRoute {
  faults: RouteFaults = { ...NO_FAULTS };
  private readonly connections = new Set<ProxiedConnection>();
  private readonly server: Server;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = createServer((client) => this.accept(client));
  }

  listen(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => resolve((this.server.address() as { port: number }).port));
    });
  }

  setFaults(faults: Partial<RouteFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (faults.cut) [...this.connections].forEach((connection) => closeConnection(connection));
    [...this.connections]
      .filter((connection) => connection.hasLostBytes && !this.isSilent(connection))
      .forEach((connection) => closeConnection(connection));
    if (faults.silenceOpen) {
      [...this.connections].forEach((connection) => (connection.silenced = true));
      this.faults.silenceOpen = false;
    }
  }

  private accept(client: Socket): void {
    if (this.faults.cut) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({ host: this.targetHost, port: this.targetPort });
    const sourceAddress = client.remoteAddress ?? '';
    const connection: ProxiedConnection = {
      client,
      target,
      sourceAddress,
      silenced: false,
      hasLostBytes: false,
    };
    this.connections.add(connection);
    this.pipe(connection, client, target, false);
    this.pipe(connection, target, client, true);
  }

  private pipe(connection: ProxiedConnection, from: Socket, to: Socket, isResponse: boolean): void {
    from.setNoDelay(true);
    from.on('data', (part) => this.pass(connection, to, part, isResponse));
    from.on('error', () => closeConnection(connection));
    from.on('close', () => {
      this.connections.delete(connection);
      if (!this.isSilent(connection)) setTimeout(() => to.destroy(), this.faults.delayMs);
    });
  }

  private isSilent(connection: ProxiedConnection): boolean {
    return (
      connection.silenced ||
      this.faults.blackHole ||
      this.faults.blockedSources.includes(connection.sourceAddress)
    );
  }

  private pass(connection: ProxiedConnection, to: Socket, part: Buffer, isResponse: boolean): void {
    if (this.isSilent(connection) || (isResponse && this.faults.dropAnswers)) {
      connection.hasLostBytes = true;
      return;
    }
    if (this.faults.dripMs > 0) {
      part.forEach((byte, index) =>
        setTimeout(() => to.write(Buffer.from([byte])), index * this.faults.dripMs),
      );
      return;
    }
    if (this.faults.delayMs === 0) to.write(part);
    else setTimeout(() => to.write(part), this.faults.delayMs);
  }
}

function closeConnection(connection: ProxiedConnection): void {
  connection.client.destroy();
  connection.target.destroy();
}

/**
 * Starts the proxy; `port` is that of its control API. `POST /routes {name, target}` opens a route and
 * returns its port, and `POST /faults {names, faults}` changes the given faults of the named routes.
 */
export async function startFaultProxy(port: number): Promise<RunningServer> {
  const routes = new Map<string, ProxyRoute>();
  return serve(port, (req, res) => {
    void (async () => {
      if (req.url === '/routes') {
        const body = await readJsonBody<{ name: string; target: string }>(req);
        const { host, port: targetPort } = splitAddress(body.target);
        const route = new ProxyRoute(host, targetPort);
        routes.set(body.name, route);
        sendJsonBody(res, 200, { port: await route.listen(0) });
        return;
      }
      const body = await readJsonBody<{ names: string[]; faults: Partial<RouteFaults> }>(req);
      body.names.forEach((name) => routes.get(name)?.setFaults(body.faults));
      sendJsonBody(res, 200, {});
    })();
  });
}

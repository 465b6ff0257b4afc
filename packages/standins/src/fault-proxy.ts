/** A TCP proxy that induces network faults between processes. */
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { splitAddress } from '@fighub/core';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Faults of one route. */
export interface RouteFaults {
  /** New connections are refused and open ones are closed. */
  cut: boolean;
  /** Nothing passes; connections stay open and new ones are accepted. */
  blackHole: boolean;
  /** Connections that are open now go silent for good; new ones work. */
  silenceOpen: boolean;
  /** Bytes from the target back to the dialler are dropped, the other way passes. */
  dropAnswers: boolean;
  /** Added to each direction, in milliseconds. */
  delayMs: number;
  /** Bytes pass one at a time with this pause, in milliseconds; 0 is off. */
  dripMs: number;
  /** Addresses of diallers whose connections pass nothing. */
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

interface Pair {
  readonly client: Socket;
  readonly target: Socket;
  readonly source: string;
  silenced: boolean;
  /** Bytes were dropped: the connection cannot be used when the fault ends. */
  torn: boolean;
}

/** One listening port that leads to one target. */
class ProxyRoute {
  faults: RouteFaults = { ...NO_FAULTS };
  private readonly pairs = new Set<Pair>();
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

  set(faults: Partial<RouteFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (faults.cut) [...this.pairs].forEach((pair) => closePair(pair));
    [...this.pairs].filter((pair) => pair.torn && !this.isSilent(pair)).forEach((pair) => closePair(pair));
    if (faults.silenceOpen) {
      [...this.pairs].forEach((pair) => (pair.silenced = true));
      this.faults.silenceOpen = false;
    }
  }

  private accept(client: Socket): void {
    if (this.faults.cut) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({ host: this.targetHost, port: this.targetPort });
    const source = client.remoteAddress ?? '';
    const pair: Pair = { client, target, source, silenced: false, torn: false };
    this.pairs.add(pair);
    this.pipe(pair, client, target, false);
    this.pipe(pair, target, client, true);
  }

  private pipe(pair: Pair, from: Socket, to: Socket, isAnswer: boolean): void {
    from.setNoDelay(true);
    from.on('data', (part) => this.pass(pair, to, part, isAnswer));
    from.on('error', () => closePair(pair));
    from.on('close', () => {
      this.pairs.delete(pair);
      if (!this.isSilent(pair)) setTimeout(() => to.destroy(), this.faults.delayMs);
    });
  }

  private isSilent(pair: Pair): boolean {
    return pair.silenced || this.faults.blackHole || this.faults.blockedSources.includes(pair.source);
  }

  private pass(pair: Pair, to: Socket, part: Buffer, isAnswer: boolean): void {
    if (this.isSilent(pair) || (isAnswer && this.faults.dropAnswers)) {
      pair.torn = true;
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

function closePair(pair: Pair): void {
  pair.client.destroy();
  pair.target.destroy();
}

/** Starts the proxy. `POST /routes {name, target}` opens a route, `POST /faults {names, faults}` sets faults. */
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
      body.names.forEach((name) => routes.get(name)?.set(body.faults));
      sendJsonBody(res, 200, {});
    })();
  });
}

/** Kept HTTP connections, one pool an address, that are replaced when one was found silent. */
import { Agent } from 'node:http';

const MAX_FREE_SOCKETS = 8;

/** An agent whose calls each use a new connection: a kept one may have been forgotten by something in between. */
export function newConnectionsAgent(localAddress?: string): Agent {
  return new Agent({ keepAlive: false, localAddress });
}

/** Hands out agents by address. */
export class ConnectionPools {
  private readonly agents = new Map<string, Agent>();

  /** `localAddress` is the address that connections are made from. */
  constructor(private readonly localAddress?: string) {}

  /** The agent whose kept connections lead to `address`. */
  agentFor(address: string): Agent {
    const known = this.agents.get(address);
    if (known) return known;
    const created = new Agent({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      localAddress: this.localAddress,
    });
    this.agents.set(address, created);
    return created;
  }

  /** Closes the idle connections to `address`; streams in progress go on, new calls open new connections. */
  replace(address: string): void {
    const old = this.agents.get(address);
    this.agents.delete(address);
    if (!old) return;
    Object.values(old.freeSockets).forEach((sockets) => sockets?.forEach((socket) => socket.destroy()));
  }

  /** Closes everything. */
  close(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }
}

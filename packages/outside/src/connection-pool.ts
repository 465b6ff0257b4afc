/** Persistent HTTP connections with one pool per address. A pool is replaced when a connection does not respond. */
import type { Agent } from 'node:http';

import { ResetReportingAgent } from './connection-reset.js';

const MAX_FREE_SOCKETS = 8;

/**
 * Returns an agent that opens a new connection for each call, so that no call fails on a persistent connection whose
 * state a network device on the path has dropped. Connections are made from `localAddress`.
 */
export function nonPersistentAgent(localAddress?: string): Agent {
  return new ResetReportingAgent({ keepAlive: false, localAddress });
}

/** Provides one agent with persistent connections for each address. */
export class ConnectionPools {
  private readonly agents = new Map<string, Agent>();

  /** Connections are made from `localAddress`. */
  constructor(private readonly localAddress?: string) {}

  /** Returns the agent with the persistent connections to `address`, which is created on the first call. */
  agentFor(address: string): Agent {
    const known = this.agents.get(address);
    if (known) return known;
    const created = new ResetReportingAgent({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      localAddress: this.localAddress,
    });
    this.agents.set(address, created);
    return created;
  }

  /**
   * Closes the idle connections to `address` and drops its agent. Streams in progress continue; the next call
   * creates a new agent and opens a new connection.
   */
  replace(address: string): void {
    const oldAgent = this.agents.get(address);
    this.agents.delete(address);
    if (!oldAgent) return;
    Object.values(oldAgent.freeSockets).forEach((sockets) => sockets?.forEach((socket) => socket.destroy()));
  }

  /** Closes all connections, including those in use. */
  close(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }
}

/**
 * Decides how many connections of callers an instance takes. Answers callers that open connections faster than they use
 * them: each connection takes memory before a request is seen, and a descriptor, without which no replica, peer or store
 * can be reached. The platform ends a process that exceeds its memory.
 */
import { memoryShares } from './memory-shares.js';

/** What the platform grants a process. */
export interface ProcessLimits {
  readonly memoryMb: number;
  /** Largest number of open files and sockets. */
  readonly maxFds: number;
}

/** Numbers of connections that are open at the same time. */
export interface ConnectionBudget {
  /** Connections whose requests are handled. */
  readonly served: number;
  /** Connections beyond these whose next request is refused, so that its caller can try another instance. */
  readonly refused: number;
}

/** Memory of a connection at most before its request is seen: a header section of the largest size. */
const BYTES_PER_CONNECTION = 65_536;
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors for callers. Each of them may need one more to a replica or the store; peers need the rest. */
const CALLER_FRACTION = 0.4;
/** Part of the connections that are only taken to be refused. */
const REFUSED_FRACTION = 0.2;
/** Taken also by processes with little memory: few callers fill their header sections. */
const MIN_BY_MEMORY = 400;
const MIN_BY_DESCRIPTORS = 16;

/** The connections that callers may have open at a process with these limits. */
export function connectionBudget({ memoryMb, maxFds }: ProcessLimits): ConnectionBudget {
  const byMemory = Math.max(MIN_BY_MEMORY, memoryShares(memoryMb).connectionBytes / BYTES_PER_CONNECTION);
  const byDescriptors = Math.max(MIN_BY_DESCRIPTORS, (maxFds - FILE_DESCRIPTORS) * CALLER_FRACTION);
  const total = Math.floor(Math.min(byMemory, byDescriptors));
  const refused = Math.ceil(total * REFUSED_FRACTION);
  return { served: total - refused, refused };
}

/** Keeps which open connections are over the budget. */
export class ConnectionLedger<Connection extends object> {
  private readonly within = new Set<Connection>();
  private readonly beyond = new Set<Connection>();

  constructor(private readonly budget: ConnectionBudget) {}

  get openCount(): number {
    return this.within.size + this.beyond.size;
  }

  opened(connection: Connection): void {
    if (this.hasRoom()) this.within.add(connection);
    else this.beyond.add(connection);
  }

  closed(connection: Connection): void {
    this.within.delete(connection);
    this.beyond.delete(connection);
  }

  /** Whether the next request of a connection is handled. One that was over the budget is not any more once others have closed. */
  mayServe(connection: Connection): boolean {
    if (!this.beyond.has(connection)) return true;
    if (!this.hasRoom()) return false;
    this.beyond.delete(connection);
    this.within.add(connection);
    return true;
  }

  private hasRoom(): boolean {
    return this.within.size < this.budget.served;
  }
}

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

/** A connection on which nothing has happened for this long may be closed for another one. */
const IDLE_AFTER_MS = 250;

/** Part of the descriptors for connections to which the other end has not proven yet that it is an instance. */
const UNPROVEN_FRACTION = 0.1;
const MIN_UNPROVEN = 16;

/** Inbound connections between instances that may be open before the other end has proven what it is. */
export function unprovenConnections(maxFds: number): number {
  return Math.max(MIN_UNPROVEN, Math.floor((maxFds - FILE_DESCRIPTORS) * UNPROVEN_FRACTION));
}

/** Whether a request is handled. */
export interface ServingDecision<Connection> {
  readonly isServed: boolean;
  /** The connection that leaves its place to the request. */
  readonly closed?: Connection;
}

/** What is known about a connection within the budget. */
interface OpenConnection {
  /** Requests that have begun and were not answered. */
  openRequests: number;
  hasHadRequest: boolean;
  lastActiveAtMs: number;
}

/**
 * Keeps which open connections are over the budget. One of these that sends a request takes the place of a connection that is idle: callers
 * that open connections and send nothing, or no whole request, would otherwise keep all others out.
 */
export class ConnectionLedger<Connection extends object> {
  private readonly within = new Map<Connection, OpenConnection>();
  private readonly beyond = new Set<Connection>();
  /** Until then no connection is looked for that could be closed for another one. */
  private noneIdleUntilMs = 0;

  constructor(private readonly budget: ConnectionBudget) {}

  get openCount(): number {
    return this.within.size + this.beyond.size;
  }

  /** Adds a connection. Returns the one that is to be closed for it; undefined if there is none. */
  opened(connection: Connection, nowMs: number): Connection | undefined {
    if (this.hasRoom()) {
      this.addWithin(connection, nowMs);
      return undefined;
    }
    this.beyond.add(connection);
    if (this.beyond.size <= this.budget.refused) return undefined;
    const [first] = this.beyond;
    if (first) this.beyond.delete(first);
    return first;
  }

  closed(connection: Connection): void {
    this.within.delete(connection);
    this.beyond.delete(connection);
  }

  /** Records that bytes have arrived on a connection. */
  received(connection: Connection, nowMs: number): void {
    const open = this.within.get(connection);
    if (open) open.lastActiveAtMs = nowMs;
  }

  /** Records that a whole request has arrived on a connection, which is not closed for another one until it was answered. */
  requestBegan(connection: Connection): void {
    const open = this.within.get(connection);
    if (!open) return;
    open.openRequests += 1;
    open.hasHadRequest = true;
  }

  requestEnded(connection: Connection, nowMs: number): void {
    const open = this.within.get(connection);
    if (!open) return;
    open.openRequests = Math.max(0, open.openRequests - 1);
    open.lastActiveAtMs = nowMs;
  }

  /** Whether the next request of a connection is handled, and the idle connection that is to be closed for it. */
  mayServe(connection: Connection, nowMs: number): ServingDecision<Connection> {
    if (!this.beyond.has(connection)) return { isServed: true };
    const idle = this.hasRoom() ? undefined : this.longestIdle(nowMs);
    if (idle) this.closed(idle);
    if (!this.hasRoom()) return { isServed: false };
    this.beyond.delete(connection);
    this.addWithin(connection, nowMs);
    return { isServed: true, closed: idle };
  }

  private addWithin(connection: Connection, nowMs: number): void {
    this.within.set(connection, { openRequests: 0, hasHadRequest: false, lastActiveAtMs: nowMs });
  }

  private hasRoom(): boolean {
    return this.within.size < this.budget.served;
  }

  /** Of the connections that are idle, one that has never had a request, else any; the one that has been idle for longest. */
  private longestIdle(nowMs: number): Connection | undefined {
    if (nowMs < this.noneIdleUntilMs) return undefined;
    const answered = [...this.within].filter(([, { openRequests }]) => openRequests === 0);
    const first = answered.reduce<[Connection, OpenConnection] | undefined>(
      (found, next) => (found && goesBefore(found[1], next[1], nowMs) ? found : next),
      undefined,
    );
    if (first && isIdle(first[1], nowMs)) return first[0];
    // Those that are active now are not idle before this time.
    this.noneIdleUntilMs = nowMs + IDLE_AFTER_MS / 2;
    return undefined;
  }
}

function isIdle({ lastActiveAtMs }: OpenConnection, nowMs: number): boolean {
  return nowMs - lastActiveAtMs >= IDLE_AFTER_MS;
}

/** Whether `left` is closed before `right`. */
function goesBefore(left: OpenConnection, right: OpenConnection, nowMs: number): boolean {
  if (isIdle(left, nowMs) !== isIdle(right, nowMs)) return isIdle(left, nowMs);
  if (left.hasHadRequest !== right.hasHadRequest) return !left.hasHadRequest;
  return left.lastActiveAtMs <= right.lastActiveAtMs;
}

/** Runs batch items that may end the process that runs them, one at a time, on a replica of their own. */
import type { PlaceRequest, PoolReplica } from './pool-types.js';

/** What the scheduler should do now. */
export interface QuarantineStep {
  readonly replica: PoolReplica;
  /** Set when the replica is empty and the suspect may run; otherwise the replica is being emptied. */
  readonly grant?: PlaceRequest;
}

/** A replica is not kept empty for longer than this, in milliseconds. */
const EMPTYING_LIMIT_MS = 15_000;

interface Occupied {
  readonly replicaId: string;
  readonly request: PlaceRequest;
  readonly untilMs: number;
  running: boolean;
}

/**
 * Suspects wait apart from the fair queue, so that they hold up nobody. One replica at a time gets no new
 * work until its streams have ended; then the suspect runs alone. A pool with one replica is never emptied.
 */
export class Quarantine {
  private waiting: PlaceRequest[] = [];
  private occupied: Occupied | undefined;

  /** Suspects that wait. */
  get size(): number {
    return this.waiting.length;
  }

  /** The replica that gets no other work now. */
  get replicaId(): string | undefined {
    return this.occupied?.replicaId;
  }

  push(request: PlaceRequest): void {
    this.waiting.push(request);
  }

  has(requestId: string): boolean {
    return this.waiting.some((request) => request.requestId === requestId);
  }

  remove(requestId: string): void {
    this.waiting = this.waiting.filter((request) => request.requestId !== requestId);
    if (this.occupied && !this.occupied.running && this.occupied.request.requestId === requestId) {
      this.occupied = undefined;
    }
  }

  removeHolder(holder: string): void {
    this.waiting.filter((request) => request.holder === holder).forEach((r) => this.remove(r.requestId));
  }

  /** Notes that a stream has ended. */
  onRelease(requestId: string): void {
    if (this.occupied?.request.requestId === requestId) this.occupied = undefined;
  }

  /** Advances by one step; undefined when there is nothing to do. */
  step(
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
    nowMs: number,
  ): QuarantineStep | undefined {
    if (this.occupied && nowMs >= this.occupied.untilMs) this.occupied = undefined;
    if (!this.occupied) return this.begin(usable, inFlightOf, nowMs);
    if (this.occupied.running) return undefined;
    return this.advance(this.occupied, usable, inFlightOf);
  }

  dump(): Record<string, unknown> {
    return { waiting: this.waiting.length, replicaId: this.replicaId, running: this.occupied?.running };
  }

  private begin(
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
    nowMs: number,
  ): QuarantineStep | undefined {
    const request = this.waiting[0];
    if (!request || usable.length < 2) return undefined;
    const replica = [...usable].sort((a, b) => inFlightOf(a.replicaId) - inFlightOf(b.replicaId))[0];
    if (!replica) return undefined;
    const untilMs = nowMs + EMPTYING_LIMIT_MS;
    this.occupied = { replicaId: replica.replicaId, request, untilMs, running: false };
    return { replica };
  }

  private advance(
    occupied: Occupied,
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
  ): QuarantineStep | undefined {
    const replica = usable.find((candidate) => candidate.replicaId === occupied.replicaId);
    if (!replica) {
      this.occupied = undefined;
      return undefined;
    }
    if (inFlightOf(replica.replicaId) > 0) return undefined;
    occupied.running = true;
    this.waiting = this.waiting.filter((request) => request !== occupied.request);
    return { replica, grant: occupied.request };
  }
}

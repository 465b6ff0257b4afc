/**
 * Runs batch items that may crash the replica process, called suspects, one at a time on a replica without other
 * work.
 */
import type { SlotRequest, PoolReplica } from './pool-types.js';

/** What the scheduler should do next. */
export interface QuarantineStep {
  readonly replica: PoolReplica;
  /** The suspect to start, once the replica is empty; undefined while the replica's streams still have to end. */
  readonly grant?: SlotRequest;
}

/** Longest time for which a replica is isolated, including the time until its streams have ended. */
const ISOLATION_LIMIT_MS = 15_000;

/** A replica that gets no other work, and the suspect that it is kept for. */
interface Isolation {
  readonly replicaId: string;
  readonly request: SlotRequest;
  readonly untilMs: number;
  running: boolean;
}

/**
 * Suspects wait outside the fair queues, so that they do not delay other items. One replica at a time gets no new
 * work until its streams have ended; then the suspect runs there alone. The only usable replica of a pool is never
 * isolated.
 */
export class Quarantine {
  private waiting: SlotRequest[] = [];
  private isolation: Isolation | undefined;

  /** Number of waiting suspects. */
  get size(): number {
    return this.waiting.length;
  }

  /** Id of the isolated replica, which must get no other work. */
  get replicaId(): string | undefined {
    return this.isolation?.replicaId;
  }

  /** Adds a suspect. */
  push(request: SlotRequest): void {
    this.waiting.push(request);
  }

  /** Whether the suspect is waiting. */
  has(requestId: string): boolean {
    return this.waiting.some((request) => request.requestId === requestId);
  }

  /** Removes a waiting suspect, and ends the isolation of the replica that is being emptied for it. */
  remove(requestId: string): void {
    this.waiting = this.waiting.filter((request) => request.requestId !== requestId);
    if (this.isolation && !this.isolation.running && this.isolation.request.requestId === requestId) {
      this.isolation = undefined;
    }
  }

  /** Removes the waiting suspects of a holder. */
  removeHolder(holder: string): void {
    this.waiting.filter((request) => request.holder === holder).forEach((r) => this.remove(r.requestId));
  }

  /** Ends the isolation if the stream that ended is the suspect's. */
  onRelease(requestId: string): void {
    if (this.isolation?.request.requestId === requestId) this.isolation = undefined;
  }

  /**
   * Decides the next step. `usable` are the replicas that may get work; `inFlightOf` returns the number of streams
   * at a replica. Undefined when there is nothing to do now.
   */
  step(
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
    nowMs: number,
  ): QuarantineStep | undefined {
    if (this.isolation && nowMs >= this.isolation.untilMs) this.isolation = undefined;
    if (!this.isolation) return this.beginIsolation(usable, inFlightOf, nowMs);
    if (this.isolation.running) return undefined;
    return this.startWhenEmpty(this.isolation, usable, inFlightOf);
  }

  /** State for the dump. */
  dump(): Record<string, unknown> {
    return { waiting: this.waiting.length, replicaId: this.replicaId, running: this.isolation?.running };
  }

  /** Isolates the usable replica with the fewest streams for the first waiting suspect. */
  private beginIsolation(
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
    nowMs: number,
  ): QuarantineStep | undefined {
    const request = this.waiting[0];
    if (!request || usable.length < 2) return undefined;
    const replica = [...usable].sort((a, b) => inFlightOf(a.replicaId) - inFlightOf(b.replicaId))[0];
    if (!replica) return undefined;
    const untilMs = nowMs + ISOLATION_LIMIT_MS;
    this.isolation = { replicaId: replica.replicaId, request, untilMs, running: false };
    return { replica };
  }

  /**
   * Starts the suspect when the isolated replica is empty; ends the isolation when the replica is no longer
   * usable.
   */
  private startWhenEmpty(
    isolation: Isolation,
    usable: readonly PoolReplica[],
    inFlightOf: (replicaId: string) => number,
  ): QuarantineStep | undefined {
    const replica = usable.find((candidate) => candidate.replicaId === isolation.replicaId);
    if (!replica) {
      this.isolation = undefined;
      return undefined;
    }
    if (inFlightOf(replica.replicaId) > 0) return undefined;
    isolation.running = true;
    this.waiting = this.waiting.filter((request) => request !== isolation.request);
    return { replica, grant: isolation.request };
  }
}

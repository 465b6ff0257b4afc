/**
 * Limits that overloaded replicas state in their responses: requests a second from all instances together, for as long as
 * they state it.
 */

/** The newest statement of a replica that is known. */
export interface RequestLimit {
  readonly replicaId: string;
  /** Requests a second; undefined when the replica has stopped to state a limit. */
  readonly requestsPerSecond: number | undefined;
  /** When the statement was received, in monotonic time. */
  readonly observedAtMs: number;
}

/** A statement that a limit has ended, or of a replica that no directory lists, is forgotten after this time. */
const FORGET_AFTER_MS = 60_000;

/** The limits that one instance knows. Of two statements of a replica the later one counts. */
export class RequestLimits {
  private readonly limits = new Map<string, RequestLimit>();
  private changes = 0;

  /** Increases when a limit begins, changes or ends. */
  get version(): number {
    return this.changes;
  }

  /** The limit of a replica in requests a second; undefined if it has none. */
  of(replicaId: string): number | undefined {
    return this.limits.get(replicaId)?.requestsPerSecond;
  }

  /**
   * Records what a response states; `requestsPerSecond` is undefined if that is no limit. Such a response ends a limit only
   * if its request was sent after the limit was last stated: an older one may have been written before. Returns whether
   * the statement counts.
   */
  observe(
    replicaId: string,
    requestsPerSecond: number | undefined,
    sentAtMs: number,
    nowMs: number,
  ): boolean {
    const known = this.limits.get(replicaId);
    const isNews = requestsPerSecond !== undefined || known?.requestsPerSecond !== undefined;
    if (!isNews || (requestsPerSecond === undefined && known && sentAtMs <= known.observedAtMs)) return false;
    return this.merge({ replicaId, requestsPerSecond, observedAtMs: nowMs });
  }

  /** Records a statement, unless a later one is known. Returns whether it counts. */
  merge(limit: RequestLimit): boolean {
    const known = this.limits.get(limit.replicaId);
    if (known && limit.observedAtMs < known.observedAtMs) return false;
    this.limits.set(limit.replicaId, limit);
    if (known?.requestsPerSecond !== limit.requestsPerSecond) this.changes += 1;
    return true;
  }

  /** Forgets what a replica has stated, since another process has started under its id. */
  delete(replicaId: string): void {
    if (this.limits.delete(replicaId)) this.changes += 1;
  }

  /** All statements, including those that a limit has ended. */
  all(): RequestLimit[] {
    return [...this.limits.values()];
  }

  /** Forgets old statements of replicas that have no limit any more or that are not listed. */
  forgetOld(isListed: (replicaId: string) => boolean, nowMs: number): void {
    this.all()
      .filter(({ replicaId, requestsPerSecond }) => requestsPerSecond === undefined || !isListed(replicaId))
      .filter(({ observedAtMs }) => nowMs - observedAtMs >= FORGET_AFTER_MS)
      .forEach(({ replicaId }) => this.limits.delete(replicaId));
  }
}

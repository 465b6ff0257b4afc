/** Health of one replica, judged by the outcomes of the attempts at it. */

/** How an attempt at a replica ended. */
export const AttemptEnd = {
  /** The stream ended normally. */
  completed: 'completed',
  /**
   * Says nothing about the replica's health: the attempt was stopped here or by the caller, or the replica responded
   * without completing the request, for example because it was overloaded.
   */
  cancelled: 'cancelled',
  /**
   * No connection was made, or another process responded at the address: the replica is unreachable, leaving or has
   * ended.
   */
  refused: 'refused',
  /** The replica responded that it is leaving. */
  leaving: 'leaving',
  /** The connection broke before the end of the response, as when the replica crashes. */
  broken: 'broken',
  /** The response cannot be used, although the replica may be sound otherwise: it does not end, or is not for the request. */
  unusable: 'unusable',
  /** The replica responded that it cannot process this request. */
  rejected: 'rejected',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Pause after the first failure; it doubles with each further failure in a row. */
const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;
/** Pause of a replica that responded that it is leaving. */
const LEAVING_PAUSE_MS = 5_000;

/**
 * Pauses a failing replica for a time that doubles with each failure in a row. After the pause the replica is on
 * probation: it gets one stream at a time until one completes or is rejected.
 */
export class ReplicaHealth {
  private failures = 0;
  private pausedUntilMs = 0;
  /** When a connection to the replica first broke; undefined when no attempt broke, or one that started later succeeded. */
  private brokenSinceMs: number | undefined;

  /** Whether the replica is not paused, and so may get work. */
  isAvailable(nowMs: number): boolean {
    return nowMs >= this.pausedUntilMs;
  }

  /** How much longer the replica is paused, in milliseconds; 0 when it is not. */
  pausedForMs(nowMs: number): number {
    return Math.max(0, this.pausedUntilMs - nowMs);
  }

  /** Whether the replica has failed since its last success, so that it may run only one stream, as a probe. */
  get onProbation(): boolean {
    return this.failures > 0;
  }

  /** Whether a connection to the replica broke before `timeMs`, and no attempt that started later has succeeded. */
  wasBrokenBefore(timeMs: number): boolean {
    return this.brokenSinceMs !== undefined && this.brokenSinceMs < timeMs;
  }

  /** Records how one attempt ended that started at `startedAtMs`. */
  observe(end: AttemptEnd, startedAtMs: number, nowMs: number): void {
    if (end === AttemptEnd.completed || end === AttemptEnd.rejected) {
      this.failures = 0;
      this.pausedUntilMs = 0;
      // A replica may serve on its old connections and break all new ones.
      if (this.wasBrokenBefore(startedAtMs)) this.brokenSinceMs = undefined;
      return;
    }
    if (end === AttemptEnd.cancelled) return;
    if (end === AttemptEnd.broken) this.brokenSinceMs ??= nowMs;
    this.failures += 1;
    const doubled = FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 8);
    const pauseMs = end === AttemptEnd.leaving ? LEAVING_PAUSE_MS : Math.min(MAX_PAUSE_MS, doubled);
    this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
  }
}

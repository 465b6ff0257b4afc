/** Health of one replica, judged from the outcomes of its own streams. */

/** How an attempt at a replica ended. */
export const AttemptEnd = {
  completed: 'completed',
  /** Stopped by us or by the caller; says nothing about the replica. */
  cancelled: 'cancelled',
  /** The connection was refused: the replica is gone or leaving. */
  refused: 'refused',
  /** The replica said that it is leaving. */
  leaving: 'leaving',
  /** The stream broke or went silent. */
  broken: 'broken',
  /** The replica answered that this request cannot be done. */
  rejected: 'rejected',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;
const LEAVING_PAUSE_MS = 5_000;

/** Takes a failing replica out for a time that doubles, then lets single probes through. */
export class ReplicaHealth {
  private failures = 0;
  private pausedUntilMs = 0;

  /** Whether the replica may get work now. */
  isOpen(nowMs: number): boolean {
    return nowMs >= this.pausedUntilMs;
  }

  /** Whether only a single probing stream is allowed. */
  get onProbation(): boolean {
    return this.failures > 0;
  }

  /** Takes in the end of one attempt. */
  observe(end: AttemptEnd, nowMs: number): void {
    if (end === AttemptEnd.completed || end === AttemptEnd.rejected) {
      this.failures = 0;
      this.pausedUntilMs = 0;
      return;
    }
    if (end === AttemptEnd.cancelled) return;
    this.failures += 1;
    const doubled = FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 8);
    const pauseMs = end === AttemptEnd.leaving ? LEAVING_PAUSE_MS : Math.min(MAX_PAUSE_MS, doubled);
    this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
  }
}

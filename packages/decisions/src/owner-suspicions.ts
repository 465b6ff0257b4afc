/**
 * Which owners do not answer. Membership needs seconds to declare an instance dead; requests that need a place
 * now go to the next owner by rank meanwhile. Answers the loss of a pool's owner while all replicas are full.
 */

/** A suspected owner is asked again after this time, in milliseconds; by then membership has decided. */
const SUSPECTED_FOR_MS = 2_500;
/** One late answer may be a pause of the owner's process. */
const TIMEOUTS_TO_SUSPECT = 2;

/** Counts unanswered requests by owner. */
export class OwnerSuspicions {
  private readonly timeouts = new Map<string, number>();
  private readonly suspectedUntilMs = new Map<string, number>();
  private changes = 0;

  /** Another number after each change. */
  get version(): number {
    return this.changes;
  }

  isSuspected(instanceId: string): boolean {
    return this.suspectedUntilMs.has(instanceId);
  }

  onAnswer(instanceId: string): void {
    this.timeouts.delete(instanceId);
  }

  /** Takes in a request without answer. Returns whether the owner is suspected from now on. */
  onTimeout(instanceId: string, nowMs: number): boolean {
    const count = (this.timeouts.get(instanceId) ?? 0) + 1;
    this.timeouts.set(instanceId, count);
    return count >= TIMEOUTS_TO_SUSPECT && this.suspect(instanceId, nowMs);
  }

  /** Suspects an owner at once. False when it is suspected already. */
  suspect(instanceId: string, nowMs: number): boolean {
    if (this.isSuspected(instanceId)) return false;
    this.suspectedUntilMs.set(instanceId, nowMs + SUSPECTED_FOR_MS);
    this.timeouts.delete(instanceId);
    this.changes += 1;
    return true;
  }

  /** Ends suspicions whose time is up. */
  run(nowMs: number): void {
    [...this.suspectedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([instanceId]) => {
        this.suspectedUntilMs.delete(instanceId);
        this.changes += 1;
      });
  }
}

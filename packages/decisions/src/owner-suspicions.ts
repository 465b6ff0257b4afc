/**
 * Tracks pool owners that do not respond. The membership needs seconds to declare an instance dead; until
 * then, requests for a slot go to the next owner by rank. This matters most when a pool's owner fails while all
 * replicas are full, since requests can wait for a slot only at an owner.
 */

/**
 * A suspicion expires after this time unless the instance that raised it renews it because the owner still does
 * not respond.
 */
const SUSPECTED_FOR_MS = 2_500;
/** Period at which the instance that raised a suspicion checks the owner again. */
const CHECK_PERIOD_MS = 800;
/** Consecutive time-outs before an owner is suspected: a single one may be a pause of the owner's process. */
const TIMEOUTS_TO_SUSPECT = 2;

/** Counts consecutive time-outs by owner and keeps the suspected owners. Times are monotonic. */
export class OwnerSuspicions {
  private readonly timeouts = new Map<string, number>();
  private readonly suspectedUntilMs = new Map<string, number>();
  /** When the owners that this instance suspected are checked next. */
  private readonly checkAtMs = new Map<string, number>();
  private changes = 0;

  /** Incremented whenever an owner becomes suspected or stops being suspected. */
  get version(): number {
    return this.changes;
  }

  isSuspected(instanceId: string): boolean {
    return this.suspectedUntilMs.has(instanceId);
  }

  /** Records a response, which ends the owner's run of consecutive time-outs. */
  onAnswer(instanceId: string): void {
    this.timeouts.delete(instanceId);
  }

  /**
   * Records a request that timed out. Returns whether enough requests have timed out in a row to suspect the owner.
   */
  onTimeout(instanceId: string): boolean {
    const count = (this.timeouts.get(instanceId) ?? 0) + 1;
    this.timeouts.set(instanceId, count);
    return count >= TIMEOUTS_TO_SUSPECT;
  }

  /** Starts or extends the suspicion of an owner. Returns whether the owner was not suspected before. */
  suspect(instanceId: string, nowMs: number): boolean {
    const isNew = !this.isSuspected(instanceId);
    this.suspectedUntilMs.set(instanceId, nowMs + SUSPECTED_FOR_MS);
    this.timeouts.delete(instanceId);
    if (isNew) this.changes += 1;
    return isNew;
  }

  /** Schedules periodic checks of an owner that this instance suspected. */
  watch(instanceId: string, nowMs: number): void {
    this.checkAtMs.set(instanceId, nowMs + CHECK_PERIOD_MS);
  }

  /** Stops the checks of an owner that has responded or is no longer a live member. */
  unwatch(instanceId: string): void {
    this.checkAtMs.delete(instanceId);
  }

  /** Returns the owners whose check is due and schedules the next check of each. */
  takeDueChecks(nowMs: number): string[] {
    const due = [...this.checkAtMs].filter(([, atMs]) => atMs <= nowMs).map(([instanceId]) => instanceId);
    due.forEach((instanceId) => this.watch(instanceId, nowMs));
    return due;
  }

  /** Removes expired suspicions. */
  run(nowMs: number): void {
    [...this.suspectedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([instanceId]) => {
        this.suspectedUntilMs.delete(instanceId);
        this.changes += 1;
      });
  }
}

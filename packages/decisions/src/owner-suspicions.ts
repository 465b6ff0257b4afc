/**
 * Which owners do not answer. Membership needs seconds to declare an instance dead; requests that need a place
 * now go to the next owner by rank meanwhile. Answers the loss of a pool's owner while all replicas are full.
 */

/** A suspicion ends after this time unless whoever raised it still gets no answer, in milliseconds. */
const SUSPECTED_FOR_MS = 2_500;
/** Whoever raised a suspicion asks the owner again this often, in milliseconds. */
const CHECK_PERIOD_MS = 800;
/** One late answer may be a pause of the owner's process. */
const TIMEOUTS_TO_SUSPECT = 2;

/** Counts unanswered requests by owner. */
export class OwnerSuspicions {
  private readonly timeouts = new Map<string, number>();
  private readonly suspectedUntilMs = new Map<string, number>();
  /** When owners that were suspected here are asked again. */
  private readonly checkAtMs = new Map<string, number>();
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

  /** Takes in a request without answer. Returns whether there is reason to suspect the owner. */
  onTimeout(instanceId: string): boolean {
    const count = (this.timeouts.get(instanceId) ?? 0) + 1;
    this.timeouts.set(instanceId, count);
    return count >= TIMEOUTS_TO_SUSPECT;
  }

  /** Suspects an owner at once, or goes on to suspect it. Returns whether it is new. */
  suspect(instanceId: string, nowMs: number): boolean {
    const isNew = !this.isSuspected(instanceId);
    this.suspectedUntilMs.set(instanceId, nowMs + SUSPECTED_FOR_MS);
    this.timeouts.delete(instanceId);
    if (isNew) this.changes += 1;
    return isNew;
  }

  /** Keeps a suspicion that was raised here until the owner answers. */
  watch(instanceId: string, nowMs: number): void {
    this.checkAtMs.set(instanceId, nowMs + CHECK_PERIOD_MS);
  }

  /** Ends the watch over an owner that answers, or that is no longer a member. */
  unwatch(instanceId: string): void {
    this.checkAtMs.delete(instanceId);
  }

  /** Owners that are to be asked now whether they answer again. */
  takeChecks(nowMs: number): string[] {
    const due = [...this.checkAtMs].filter(([, atMs]) => atMs <= nowMs).map(([instanceId]) => instanceId);
    due.forEach((instanceId) => this.watch(instanceId, nowMs));
    return due;
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

/**
 * Remembers which replicas have stated in a response that they are leaving. Their entries in the directory may go on
 * listing them as ready.
 */

/** Ids of replicas are not reused, so that an id that no directory has listed for this long will not appear again. */
const FORGET_UNLISTED_AFTER_MS = 86_400_000;

/** A set of replica ids. An id stays in it, whatever the directory says, until its replica has long been gone. */
export class LeavingReplicas {
  /** When each id was announced or last seen in a directory, in monotonic time. */
  private readonly seenAtMs = new Map<string, number>();

  /** Adds a replica. Returns false if it was known to be leaving. */
  add(replicaId: string, nowMs: number): boolean {
    const isNew = !this.seenAtMs.has(replicaId);
    this.seenAtMs.set(replicaId, nowMs);
    return isNew;
  }

  has(replicaId: string): boolean {
    return this.seenAtMs.has(replicaId);
  }

  /** Forgets a replica, since another process has started under its id. */
  delete(replicaId: string): void {
    this.seenAtMs.delete(replicaId);
  }

  /** Ids of all replicas that are known to be leaving. */
  ids(): string[] {
    return [...this.seenAtMs.keys()];
  }

  /** Forgets the replicas that no directory has listed for a long time. */
  onDirectory(isListed: (replicaId: string) => boolean, nowMs: number): void {
    this.ids()
      .filter(isListed)
      .forEach((replicaId) => this.seenAtMs.set(replicaId, nowMs));
    [...this.seenAtMs]
      .filter(([, seenAtMs]) => nowMs - seenAtMs >= FORGET_UNLISTED_AFTER_MS)
      .forEach(([replicaId]) => this.seenAtMs.delete(replicaId));
  }
}

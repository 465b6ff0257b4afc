/** Remembers which replicas hold which prompt prefixes, from late reports and from our own dispatches. */

const MAX_PREFIXES = 4_096;
/** A report may be older than a dispatch of ours by this much, in milliseconds. */
const REPORT_LAG_MS = 1_500;

/** A bounded map from prefix digest to the replicas that probably cache it. */
export class PrefixIndex {
  /** For each prefix, when each replica was last known to take it in. */
  private readonly addedAtMsByPrefix = new Map<string, Map<string, number>>();

  /** Notes that a replica holds the prefix. */
  add(prefixDigest: string, replicaId: string, nowMs: number): void {
    const replicas = this.addedAtMsByPrefix.get(prefixDigest) ?? new Map<string, number>();
    replicas.set(replicaId, nowMs);
    this.addedAtMsByPrefix.delete(prefixDigest);
    this.addedAtMsByPrefix.set(prefixDigest, replicas);
    const oldest = this.addedAtMsByPrefix.keys().next();
    if (this.addedAtMsByPrefix.size > MAX_PREFIXES && !oldest.done)
      this.addedAtMsByPrefix.delete(oldest.value);
  }

  /** Takes in a replica's own list: what it does not name was evicted, unless we sent it just now. */
  applyReport(replicaId: string, prefixDigests: readonly string[], nowMs: number): void {
    const reported = new Set(prefixDigests);
    this.addedAtMsByPrefix.forEach((replicas, prefix) => {
      const addedAtMs = replicas.get(replicaId);
      const isOld = addedAtMs !== undefined && nowMs - addedAtMs > REPORT_LAG_MS;
      if (isOld && !reported.has(prefix)) replicas.delete(replicaId);
    });
    prefixDigests
      .filter((prefix) => !this.holds(prefix, replicaId))
      .forEach((prefix) => this.add(prefix, replicaId, nowMs - REPORT_LAG_MS));
  }

  holds(prefixDigest: string, replicaId: string): boolean {
    return this.addedAtMsByPrefix.get(prefixDigest)?.has(replicaId) ?? false;
  }
}

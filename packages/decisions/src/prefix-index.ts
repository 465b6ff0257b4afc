/**
 * Index of the prompt prefixes that replicas cache, from the replicas' delayed reports and from this pool's
 * grants.
 */

const MAX_PREFIXES = 4_096;
/** Maximum age of a report when it is applied: it may not yet list a prefix that was added within this time. */
const REPORT_LAG_MS = 1_500;

/** Maps prefix digests to the replicas that probably cache them. The least recently added prefix is evicted first. */
export class PrefixIndex {
  /** For each prefix digest and replica id, when the replica was last known to add the prefix to its cache. */
  private readonly addedAtMsByPrefix = new Map<string, Map<string, number>>();

  /** Records that a replica caches the prefix from `nowMs` on. An empty digest stands for no prefix. */
  add(prefixDigest: string, replicaId: string, nowMs: number): void {
    if (prefixDigest === '') return;
    const replicas = this.addedAtMsByPrefix.get(prefixDigest) ?? new Map<string, number>();
    replicas.set(replicaId, nowMs);
    this.addedAtMsByPrefix.delete(prefixDigest);
    this.addedAtMsByPrefix.set(prefixDigest, replicas);
    const oldest = this.addedAtMsByPrefix.keys().next();
    if (this.addedAtMsByPrefix.size > MAX_PREFIXES && !oldest.done)
      this.addedAtMsByPrefix.delete(oldest.value);
  }

  /**
   * Applies a replica's report of the prefixes that it caches. A prefix that it does not list was evicted by the
   * replica, unless it was added within `REPORT_LAG_MS`.
   */
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

  /** Ids of the replicas that probably cache the prefix. */
  replicasOf(prefixDigest: string): string[] {
    return [...(this.addedAtMsByPrefix.get(prefixDigest)?.keys() ?? [])];
  }

  /** Whether the replica probably caches the prefix. */
  holds(prefixDigest: string, replicaId: string): boolean {
    return this.addedAtMsByPrefix.get(prefixDigest)?.has(replicaId) ?? false;
  }
}

/** Remembers which replicas hold which prompt prefixes, from late and incomplete events. */

const MAX_PREFIXES = 4_096;

/** A bounded map from prefix digest to the replicas that probably cache it. */
export class PrefixIndex {
  private readonly replicasByPrefix = new Map<string, Set<string>>();

  /** Notes that a replica holds the prefix, from an event or from our own dispatch. */
  add(prefixDigest: string, replicaId: string): void {
    const replicas = this.replicasByPrefix.get(prefixDigest) ?? new Set<string>();
    replicas.add(replicaId);
    this.replicasByPrefix.delete(prefixDigest);
    this.replicasByPrefix.set(prefixDigest, replicas);
    const oldest = this.replicasByPrefix.keys().next();
    if (this.replicasByPrefix.size > MAX_PREFIXES && !oldest.done) this.replicasByPrefix.delete(oldest.value);
  }

  /** Notes that a replica evicted the prefix. */
  remove(prefixDigest: string, replicaId: string): void {
    this.replicasByPrefix.get(prefixDigest)?.delete(replicaId);
  }

  /** Forgets everything of a replica, after a gap in its events. */
  forgetReplica(replicaId: string): void {
    this.replicasByPrefix.forEach((replicas) => replicas.delete(replicaId));
  }

  holds(prefixDigest: string, replicaId: string): boolean {
    return this.replicasByPrefix.get(prefixDigest)?.has(replicaId) ?? false;
  }
}

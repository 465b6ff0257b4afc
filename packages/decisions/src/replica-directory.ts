/** Decides which replicas exist, given reads of a store whose records may expire while it is unreachable. */
import type { DirectorySnapshot, ReplicaRecord } from '@fighub/core';

/**
 * A running replica whose record expired during an outage registers again within this time after the outage. A
 * replica that has not registered by then has ended.
 */
const HOLD_AFTER_OUTAGE_MS = 2_500;
/** A longer gap between a read and the previous snapshot counts as an outage of the store. */
const OUTAGE_GAP_MS = 1_500;

/**
 * Keeps the replicas that exist, from complete reads of the registered ones. A replica that is missing from a
 * read is removed, except right after an outage: then it is kept for a while, since its record may have
 * expired although the replica is running. This does not apply to a replica that was leaving or whose address
 * another replica has registered. Times are monotonic.
 */
export class ReplicaDirectory {
  private present: readonly ReplicaRecord[] = [];
  private revision = 0;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private holdUntilMs = Number.NEGATIVE_INFINITY;

  /** The replicas that are known to exist, with the store revision that they were read at. */
  get snapshot(): DirectorySnapshot {
    return { revision: this.revision, replicas: this.present };
  }

  /**
   * Records that this instance could not read the store. It says nothing about the store while other instances read
   * it.
   */
  onReadFailed(nowMs: number): void {
    const isOutage = this.revision > 0 && nowMs - this.lastReadMs > OUTAGE_GAP_MS;
    if (isOutage) this.holdUntilMs = Math.max(this.holdUntilMs, nowMs + HOLD_AFTER_OUTAGE_MS);
  }

  /**
   * Applies a snapshot that another instance has read, unless it is older than the current one. A later read
   * here is then compared with this snapshot instead of an outdated one.
   */
  applyFromPeer(snapshot: DirectorySnapshot, readAtMs: number): void {
    if (snapshot.revision < this.revision) return;
    this.present = snapshot.replicas;
    this.revision = snapshot.revision;
    this.lastReadMs = Math.max(this.lastReadMs, readAtMs);
  }

  /** Applies a read of the store by this instance, unless it is older than the current snapshot. */
  apply(reading: DirectorySnapshot, nowMs: number): void {
    if (reading.revision < this.revision) return;
    const hadOutage = this.revision > 0 && nowMs - this.lastReadMs > OUTAGE_GAP_MS;
    if (hadOutage) this.holdUntilMs = Math.max(this.holdUntilMs, nowMs + HOLD_AFTER_OUTAGE_MS);
    this.lastReadMs = nowMs;
    const listed = new Set(reading.replicas.map((replica) => replica.replicaId));
    const addresses = new Set(reading.replicas.map((replica) => replica.address));
    const held = this.present
      .filter((replica) => nowMs < this.holdUntilMs && !listed.has(replica.replicaId))
      .filter((replica) => !replica.leaving && !addresses.has(replica.address));
    this.present = [...reading.replicas, ...held];
    this.revision = reading.revision;
  }
}

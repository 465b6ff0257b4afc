/** Decides which replicas exist from readings of a store whose entries may lapse while it is away. */
import type { DirectorySnapshot, ReplicaRecord } from '@fighub/core';

/** Entries that lapsed in an outage are back this long after the store's return, or the replica is gone. */
const HOLD_AFTER_OUTAGE_MS = 2_500;
/** Readings that are further apart count as an outage. */
const OUTAGE_GAP_MS = 1_500;

/**
 * Takes in whole readings of the registered replicas. A replica that is missing from a reading is gone, except
 * right after an outage: then it is held, since its entry may have lapsed while the replica lived.
 */
export class ReplicaDirectory {
  private present: readonly ReplicaRecord[] = [];
  private revision = 0;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private holdUntilMs = Number.NEGATIVE_INFINITY;

  /** The replicas that exist as far as is known. */
  get snapshot(): DirectorySnapshot {
    return { revision: this.revision, replicas: this.present };
  }

  /** Notes that the store could not be read. */
  onReadFailed(nowMs: number): void {
    if (this.revision > 0) this.holdUntilMs = Math.max(this.holdUntilMs, nowMs + HOLD_AFTER_OUTAGE_MS);
  }

  /** Takes in what another instance has read, so that a later reading here is compared with the present. */
  adopt(snapshot: DirectorySnapshot, readAtMs: number): void {
    if (snapshot.revision < this.revision) return;
    this.present = snapshot.replicas;
    this.revision = snapshot.revision;
    this.lastReadMs = Math.max(this.lastReadMs, readAtMs);
  }

  /** Takes in a reading that is not older than the last one. */
  apply(reading: DirectorySnapshot, nowMs: number): void {
    if (reading.revision < this.revision) return;
    const wasAway = this.revision > 0 && nowMs - this.lastReadMs > OUTAGE_GAP_MS;
    if (wasAway) this.holdUntilMs = Math.max(this.holdUntilMs, nowMs + HOLD_AFTER_OUTAGE_MS);
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

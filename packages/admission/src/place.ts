/** Requests for places at replicas and the places that were granted. */
import type { WorkClass } from '@fighub/decisions';

/** What a stream needs to get a place. */
export interface PlaceDemand {
  readonly requestId: string;
  readonly organisation: string;
  readonly model: string;
  readonly workClass: WorkClass;
  readonly costTokens: number;
  /** Refused at once when it cannot be expected to start by this time; undefined to wait in any case. */
  readonly startByUnixMs?: number;
  /** Refused when it has not started by this time. */
  readonly deadlineUnixMs: number;
  readonly prefixDigest: string;
  readonly excludedReplicaIds: readonly string[];
  readonly resumable: boolean;
  readonly alone: boolean;
}

/** A place at a replica. */
export interface Place {
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  readonly fencingChecked: boolean;
  /** Aborted when the owner wants the place back. */
  readonly revoked: AbortSignal;
}

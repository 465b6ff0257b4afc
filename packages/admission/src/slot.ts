/** Requests for slots at replicas, and granted slots. A slot is one concurrent stream that a replica can run. */
import type { WorkClass } from '@fighub/decisions';

/** What a stream asks for when it needs a slot. */
export interface SlotDemand {
  readonly requestId: string;
  readonly organisation: string;
  readonly model: string;
  readonly workClass: WorkClass;
  /** Estimated cost of the stream, in tokens. */
  readonly costTokens: number;
  /**
   * The request is refused at once when it is not expected to start by this time. Undefined to wait until the
   * deadline whatever the expected wait.
   */
  readonly startByUnixMs?: number;
  /** The request is refused when it has not started by this time. */
  readonly deadlineUnixMs: number;
  /** Digest of the start of the prompt, which replicas may have cached; empty when there is none. */
  readonly prefixDigest: string;
  readonly excludedReplicaIds: readonly string[];
  readonly resumable: boolean;
  /** Whether the stream must not run beside other streams that may break their replica. */
  readonly alone: boolean;
}

/** A granted slot at a replica. */
export interface Slot {
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  /** Whether the replica refuses orders with an old fencing number. */
  readonly fencingChecked: boolean;
  /** Aborted when the owner of the pool preempts the stream. */
  readonly revoked: AbortSignal;
}

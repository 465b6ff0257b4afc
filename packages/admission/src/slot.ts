/**
 * Requests for slots, as the streams of this instance make them, and granted slots. A slot is one concurrent stream
 * that a replica can run.
 */
import type { WorkClass } from '@fighub/decisions';

/** The requirements of a stream that needs a slot. */
export interface SlotDemand {
  readonly requestId: string;
  /**
   * Organisation whose weight and limits apply. The `serving` package sets it to the name of the route where callers have
   * no organisations.
   */
  readonly organisation: string;
  /** Kind of work, whose items have similar lengths; undefined if that is the organisation. */
  readonly workload?: string;
  /** Name of the model or service. */
  readonly model: string;
  readonly workClass: WorkClass;
  /** Estimated cost of the stream, in tokens. */
  readonly costTokens: number;
  /**
   * An online request is refused at once when it is not expected to start by this time; undefined to use the deadline
   * instead.
   */
  readonly startByUnixMs?: number;
  /** Time at which a waiting online request is refused, or a waiting batch request is put behind all others. */
  readonly deadlineUnixMs: number;
  /** Digest of the start of the prompt, which replicas may have cached; empty when there is none. */
  readonly prefixDigest: string;
  /** Ids of the parts of the prompt that other requests may share; undefined when they are not known. */
  readonly sharedPartIds?: readonly string[];
  /** The same for all repeats of an online request; undefined for batch items and where it is not known. */
  readonly requestDigest?: string;
  /** Replicas that must not be chosen, because earlier attempts there failed. */
  readonly excludedReplicaIds: readonly string[];
  /** The only software version at whose replicas the stream may run, because it began there; undefined for any. */
  readonly softwareVersion?: string;
  /** Whether the stream can be stopped and continued later; only such batch streams are preempted. */
  readonly resumable: boolean;
  /** True for a batch item that may crash its replica: it runs in quarantine, with no other stream at the replica. */
  readonly alone: boolean;
  /** Tokens of a batch item's output that earlier runs have received; undefined when there are none. */
  readonly receivedTokens?: number;
  /** Tokens of the prompt and of the longest output, which the replica keeps in memory; undefined when not known. */
  readonly memoryTokens?: number;
  /**
   * Whether this is a copy of a request that runs elsewhere. It gets a slot at once, if one is to spare and the limit on copies
   * allows it, or none.
   */
  readonly isCopy?: boolean;
}

/** A granted slot at a replica. */
export interface Slot {
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  /** Whether the replica refuses requests with an outdated fencing number. */
  readonly fencingChecked: boolean;
  /** Undefined when the platform does not tell versions apart. */
  readonly softwareVersion?: string;
  /** Whether `PermitClient.reportProgress` is to be called once the stream shows that its prompt is sound. */
  readonly reportsProgress?: boolean;
  /** Aborted when the owner of the pool preempts the stream. */
  readonly revoked: AbortSignal;
}

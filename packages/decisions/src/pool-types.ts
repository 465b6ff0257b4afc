/** Entities, inputs and outputs of the scheduler of a pool. */
import type { Problem } from '@fighub/core';

import type { ConcurrencyLimit, LatencyTargets } from './concurrency.js';
import type { QueuedRequest } from './fair-queue.js';
import type { LoadDrift } from './load-drift.js';
import type { OrganisationQuota } from './organisation-quotas.js';
import type { PromptReporter } from './prompt-crashes.js';
import type { AttemptEnd, ReplicaHealth } from './replica-health.js';
import type { ReplicaSpeed } from './replica-speed.js';
import type { RequestRate } from './request-rate.js';

/** Class of work of a request. Online requests are served before batch items. */
export const WorkClass = { online: 'online', batch: 'batch' } as const;
export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/** A request for a slot at a replica of the pool. Times are monotonic milliseconds of the pool's owner. */
export interface SlotRequest extends QueuedRequest {
  /** Instance that made the request and holds the permit once it is granted. */
  readonly holder: string;
  /** Failure domain of the holder. Replicas in this domain are preferred. */
  readonly failureDomain?: string;
  /**
   * The request is refused at once when it is not expected to start by then; undefined to use the deadline
   * instead.
   */
  readonly startByMs?: number;
  readonly workClass: WorkClass;
  /** Kind of work, whose items have similar lengths; undefined if that is the organisation. */
  readonly workload?: string;
  /** Digest of the prompt prefix, to find replicas that cache it. */
  readonly prefixDigest: string;
  /** Ids of the parts of the prompt that other requests may share; empty when they are not known. */
  readonly sharedPartIds: readonly string[];
  /** The same for all repeats of an online request; undefined for batch items and where it is not known. */
  readonly requestDigest?: string;
  /** Replicas at which earlier attempts of the request failed. */
  readonly excludedReplicaIds: readonly string[];
  /** Whether the stream can be stopped and continued later; only such batch streams are preempted. */
  readonly resumable: boolean;
  /** True for a batch item that must run in quarantine, with no other stream at its replica. */
  readonly alone: boolean;
  readonly enqueuedAtMs: number;
  /** Tokens of a batch item's output that earlier runs have received; undefined when there are none. */
  readonly receivedTokens?: number;
  /** Tokens of the prompt and of the longest output, which a replica keeps in memory; undefined when not known. */
  readonly memoryTokens?: number;
  /** Whether this is a copy of a request that runs elsewhere, which gets a slot at once or none. */
  readonly isCopy?: boolean;
}

/** A crash of a replica under a request that ran there without a permit of the pool's owner. */
export interface ReplicaCrashReport {
  readonly requestId: string;
  readonly replicaId: string;
  readonly sharedPartIds: readonly string[];
  readonly requestDigest?: string;
  /** Events that the attempt brought. */
  readonly events: number;
  /** Time from the choice of the replica to the crash, in milliseconds. */
  readonly ranMs: number;
}

/** The right of a holder to run one stream at one replica. Times are monotonic milliseconds of the pool's owner. */
export interface Permit {
  readonly permitId: string;
  readonly request: SlotRequest;
  readonly replicaId: string;
  readonly grantedAtMs: number;
  /** Whether the holder reports once the stream shows that its prompt does not crash replicas. */
  readonly reportsProgress?: boolean;
  expiresAtMs: number;
  /** Set when the permit is revoked: its slot counts as free until this time, and then as occupied again. */
  revokedUntilMs?: number;
}

/** One replica of the pool, with the state that the pool's owner keeps for it. */
export interface PoolReplica {
  readonly replicaId: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Undefined when the platform does not tell versions apart. */
  readonly softwareVersion?: string;
  /** Position in the order in which the replicas were added, which decides between equal scores. */
  readonly position: number;
  readonly limit: ConcurrencyLimit;
  readonly rate: RequestRate;
  readonly health: ReplicaHealth;
  readonly drift: LoadDrift;
  readonly speed: ReplicaSpeed;
  /** Tokens that fit into the memory of the replica; undefined when not known. */
  readonly memoryTokens?: number;
  /** Start of the replica's incarnation, in Unix milliseconds; undefined when not known. */
  readonly startedAtUnixMs?: number;
  /** True when the replica gets no new work because it is about to shut down. */
  leaving: boolean;
  /** Number of consecutive times that the owner could not read the replica's load. */
  missedReports: number;
}

/** A replica of the pool as it is configured or registered. */
export interface ReplicaInfo {
  readonly replicaId: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Undefined when the platform does not tell versions apart. */
  readonly softwareVersion?: string;
  /** Maximum number of concurrent streams. */
  readonly maxConcurrency: number;
  /** Tokens that fit into its memory; undefined when not known. */
  readonly memoryTokens?: number;
  /** Start of its incarnation, in Unix milliseconds; undefined when not known. */
  readonly startedAtUnixMs?: number;
  readonly leaving: boolean;
}

/**
 * Numbers of streams at a replica, as the replica reports them with its responses. They are separate from the load
 * that the owner reads from the replica periodically; see `PoolReplica.missedReports`.
 */
export interface ReplicaLoadReport {
  readonly replicaId: string;
  readonly running: number;
  readonly waiting: number;
}

/** What a response to a request with a permit states as the limit of its replica. */
export interface RequestLimitReport {
  readonly replicaId: string;
  readonly permitId: string;
  /** Requests a second; undefined when the replica states no limit any more. */
  readonly requestsPerSecond?: number;
}

/** What the holder reports when it releases a permit. */
export interface ReleaseReport {
  readonly permitId: string;
  readonly end: AttemptEnd;
  /** Tokens that the stream used, which replace the estimated `costTokens` of the request. */
  readonly tokens: number;
  /** Time to the first token. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens. */
  readonly betweenTokensMs?: number;
}

/** Receives the decisions of the scheduler. */
export interface PoolOutput {
  /** A permit was granted for a slot of `replica`. */
  granted(permit: Permit, replica: PoolReplica): void;
  /** The request was removed from its queue, or never added, and has not run. */
  refused(request: SlotRequest, problem: Problem): void;
  /** The holder of the permit must stop the stream. */
  revoked(permit: Permit): void;
  /** A prompt was suspected of crashing replicas, or blocked for it. */
  promptFound: PromptReporter;
}

/** Settings of a pool, read at each decision. */
export interface PoolPolicy {
  /** Largest fraction of the slots that batch items leave free for bursts of online requests. */
  readonly reserveMaxFraction: number;
  readonly targets: LatencyTargets;
  /** Weight of an organisation in the fair queues. */
  weightOf(organisation: string): number;
  limitsOf(organisation: string): OrganisationLimitSettings;
  /** Copies of slow requests that may be sent, as a fraction of the requests; undefined or 0 for none. */
  readonly maxCopyFraction?: number;
  /** Quota of the online requests of an organisation in this pool; undefined for none. */
  quotaOf?(organisation: string): OrganisationQuota | undefined;
}

/** Limits of one organisation in one pool; an undefined limit does not apply. */
export interface OrganisationLimitSettings {
  readonly maxInFlight?: number;
  readonly requestsPerSecond?: number;
  readonly tokensPerSecond?: number;
}

/** Expected wait of a new online request of one organisation in a pool. */
export interface OrganisationWait {
  readonly organisation: string;
  readonly expectedWaitMs: number;
}

/** Load of a pool, as the owner sends it to other instances in summaries. */
export interface PoolLoad {
  readonly poolId: string;
  /** Number of slots of the replicas that are not leaving. */
  readonly places: number;
  /** Number of permits of online requests. */
  readonly onlineStreams: number;
  /** Number of permits of batch items. */
  readonly batchStreams: number;
  readonly onlineWaiting: number;
  /** Batch items that wait, including those that wait for quarantine. */
  readonly batchWaiting: number;
  /** Expected wait of a new online request of an organisation that is not in `organisationWaits`. */
  readonly newcomerWaitMs: number;
  /** Expected waits of the organisations with the most waiting online requests. */
  readonly organisationWaits: readonly OrganisationWait[];
  /** Number of slots that batch items leave free for bursts of online requests. */
  readonly reservedPlaces: number;
}

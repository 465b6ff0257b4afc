/** Entities and messages of a pool's scheduler. */
import type { Problem } from '@fighub/core';

import type { ConcurrencyLimit, LatencyTargets } from './concurrency.js';
import type { QueuedRequest } from './fair-queue.js';
import type { LoadDrift } from './load-drift.js';
import type { AttemptEnd, ReplicaHealth } from './replica-health.js';

/** Online requests are served before batch items. */
export const WorkClass = { online: 'online', batch: 'batch' } as const;
export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/** A request that asks for a place at a replica. Times are monotonic times of the owner. */
export interface PlaceRequest extends QueuedRequest {
  readonly holder: string;
  /** Where the holder is: replicas there are nearer. */
  readonly failureDomain?: string;
  /** Refused at once when the expected wait is longer; undefined to wait until the deadline. */
  readonly startByMs?: number;
  readonly workClass: WorkClass;
  readonly prefixDigest: string;
  readonly excludedReplicaIds: readonly string[];
  readonly resumable: boolean;
  /** Set when the item must run without other suspects beside it. */
  readonly alone: boolean;
  readonly enqueuedAtMs: number;
}

/** The right to run one stream at one replica. */
export interface Permit {
  readonly permitId: string;
  readonly request: PlaceRequest;
  readonly replicaId: string;
  readonly grantedAtMs: number;
  expiresAtMs: number;
  /** Set when the holder was told to stop; the place counts as free until this time. */
  revokedUntilMs?: number;
}

/** One replica as the owner sees it. */
export interface PoolReplica {
  readonly replicaId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly limit: ConcurrencyLimit;
  readonly health: ReplicaHealth;
  readonly drift: LoadDrift;
  leaving: boolean;
  /** Load reports in a row that did not come. */
  missedReports: number;
}

/** Static data of a replica. */
export interface ReplicaInfo {
  readonly replicaId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly maxConcurrency: number;
  readonly leaving: boolean;
}

/** Streams at a replica as it reported them itself with an answer. */
export interface ReplicaLoadReport {
  readonly replicaId: string;
  readonly running: number;
  readonly waiting: number;
}

/** What the holder tells when it gives a place back. */
export interface ReleaseReport {
  readonly permitId: string;
  readonly end: AttemptEnd;
  readonly tokens: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
}

/** Receives the decisions of the scheduler. */
export interface PoolOutput {
  granted(permit: Permit, replica: PoolReplica): void;
  refused(request: PlaceRequest, problem: Problem): void;
  revoked(permit: Permit): void;
}

/** Values from the operators' table, read at each decision. */
export interface PoolPolicy {
  /** Places that batch leaves free for sudden online arrivals, at most, as a fraction of all. */
  readonly reserveMaxFraction: number;
  readonly targets: LatencyTargets;
  weightOf(organisation: string): number;
  limitsOf(organisation: string): OrganisationLimitSettings;
}

/** Limits of one organisation in this pool. */
export interface OrganisationLimitSettings {
  readonly maxInFlight?: number;
  readonly requestsPerSecond?: number;
  readonly tokensPerSecond?: number;
}

/** Expected wait of one organisation in a pool. */
export interface OrganisationWait {
  readonly organisation: string;
  readonly expectedWaitMs: number;
}

/** Load of a pool as spread to peers. */
export interface PoolLoad {
  readonly poolId: string;
  readonly places: number;
  readonly onlineStreams: number;
  readonly batchStreams: number;
  readonly onlineWaiting: number;
  readonly batchWaiting: number;
  /** Expected wait of an organisation that is not in `organisationWaits`. */
  readonly newcomerWaitMs: number;
  readonly organisationWaits: readonly OrganisationWait[];
  readonly reservedPlaces: number;
}

/** The routing configuration and the directory of replicas, as typed values. */

/** What may be repeated of a route's requests. */
export const RouteKind = {
  /** May run more than once. */
  safe: 'safe',
  /** Runs at most once for each attempt of the caller. */
  unsafe: 'unsafe',
  /** Answered by a stream of events; at most once unless it is resumable. */
  streaming: 'streaming',
  /** Jobs of many items that are run later. */
  batch: 'batch',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that a route sends a part of its requests to. */
export interface RouteBackend {
  readonly service: string;
  readonly weight: number;
}

/** Limits of a route that takes batch jobs. */
export interface BatchRules {
  /** From a job's arrival to the time when all results are due. */
  readonly dueAfterMs: number;
  /** From a job's arrival to the time when an item may be given up. */
  readonly abandonAfterMs: number;
  /** Tokens of unfinished items that may wait on the route; 0 for no limit. */
  readonly maxWaitingTokens: number;
}

/** One route. A request takes the route of its host with the longest matching path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly backends: readonly RouteBackend[];
  /** Longest time that a request may be kept waiting for its whole answer. */
  readonly timeoutMs: number;
  /** Time within which the answer, or its first event, is wanted. */
  readonly targetMs: number;
  /** Replicas that one attempt of a caller may run on. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly resumable: boolean;
  /** Longest wanted pause between two events. */
  readonly eventGapTargetMs?: number;
  readonly batch?: BatchRules;
}

/** A service with replicas. */
export interface ServiceDescription {
  readonly name: string;
  /** Connections that one replica takes from all callers together. */
  readonly maxConnections?: number;
  /** Streams that one replica runs at once. */
  readonly slots?: number;
}

/** Bounds on what a caller may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's routing configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  readonly limits: RequestLimits;
}

/** A replica as it registered itself. */
export interface ReplicaRecord {
  readonly replicaId: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Tells two lives of one replica id apart; undefined when the replica does not say. */
  readonly startedAtUnixMs?: number;
}

/** All replicas at one revision of the store. */
export interface DirectorySnapshot {
  readonly revision: number;
  readonly replicas: readonly ReplicaRecord[];
}

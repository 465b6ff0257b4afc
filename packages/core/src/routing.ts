/** Types of the routing configuration and of the directory of replicas. */

/** Kind of a route, which determines whether its requests may be retried. */
export const RouteKind = {
  /** A request may run more than once. */
  safe: 'safe',
  /** A request runs at most once for each attempt of the caller. */
  unsafe: 'unsafe',
  /** The response is a stream of events. A request runs at most once unless the route is resumable. */
  streaming: 'streaming',
  /** Requests are jobs of many items, which run after the job was accepted. */
  batch: 'batch',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a share of a route's requests, in proportion to `weight`. */
export interface RouteBackend {
  readonly service: string;
  readonly weight: number;
}

/** Time limits and token limit of a route that accepts batch jobs. */
export interface BatchRules {
  /** Time from a job's arrival until all of its results are due. */
  readonly dueAfterMs: number;
  /** Time from a job's arrival until its items without a result may be given up. */
  readonly abandonAfterMs: number;
  /** Maximum tokens of the unfinished items on the route, over all jobs; 0 for no limit. */
  readonly maxWaitingTokens: number;
}

/** One route. A request is matched to the route of its host that has the longest matching path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly backends: readonly RouteBackend[];
  /** Longest time that a request may wait for its complete response. */
  readonly timeoutMs: number;
  /** Target latency of the response or, for a stream, of its first event. */
  readonly targetMs: number;
  /**
   * Maximum number of attempts at replicas for one attempt of a caller. For a batch item, the number of failed attempts
   * after which it is given up.
   */
  readonly maxAttempts: number;
  /** Priority of the route's requests; 0 is the most urgent. */
  readonly priority: number;
  /** Whether an interrupted stream can be resumed, which allows it to run again. */
  readonly resumable: boolean;
  /** Target for the time between two events of a stream. */
  readonly eventGapTargetMs?: number;
  readonly batch?: BatchRules;
  /** Whether requests need no key, also where the configuration has organisations. */
  readonly anonymous?: boolean;
}

/** A service that is provided by replicas. */
export interface ServiceDescription {
  readonly name: string;
  /** Maximum number of connections that one replica accepts from all of its clients together. */
  readonly maxConnections?: number;
  /** Number of slots of one replica, each of which runs one stream at a time. */
  readonly slots?: number;
  /** Tokens that fit into the memory of one replica, over all requests that it holds. */
  readonly memoryTokens?: number;
}

/** A caller's organisation. Its requests carry one of its keys. */
export interface Organisation {
  readonly name: string;
  /** Digests of the keys, as `keyDigest` returns them. The keys themselves are not kept. */
  readonly keyDigests: readonly string[];
  /** Priority of the organisation's requests, instead of that of their route; undefined to use the route's. */
  readonly priority?: number;
  /** Limit of online requests a second over all instances; undefined for none. */
  readonly requestsPerSecond?: number;
  /** Requests beyond that rate that may follow one another. */
  readonly burstRequests: number;
}

/** Limits on the requests and connections of callers. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the complete headers of a request must arrive. */
  readonly headerTimeoutMs: number;
  /** Time that a connection without a request is kept open. */
  readonly idleTimeoutMs: number;
}

/** One version of the operator's routing configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  readonly limits: RequestLimits;
  /** Undefined if callers need no keys. */
  readonly organisations?: readonly Organisation[];
}

/** A replica as it registered itself. */
export interface ReplicaRecord {
  readonly replicaId: string;
  readonly service: string;
  /** Host and port, separated by a colon. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of the replica's software, which does not change under one id; empty when its entry does not state it. */
  readonly softwareVersion: string;
  readonly slots: number;
  /** True when the replica is about to stop and takes no new requests. */
  readonly leaving: boolean;
  /** Distinguishes incarnations of one replica id; undefined when the replica does not report it. */
  readonly startedAtUnixMs?: number;
}

/** All registered replicas at one revision of the key-value service. */
export interface DirectorySnapshot {
  readonly revision: number;
  readonly replicas: readonly ReplicaRecord[];
}

/** The messages between instances, by name. */
import type {
  DirectorySnapshot,
  Problem,
  RoutingConfiguration,
  StoredResult,
  TableBucket,
} from '@fighub/core';
import type {
  BegunStream,
  KnownOrigin,
  MemberUpdate,
  PoolLoad,
  RelayState,
  ReleaseReport,
  ReplicaCrashReport,
  ReplicaLoadReport,
  RequestLimitReport,
  ResumedStream,
  WorkClass,
} from '@fighub/decisions';

/**
 * Requests a slot from the owner of a pool. The response only states whether the owner accepted the request; a later
 * notice grants or refuses the slot.
 */
export interface AcquireBody {
  readonly poolId: string;
  readonly requestId: string;
  /** Instance that requests the slot and will hold the permit. */
  readonly holder: string;
  readonly organisation: string;
  /** Kind of work, whose items have similar lengths; omitted if that is the organisation. */
  readonly workload?: string;
  readonly workClass: WorkClass;
  /** Estimated tokens of the stream, charged to the organisation until the actual number is reported. */
  readonly costTokens: number;
  /**
   * An online request that is not expected to start within this time is refused at once; undefined to use the
   * deadline instead. Times are sent as durations, since the clocks of instances may differ.
   */
  readonly startInMs?: number;
  /** Time left until a waiting online request is refused or a waiting batch request is put behind all others. */
  readonly deadlineInMs: number;
  readonly prefixDigest: string;
  /** Ids of the parts of the prompt that other requests may share; omitted when there are none. */
  readonly sharedPartIds?: readonly string[];
  /** The same for all repeats of an online request; omitted for batch items and where it is not known. */
  readonly requestDigest?: string;
  readonly excludedReplicaIds: readonly string[];
  /** The only software version at whose replicas the stream may run; omitted for any. */
  readonly softwareVersion?: string;
  readonly resumable: boolean;
  /** True for a batch item that may crash its replica: it runs in quarantine, with no other stream at the replica. */
  readonly alone: boolean;
  /** Tokens of a batch item's output that earlier runs have received; omitted when there are none. */
  readonly receivedTokens?: number;
  /** Tokens of the prompt and of the longest output; omitted when not known. */
  readonly memoryTokens?: number;
  /** Whether this is a copy of a request that runs elsewhere; omitted if not. */
  readonly isCopy?: boolean;
}

/** Notifies a holder that it was granted a permit for a slot. */
export interface GrantedBody {
  readonly requestId: string;
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  /** Whether the replica refuses requests with an outdated fencing number. */
  readonly fencingChecked: boolean;
  /** Omitted when the platform does not tell versions apart. */
  readonly softwareVersion?: string;
  /** Whether the holder must report once the stream shows that its prompt does not crash replicas; omitted if not. */
  readonly reportsProgress?: boolean;
}

/** Permits that a holder releases, and the loads that replicas have reported with their responses. */
export interface PermitReleaseBody {
  readonly poolId: string;
  readonly reports: readonly ReleaseReport[];
  readonly loads: readonly ReplicaLoadReport[];
  /** Crashes of replicas under requests without a permit; omitted when there are none. */
  readonly crashes?: readonly ReplicaCrashReport[];
  /** Limits that replicas have stated with responses, or stated no more; omitted when there are none. */
  readonly limits?: readonly RequestLimitReport[];
}

/** A blocked prompt, with the time that is left of the block in milliseconds. */
export interface BlockedPromptBody {
  readonly partIds: readonly string[];
  readonly leftMs: number;
  readonly blockCount: number;
}

/** The newest statement of a replica about its limit. */
export interface RequestLimitBody {
  readonly replicaId: string;
  /** Requests a second; omitted when the replica has stopped to state a limit. */
  readonly requestsPerSecond?: number;
  /** Time since the statement was received, in milliseconds. */
  readonly ageMs: number;
}

/** What the responses and ends of replicas have shown, for all instances. */
export interface ObservationsBody {
  /** Prompts with which requests are refused; omitted when there are none. */
  readonly blockedPrompts?: readonly BlockedPromptBody[];
  /** Limits of replicas; omitted when there are none. */
  readonly requestLimits?: readonly RequestLimitBody[];
}

/** A stream that has begun, for the members that keep its origin for the instance that forwards it. */
export interface KeptStream extends BegunStream {
  /** Time for which the origin is kept, in milliseconds. */
  readonly keepForMs: number;
}

/** A permit as its holder describes it to the pool's owner, which may be a new one. */
export interface HeldPermit {
  readonly permitId: string;
  readonly replicaId: string;
  readonly request: AcquireBody;
}

/** Renews the permits of a holder in a pool. Permits that it does not list have ended. */
export interface PermitRenewBody {
  readonly poolId: string;
  readonly holder: string;
  readonly permits: readonly HeldPermit[];
}

/**
 * Versions of an instance's replicated data, by which a peer recognises that its own copy is older. These are the
 * revisions of all buckets of the operators' table in the order of bucket numbers or, for instances of the `serving`
 * package, only the version of the routing configuration.
 */
export interface TableDigest {
  readonly revisions: readonly number[];
}

/** A relay's view of the fleet: configuration, replica directory and backlog of batch jobs. */
export interface FleetViewBody extends ObservationsBody {
  readonly configurationVersion: number;
  /** Omitted when the receiver probably has this version already. */
  readonly configuration?: RoutingConfiguration;
  readonly directory: DirectorySnapshot;
  /** Time since the directory was read from the store, in milliseconds. */
  readonly ageMs: number;
  readonly backlog?: JobBacklog;
  /** Listed replicas whose responses have stated that they are leaving; omitted when there are none. */
  readonly leavingReplicaIds?: readonly string[];
}

/** Which configuration an instance knows, and when it was the newest one. */
export interface ConfigurationProof {
  readonly version: number;
  /** Time since there was certainly no newer version, in milliseconds; omitted if that was never known. */
  readonly ageMs?: number;
}

/** Tokens of the unfinished batch items, from the latest listing that the sender knows. */
export interface JobBacklog {
  /** The largest backlogs, by route and organisation, as `backlogName` names them. */
  readonly tokensByRoute: Readonly<Record<string, number>>;
  /** No other backlog is larger; omitted if there is none. */
  readonly othersAtMostTokens?: number;
  /** Time since the listing, in milliseconds. */
  readonly ageMs: number;
}

/** Requests a page of a job's committed results from the holder of the job. */
export interface JobResultsBody {
  readonly jobId: string;
  /** Number of results to skip, which the reader already has. */
  readonly afterPosition: number;
}

/** Response to a request for results. */
export interface JobResultsResponse {
  /** False when the responding instance does not hold the job. */
  readonly held: boolean;
  readonly itemCount: number;
  /**
   * Total number of committed results. If it is lower than the reader's position, the responding instance is no
   * longer the holder.
   */
  readonly committedCount: number;
  /** Organisation of the job; omitted if it has none. */
  readonly organisation?: string;
  readonly results: readonly StoredResult[];
}

/** Requests the body of an item from the holder of its job. */
export interface JobItemBody {
  readonly jobId: string;
  readonly itemId: string;
}

/** Response to a request for the body of an item. */
export interface JobItemResponse {
  /** False when the responding instance has not got the items of the job in memory. */
  readonly held: boolean;
  /** Organisation of the job; omitted if it has none. */
  readonly organisation?: string;
  /** Omitted if the job has no such item. */
  readonly bodyBase64?: string;
}

/** A call to the key-value service that the receiver makes on behalf of the sender. */
export type StoreCall =
  | { readonly kind: 'get'; readonly key: string }
  | { readonly kind: 'list'; readonly prefix: string; readonly limit: number; readonly afterKey?: string }
  | { readonly kind: 'transact'; readonly changes: readonly StoreChange[] };

/** Change or comparison of one key in a transaction, as `KeyChange` of the `outside` package. */
export interface StoreChange {
  readonly key: string;
  /** Revision at which the key must be; 0 when it must be absent. */
  readonly expectedRevision: number;
  /** The new value; undefined deletes the key. */
  readonly value?: string;
  readonly compareOnly?: boolean;
}

/** Result of a relayed store call: the outcome as the client of the key-value service returns it. */
export interface StoreCallResponse {
  readonly outcome: unknown;
}

/** A request to a replica that the receiver sends on behalf of the holder of the slot. */
export interface RelayCallBody {
  /** Unique among the calls of the holder. */
  readonly callId: string;
  /** Instance that receives the response in `relay.part` notices. */
  readonly holder: string;
  readonly replicaId: string;
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** Time left for the request, in milliseconds; omitted for no limit. */
  readonly leftMs?: number;
  /** Id of the last event that was received, to resume a stream after it. */
  readonly resumeAfter?: number;
}

/** Status and headers of a replica's response, as `UpstreamHead` of the `serving` package. */
export interface RelayedHead {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly framing: string;
  readonly notRun: boolean;
  readonly load?: { readonly running: number; readonly waiting: number };
  readonly requestsPerSecond?: number;
}

/** How a relayed call ended, as `UpstreamEnd` of the `serving` package. */
export interface RelayedEnd {
  readonly kind: string;
  readonly detail: string;
  /** Whether the relay could not connect to the replica; omitted if not. */
  readonly unreachable?: boolean;
  /** Whether the failure is one of the relay and says nothing about the replica; omitted if not, and by earlier releases. */
  readonly pathsLost?: boolean;
  /** Whether the request cannot be expressed in the protocol; omitted if not. An earlier release reads `kind` only. */
  readonly unsendable?: boolean;
}

/** A part of the response to a relayed call. Each notice has one of the optional fields. */
export interface RelayPartBody {
  readonly callId: string;
  /** Number of earlier parts of the response. */
  readonly index: number;
  /** Id of the replica that responds and states that it is leaving. */
  readonly leavingReplicaId?: string;
  readonly head?: RelayedHead;
  readonly data?: Uint8Array;
  readonly end?: RelayedEnd;
}

/** Body of a ping and of the response to it: the sender, membership updates, and digests of what the sender knows. */
export interface PingBody {
  readonly from: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
  readonly table: TableDigest;
  /** Digest of the live members that the sender knows; absent in messages of older releases. */
  readonly liveDigest?: number;
}

/** Bodies of the requests (`body`) and of their responses (`answer`), by message name. */
export interface PeerRequests {
  'permit.renew': { body: PermitRenewBody; answer: Record<string, never> };
  'permit.acquire': { body: AcquireBody; answer: { accepted: boolean } };
  'swim.ping': { body: PingBody; answer: PingBody };
  'swim.members': { body: Record<string, never>; answer: { members: readonly MemberUpdate[] } };
  'swim.indirect': { body: { targetAddress: string }; answer: { reached: boolean } };
  'table.fetch': { body: { buckets: readonly number[] }; answer: { buckets: readonly TableBucket[] } };
  'pool.load': { body: { poolIds: readonly string[] }; answer: { loads: readonly PoolLoad[] } };
  /** Which configuration the responding instance knows to be the newest. */
  'configuration.prove': { body: Record<string, never>; answer: ConfigurationProof };
  'view.fetch': { body: Record<string, never>; answer: FleetViewBody };
  /** Where a stream began that its caller resumes. */
  'stream.origin': { body: ResumedStream; answer: KnownOrigin };
  'store.call': { body: StoreCall; answer: StoreCallResponse };
  /** Whether the responding instance relays requests to replicas. */
  'relay.state': { body: Record<string, never>; answer: RelayState };
  /** Relays a request to a replica. It is not sent if the call is not accepted. */
  'relay.call': { body: RelayCallBody; answer: { accepted: boolean } };
  'job.item': { body: JobItemBody; answer: JobItemResponse };
  'job.results': { body: JobResultsBody; answer: JobResultsResponse };
  /** Whether the responding instance still runs the request with this idempotency key. */
  'once.state': { body: { key: string }; answer: { running: boolean } };
}

/** Bodies of the one-way messages, by message name. */
export interface PeerNotices {
  'permit.withdraw': { poolId: string; requestId: string };
  'permit.release': PermitReleaseBody;
  'permit.granted': GrantedBody;
  'permit.refused': { requestId: string; problem: Problem };
  'permit.revoked': { permitId: string };
  'owner.suspected': { instanceId: string };
  /** A response of the replica stated that it is leaving. The owner of its pool passes this on to the coordinators. */
  'replica.leaving': { replicaId: string; passOn: boolean };
  /** The stream of a permit has shown that its prompt does not crash replicas. */
  'permit.progress': { poolId: string; permitId: string };
  /** What the owner of a pool has observed. The coordinators pass it on with their views. */
  'replicas.observed': ObservationsBody;
  'relay.part': RelayPartBody;
  /** The holder has passed on this many more bytes of a relayed response. */
  'relay.read': { callId: string; holder: string; bytes: number };
  /** The holder no longer wants the response to a relayed call. */
  'relay.cancel': { callId: string; holder: string };
  'table.push': { bucket: TableBucket };
  'stream.begun': { streams: readonly KeptStream[] };
  'job.cancelled': { jobId: string };
  'job.offered': { jobId: string };
  'view.pushed': FleetViewBody;
  'swim.update': { updates: readonly MemberUpdate[] };
}

export type PeerRequestName = keyof PeerRequests;
export type PeerNoticeName = keyof PeerNotices;

/** Handles one kind of request and returns the body of the response. */
export type RequestHandler<K extends PeerRequestName> = (
  body: PeerRequests[K]['body'],
) => PeerRequests[K]['answer'] | Promise<PeerRequests[K]['answer']>;

/** Handles one kind of notice. */
export type NoticeHandler<K extends PeerNoticeName> = (body: PeerNotices[K]) => void;

/** Reasons why a request to a peer has no response. */
export const PeerFailure = {
  /** The connection was closed before the handshake succeeded. */
  notConnected: 'not_connected',
  timeout: 'timeout',
  /** Too much is still to be sent on the connection; the request was not sent. */
  congested: 'congested',
  /** The connection was closed after the handshake. */
  closed: 'closed',
} as const;
export type PeerFailure = (typeof PeerFailure)[keyof typeof PeerFailure];

/** The messages between instances, by name. */
import type {
  DirectorySnapshot,
  Problem,
  RoutingConfiguration,
  StoredResult,
  TableBucket,
} from '@fighub/core';
import type { MemberUpdate, PoolLoad, ReleaseReport, ReplicaLoadReport, WorkClass } from '@fighub/decisions';

/**
 * Asks the owner of a pool for a slot. The answer only states whether the owner accepted the request; the
 * slot is granted or refused by a later notice.
 */
export interface AcquireBody {
  readonly poolId: string;
  readonly requestId: string;
  /** Instance that asks for the slot. */
  readonly holder: string;
  readonly organisation: string;
  readonly workClass: WorkClass;
  readonly costTokens: number;
  /** Times are sent as the remaining milliseconds, since the clocks of instances may differ. */
  readonly startInMs?: number;
  readonly deadlineInMs: number;
  readonly prefixDigest: string;
  readonly excludedReplicaIds: readonly string[];
  readonly resumable: boolean;
  /** Set for an item that may crash its replica: it runs in quarantine, never beside another suspect. */
  readonly alone: boolean;
}

/** Tells the holder that it was granted a permit for a slot. */
export interface GrantedBody {
  readonly requestId: string;
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  /** Whether the replica checks fencing numbers. */
  readonly fencingChecked: boolean;
}

/** Permits that ended, and the load that replicas have reported with their answers. */
export interface PermitReleaseBody {
  readonly poolId: string;
  readonly reports: readonly ReleaseReport[];
  readonly loads: readonly ReplicaLoadReport[];
}

/** A permit as its holder describes it to the pool's owner, which may be a new one. */
export interface HeldPermit {
  readonly permitId: string;
  readonly replicaId: string;
  readonly request: AcquireBody;
}

/** Renews the permits of a holder in a pool; lists all of them. */
export interface PermitRenewBody {
  readonly poolId: string;
  readonly holder: string;
  readonly permits: readonly HeldPermit[];
}

/** Summary of an instance's table: the revision of each bucket, in the order of bucket numbers. */
export interface TableDigest {
  readonly revisions: readonly number[];
}

/** A relay's view of the fleet: configuration, replica directory and backlog of batch jobs. */
export interface FleetViewBody {
  readonly configurationVersion: number;
  /** Omitted when the receiver probably has this version already. */
  readonly configuration?: RoutingConfiguration;
  readonly directory: DirectorySnapshot;
  /** Time since the directory was read from the store, in milliseconds. */
  readonly ageMs: number;
  readonly backlog?: JobBacklog;
}

/** Tokens of waiting batch jobs by route, from the latest listing that the sender knows. */
export interface JobBacklog {
  readonly tokensByRoute: Readonly<Record<string, number>>;
  /** Time since the listing, in milliseconds. */
  readonly ageMs: number;
}

/** Asks a job's holder for a page of the results that it has committed. */
export interface JobResultsBody {
  readonly jobId: string;
  readonly afterPosition: number;
}

/** Answer to a request for results. */
export interface JobResultsAnswer {
  /** False when the answering instance does not hold the job. */
  readonly held: boolean;
  readonly itemCount: number;
  /**
   * Total number of committed results. If it is lower than a reader has already seen, the answering instance
   * has ceased to be the holder.
   */
  readonly committedCount: number;
  readonly results: readonly StoredResult[];
}

/** A call to the key-value service that the receiver makes on behalf of the sender. */
export type StoreCall =
  | { readonly kind: 'get'; readonly key: string }
  | { readonly kind: 'list'; readonly prefix: string; readonly limit: number; readonly afterKey?: string }
  | { readonly kind: 'transact'; readonly changes: readonly StoreChange[] };

/** Change or comparison of one key in a transaction. */
export interface StoreChange {
  readonly key: string;
  readonly expectedRevision: number;
  readonly value?: string;
  readonly compareOnly?: boolean;
}

/** Result of a relayed call: the outcome as the client of the key-value service returns it. */
export interface StoreCallAnswer {
  readonly outcome: unknown;
}

/** Body of a ping and of its answer: the sender, membership updates and table state. */
export interface PingBody {
  readonly from: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
  readonly table: TableDigest;
}

/** Bodies of the requests and of their answers, by message name. */
export interface PeerRequests {
  'permit.renew': { body: PermitRenewBody; answer: Record<string, never> };
  'permit.acquire': { body: AcquireBody; answer: { accepted: boolean } };
  'swim.ping': { body: PingBody; answer: PingBody };
  'swim.members': { body: Record<string, never>; answer: { members: readonly MemberUpdate[] } };
  'swim.indirect': { body: { targetAddress: string }; answer: { reached: boolean } };
  'table.fetch': { body: { buckets: readonly number[] }; answer: { buckets: readonly TableBucket[] } };
  'pool.load': { body: { poolIds: readonly string[] }; answer: { loads: readonly PoolLoad[] } };
  'view.fetch': { body: Record<string, never>; answer: FleetViewBody };
  'store.call': { body: StoreCall; answer: StoreCallAnswer };
  'job.results': { body: JobResultsBody; answer: JobResultsAnswer };
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
  'table.push': { bucket: TableBucket };
  'job.cancelled': { jobId: string };
  'job.offered': { jobId: string };
  'view.pushed': FleetViewBody;
  'swim.update': { updates: readonly MemberUpdate[] };
}

export type PeerRequestName = keyof PeerRequests;
export type PeerNoticeName = keyof PeerNotices;

/** Handles one kind of request and returns its answer. */
export type RequestHandler<K extends PeerRequestName> = (
  body: PeerRequests[K]['body'],
) => PeerRequests[K]['answer'] | Promise<PeerRequests[K]['answer']>;

/** Handles one kind of notice. */
export type NoticeHandler<K extends PeerNoticeName> = (body: PeerNotices[K]) => void;

/** Reasons why a request to a peer has no answer. */
export const PeerFailure = {
  notConnected: 'not_connected',
  timeout: 'timeout',
  congested: 'congested',
  closed: 'closed',
} as const;
export type PeerFailure = (typeof PeerFailure)[keyof typeof PeerFailure];

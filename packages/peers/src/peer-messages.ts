/** All messages between instances, by name. */
import type {
  DirectorySnapshot,
  Problem,
  RoutingConfiguration,
  StoredResult,
  TableBucket,
} from '@fighub/core';
import type { MemberUpdate, PoolLoad, ReleaseReport, ReplicaLoadReport, WorkClass } from '@fighub/decisions';

/** Asks the owner of a pool for a place. The answer tells only whether the owner took the request. */
export interface AcquireBody {
  readonly poolId: string;
  readonly requestId: string;
  readonly holder: string;
  readonly organisation: string;
  readonly workClass: WorkClass;
  readonly costTokens: number;
  /** Times are sent as what is left of them, since clocks of instances may differ. */
  readonly startInMs?: number;
  readonly deadlineInMs: number;
  readonly prefixDigest: string;
  readonly excludedReplicaIds: readonly string[];
  readonly resumable: boolean;
  readonly alone: boolean;
}

/** Tells the holder that a place was granted. */
export interface GrantedBody {
  readonly requestId: string;
  readonly permitId: string;
  readonly poolId: string;
  readonly replicaId: string;
  readonly address: string;
  readonly fencingChecked: boolean;
}

/** Permits that ended, and what replicas have said of their load. */
export interface PermitReleaseBody {
  readonly poolId: string;
  readonly reports: readonly ReleaseReport[];
  readonly loads: readonly ReplicaLoadReport[];
}

/** A permit as its holder describes it to the owner. */
export interface HeldPermit {
  readonly permitId: string;
  readonly replicaId: string;
  readonly request: AcquireBody;
}

/** All permits that a holder has in a pool. */
export interface PermitRenewBody {
  readonly poolId: string;
  readonly holder: string;
  readonly permits: readonly HeldPermit[];
}

/** Table state by bucket, in the order of bucket numbers. */
export interface TableDigest {
  readonly revisions: readonly number[];
}

/** What a relay knows of the fleet. */
export interface FleetViewBody {
  readonly configurationVersion: number;
  /** Left out when the receiver probably has this version. */
  readonly configuration?: RoutingConfiguration;
  readonly directory: DirectorySnapshot;
  /** Time since the sender read the directory from the store. */
  readonly ageMs: number;
  readonly backlog?: JobBacklog;
}

/** Tokens of batch jobs that wait, as a coordinator has listed them. */
export interface JobBacklog {
  readonly tokensByRoute: Readonly<Record<string, number>>;
  /** Time since the listing. */
  readonly ageMs: number;
}

/** A page of a job's results as its holder has committed them. */
export interface JobResultsBody {
  readonly jobId: string;
  readonly afterPosition: number;
}

/** Answer of a holder; `held` is false when the job is not held there. */
export interface JobResultsAnswer {
  readonly held: boolean;
  readonly itemCount: number;
  /** Results in all. Fewer than a reader has seen: the holder is not the holder any more. */
  readonly committedCount: number;
  readonly results: readonly StoredResult[];
}

/** A call to the key-value service that another instance makes for the sender. */
export type StoreCall =
  | { readonly kind: 'get'; readonly key: string }
  | { readonly kind: 'list'; readonly prefix: string; readonly limit: number; readonly afterKey?: string }
  | { readonly kind: 'transact'; readonly changes: readonly StoreChange[] };

/** One key of a transaction. */
export interface StoreChange {
  readonly key: string;
  readonly expectedRevision: number;
  readonly value?: string;
  readonly compareOnly?: boolean;
}

/** What became of a call: the outcome as the service's client gives it. */
export interface StoreCallAnswer {
  readonly outcome: unknown;
}

/** A probe with piggybacked state. */
export interface PingBody {
  readonly from: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
  readonly table: TableDigest;
}

/** Requests and their responses, by name. */
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

/** One-way messages, by name. */
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

/** Answers one kind of request. */
export type RequestHandler<K extends PeerRequestName> = (
  body: PeerRequests[K]['body'],
) => PeerRequests[K]['answer'] | Promise<PeerRequests[K]['answer']>;

/** Takes one kind of notice. */
export type NoticeHandler<K extends PeerNoticeName> = (body: PeerNotices[K]) => void;

/** Why a request to a peer has no answer. */
export const PeerFailure = {
  notConnected: 'not_connected',
  timeout: 'timeout',
  congested: 'congested',
  closed: 'closed',
} as const;
export type PeerFailure = (typeof PeerFailure)[keyof typeof PeerFailure];

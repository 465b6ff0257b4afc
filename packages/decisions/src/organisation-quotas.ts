/**
 * Limits the online requests of organisations over all instances. Answers an organisation that sends many times its quota
 * beside others that stay within theirs, also while the owner of a pool changes and nobody remembers what was sent.
 */
import { rankMembers } from './rendezvous.js';
import { TokenBucket } from './token-bucket.js';

const MS_PER_S = 1_000;
/** Part of the tolerated excess that a new owner may grant at once. */
const START_FRACTION = 0.25;
/** Part of the tolerated excess that all instances together may send without an owner. */
const WITHOUT_OWNER_FRACTION = 0.5;

/** By how much the requests of an organisation may exceed its quota within any window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  readonly overageFraction: number;
  readonly slackRequests: number;
}

/** The quota of an organisation in one pool. */
export interface OrganisationQuota {
  readonly requestsPerSecond: number;
  readonly burstRequests: number;
  readonly tolerance: QuotaTolerance;
}

/** Requests by which a quota may be exceeded in a window. */
function toleratedExcess({ requestsPerSecond, burstRequests, tolerance }: OrganisationQuota): number {
  const quotaRequests = (requestsPerSecond * tolerance.windowMs) / MS_PER_S + burstRequests;
  return quotaRequests * tolerance.overageFraction + tolerance.slackRequests;
}

/**
 * The quotas as the owner of a pool applies them: a token bucket for each organisation, empty but for a part of the tolerated
 * excess when the owner begins. A former owner has granted at most the burst and the rate of its time, so that both
 * together stay within the quota and that excess without knowing of each other.
 */
export class OrganisationQuotas {
  private readonly buckets = new Map<string, TokenBucket>();
  private startedAtMs: number | undefined;

  /** Begins to count the time of this owner; does nothing when it has begun. */
  start(nowMs: number): void {
    this.startedAtMs ??= nowMs;
  }

  /**
   * Time until the organisation may have one more request, in milliseconds; 0 if it may now. `waiting` are its requests
   * that are queued already.
   */
  waitMs(organisation: string, quota: OrganisationQuota | undefined, waiting: number, nowMs: number): number {
    return quota ? this.bucketOf(organisation, quota, nowMs).waitMs(waiting + 1, nowMs) : 0;
  }

  /** Counts a request that is granted. */
  take(organisation: string, quota: OrganisationQuota | undefined, nowMs: number): void {
    if (quota) this.bucketOf(organisation, quota, nowMs).take(1, nowMs);
  }

  private bucketOf(organisation: string, quota: OrganisationQuota, nowMs: number): TokenBucket {
    this.start(nowMs);
    const burst = Math.max(1, quota.burstRequests);
    const known = this.buckets.get(organisation);
    known?.configure(quota.requestsPerSecond, burst);
    if (known) return known;
    const created = new TokenBucket(quota.requestsPerSecond, burst);
    const atStart = Math.min(burst, toleratedExcess(quota) * START_FRACTION);
    created.take(burst - atStart, this.startedAtMs ?? nowMs);
    this.buckets.set(organisation, created);
    return created;
  }
}

/**
 * The quotas as an instance applies them to requests for which it reaches no owner. All such instances share a part of the
 * tolerated excess, since an owner that others reach may grant the whole quota meanwhile.
 */
export class QuotaShares {
  /** When this instance sent the requests of each organisation in the last window. */
  private readonly sentAtMs = new Map<string, number[]>();
  private readonly shares = new Map<string, { readonly key: string; readonly requests: number }>();

  constructor(private readonly selfId: string) {}

  /**
   * Whether the organisation may send one more request; if so, it is counted. `instanceIds` are the instances of the fleet
   * at `membershipVersion`.
   */
  tryTake(
    organisation: string,
    quota: OrganisationQuota | undefined,
    fleet: { readonly instanceIds: readonly string[]; readonly membershipVersion: number },
    nowMs: number,
  ): boolean {
    if (!quota) return true;
    const recent = (this.sentAtMs.get(organisation) ?? []).filter(
      (sentAtMs) => nowMs - sentAtMs < quota.tolerance.windowMs,
    );
    const allowed = this.shareOf(organisation, quota, fleet.instanceIds, fleet.membershipVersion);
    if (recent.length >= allowed) return false;
    this.sentAtMs.set(organisation, [...recent, nowMs]);
    return true;
  }

  /**
   * Requests of the organisation in a window that this instance may send. Where there is less than one for each instance,
   * those that may send one are chosen by rendezvous hashing.
   */
  private shareOf(
    organisation: string,
    quota: OrganisationQuota,
    instanceIds: readonly string[],
    membershipVersion: number,
  ): number {
    const total = Math.floor(toleratedExcess(quota) * WITHOUT_OWNER_FRACTION);
    const key = `${String(membershipVersion)}/${String(total)}`;
    const known = this.shares.get(organisation);
    if (known?.key === key) return known.requests;
    const chosen = (): boolean =>
      rankMembers(`quota/${organisation}`, instanceIds).slice(0, total).includes(this.selfId);
    const equalShare = Math.floor(total / Math.max(1, instanceIds.length));
    const requests = equalShare > 0 ? equalShare : Number(chosen());
    this.shares.set(organisation, { key, requests });
    return requests;
  }
}

/** Pools, replicas and policies as admission needs them, independent of where they are configured. */
import type {
  BlockedPrompts,
  OrganisationLimitSettings,
  OrganisationQuota,
  PoolPolicy,
  RequestLimits,
} from '@fighub/decisions';

/** An upstream replica as it is configured or registered. */
export interface CataloguedUpstream {
  readonly upstreamId: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Undefined when the platform does not tell versions apart. */
  readonly softwareVersion?: string;
  /** Maximum number of concurrent streams of the replica. */
  readonly maxConcurrency: number;
  /** Tokens that fit into its memory; undefined when not known. */
  readonly memoryTokens?: number;
  /** Start of its incarnation, in Unix milliseconds; undefined when not known. */
  readonly startedAtUnixMs?: number;
  /** Whether the replica refuses requests with an outdated fencing number. */
  readonly fencingChecked: boolean;
}

/** A pool: replicas that serve the same model or service, and whose slots are scheduled by one owner. */
export interface PoolDescription {
  readonly poolId: string;
  /** Name of the model or service. */
  readonly model: string;
  /** Failure domain that the pool's owner should be in; empty when the pool spans several failure domains. */
  readonly failureDomain: string;
  readonly upstreams: readonly CataloguedUpstream[];
}

/** Provides the configured pools and their policies. */
export interface PoolCatalogue {
  /** Another value after each change of pools, replicas or policies; values are compared by identity. */
  readonly version: unknown;
  pools(): readonly PoolDescription[];
  policyOf(pool: PoolDescription): PoolPolicy;
  /** Pools of a model in which an organisation may have streams. */
  poolsOpenTo(organisation: string, model: string): readonly PoolDescription[];
  /** Limits of an organisation that apply to all pools of a model together. */
  limitsOf(organisation: string, model: string): OrganisationLimitSettings;
  /** Quota of the online requests of an organisation in each pool; undefined for none. */
  quotaOf?(organisation: string): OrganisationQuota | undefined;
  /** The prompts that this instance knows to be blocked, in all pools. */
  readonly blockedPrompts: BlockedPrompts;
  /** The limits that replicas state, as far as this instance knows. */
  readonly requestLimits: RequestLimits;
  /** Whether an upstream must get no new streams, for example because it is shutting down. */
  isLeaving(upstreamId: string): boolean;
}

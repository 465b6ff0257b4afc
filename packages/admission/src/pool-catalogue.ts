/** What admission knows of pools, replicas and policies, wherever they are configured. */
import type { OrganisationLimitSettings, PoolPolicy } from '@fighub/decisions';

/** A replica as configured. */
export interface CataloguedUpstream {
  readonly upstreamId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly maxConcurrency: number;
  /** Whether the replica refuses orders with an old fencing number. */
  readonly fencingChecked: boolean;
}

/** One pool: a set of replicas with one owner. */
export interface PoolDescription {
  readonly poolId: string;
  readonly model: string;
  /** Failure domain that the pool's owner should be in; empty when the pool spans several. */
  readonly failureDomain: string;
  readonly upstreams: readonly CataloguedUpstream[];
}

/** Source of pools and their policies. */
export interface PoolCatalogue {
  /** Another value after each change of pools, replicas or policies. */
  readonly version: unknown;
  pools(): readonly PoolDescription[];
  policyOf(pool: PoolDescription): PoolPolicy;
  /** Pools of a model in which an organisation may run anything at all. */
  poolsOpenTo(organisation: string, model: string): readonly PoolDescription[];
  /** Limits of an organisation over all pools of a model. */
  limitsOf(organisation: string, model: string): OrganisationLimitSettings;
  /** Whether an upstream must get no new work. */
  isLeaving(upstreamId: string): boolean;
}

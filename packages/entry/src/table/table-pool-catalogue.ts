/** Pools as configured in the operators' table: one for each model in each failure domain. */
import type { PoolCatalogue, PoolDescription, UpstreamStates } from '@fighub/admission';
import type { OrganisationLimitSettings, PoolPolicy } from '@fighub/decisions';
import { BlockedPrompts, RequestLimits, partOfRate, partOfStreams, poolIdOf } from '@fighub/decisions';

import type { TableStore } from './table-store.js';
import type { TableView } from './table-view.js';

/**
 * Largest fraction of a pool's slots that is kept free of batch streams, so that an online request can start without
 * waiting for the preemption of a batch stream.
 */
const RESERVE_MAX_FRACTION = 0.08;

/** Provides the pools and policies in the table to admission. Pools are derived again when the table has changed. */
export class TablePoolCatalogue implements PoolCatalogue {
  /** Always empty: requests of this interface do not tell the parts of their prompts. */
  readonly blockedPrompts = new BlockedPrompts();
  /** Always empty: engines state no limits of requests a second. */
  readonly requestLimits = new RequestLimits();
  /** The table view from which `descriptions` was derived. */
  private describedView: TableView | undefined;
  private descriptions: PoolDescription[] = [];

  constructor(
    private readonly table: TableStore,
    private readonly upstreams: UpstreamStates,
  ) {}

  get version(): unknown {
    return this.table.view;
  }

  pools(): readonly PoolDescription[] {
    const { view } = this.table;
    if (view !== this.describedView) {
      this.describedView = view;
      this.descriptions = describePools(view);
    }
    return this.descriptions;
  }

  policyOf(pool: PoolDescription): PoolPolicy {
    const { view } = this.table;
    const { model, poolId } = pool;
    const poolIds = this.poolIdsOf(model);
    const rate = (limit: number | undefined): number | undefined =>
      limit === undefined ? undefined : partOfRate(limit, poolIds.length);
    return {
      reserveMaxFraction: RESERVE_MAX_FRACTION,
      targets: view.modelOrDefault(model),
      weightOf: (organisation) => view.share(organisation, model).weight,
      limitsOf: (organisation) => {
        const share = view.share(organisation, model);
        return {
          maxInFlight:
            share.maxInFlight === undefined
              ? undefined
              : partOfStreams(share.maxInFlight, organisation, poolId, poolIds),
          requestsPerSecond: rate(share.requestsPerSecond),
          tokensPerSecond: rate(share.tokensPerSecond),
        };
      },
    };
  }

  poolsOpenTo(organisation: string, model: string): readonly PoolDescription[] {
    const limit = this.limitsOf(organisation, model).maxInFlight;
    const pools = this.pools().filter((pool) => pool.model === model);
    if (limit === undefined) return pools;
    const poolIds = pools.map((pool) => pool.poolId);
    return pools.filter((pool) => partOfStreams(limit, organisation, pool.poolId, poolIds) > 0);
  }

  limitsOf(organisation: string, model: string): OrganisationLimitSettings {
    return this.table.view.share(organisation, model);
  }

  isLeaving(upstreamId: string): boolean {
    return this.upstreams.isLeaving(upstreamId);
  }

  private poolIdsOf(model: string): string[] {
    return this.pools()
      .filter((pool) => pool.model === model)
      .map((pool) => pool.poolId);
  }
}

function describePools(view: TableView): PoolDescription[] {
  return view.models().flatMap((model) => {
    const upstreams = view.upstreamsOf(model);
    const domains = [...new Set(upstreams.map((upstream) => upstream.failureDomain))];
    return domains.map((failureDomain) => ({
      poolId: poolIdOf(model, failureDomain),
      model,
      failureDomain,
      upstreams: upstreams.filter((upstream) => upstream.failureDomain === failureDomain),
    }));
  });
}

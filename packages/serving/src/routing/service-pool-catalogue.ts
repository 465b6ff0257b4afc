/** Derives pools from the replica directory: one pool for each service. */
import type { PoolCatalogue, PoolDescription } from '@fighub/admission';
import type { BlockedPrompts, OrganisationLimitSettings, PoolPolicy, RequestLimits } from '@fighub/decisions';
import { poolIdOf } from '@fighub/decisions';

import type { FleetView } from './fleet-view.js';

/** Pools span all failure domains, so that their owners may be anywhere in the fleet. */
const WHOLE_FLEET = '';
const NO_LIMITS: OrganisationLimitSettings = {};
/** The routing configuration has no weights or limits of organisations. */
const EQUAL_WEIGHT_POLICY: PoolPolicy = {
  // Keeping a few slots free costs less than preempting a batch stream for each single online arrival.
  reserveMaxFraction: 0.08,
  // No target can be missed, so the limit of a replica stays at the number of slots that it registered.
  targets: { firstTokenTargetMs: Number.POSITIVE_INFINITY, betweenTokensTargetMs: Number.POSITIVE_INFINITY },
  weightOf: () => 1,
  limitsOf: () => NO_LIMITS,
};

/** Id of the pool of a service. */
export function poolIdOfService(service: string): string {
  return poolIdOf(service, WHOLE_FLEET);
}

/** Provides the pools of the current fleet view. */
export class ServicePoolCatalogue implements PoolCatalogue {
  private describedVersion = -1;
  private described: readonly PoolDescription[] = [];

  constructor(private readonly view: FleetView) {}

  get version(): unknown {
    return this.view.version;
  }

  get blockedPrompts(): BlockedPrompts {
    return this.view.blockedPrompts;
  }

  pools(): readonly PoolDescription[] {
    if (this.view.version !== this.describedVersion) {
      this.describedVersion = this.view.version;
      this.described = this.describe();
    }
    return this.described;
  }

  get requestLimits(): RequestLimits {
    return this.view.requestLimits;
  }

  policyOf(): PoolPolicy {
    return EQUAL_WEIGHT_POLICY;
  }

  poolsOpenTo(_organisation: string, service: string): readonly PoolDescription[] {
    return this.pools().filter((pool) => pool.model === service);
  }

  limitsOf(): OrganisationLimitSettings {
    return NO_LIMITS;
  }

  isLeaving(upstreamId: string): boolean {
    return !this.view.isUsable(upstreamId);
  }

  private describe(): PoolDescription[] {
    const { replicas } = this.view.replicas;
    const services = [...new Set(replicas.map((replica) => replica.service))];
    return services.map((service) => ({
      poolId: poolIdOfService(service),
      model: service,
      failureDomain: WHOLE_FLEET,
      upstreams: replicas
        .filter((replica) => replica.service === service)
        .map((replica) => ({
          upstreamId: replica.replicaId,
          address: replica.address,
          failureDomain: replica.failureDomain,
          softwareVersion: replica.softwareVersion,
          maxConcurrency: replica.slots,
          fencingChecked: false,
        })),
    }));
  }
}

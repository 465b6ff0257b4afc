/** Derives pools from the replica directory: one pool for each service. */
import type { PoolCatalogue, PoolDescription } from '@fighub/admission';
import type {
  BlockedPrompts,
  OrganisationLimitSettings,
  OrganisationQuota,
  PoolPolicy,
  QuotaTolerance,
  RequestLimits,
} from '@fighub/decisions';
import { RouteKind } from '@fighub/core';
import { poolIdOf } from '@fighub/decisions';

import type { FleetView } from './fleet-view.js';

/** Pools span all failure domains, so that their owners may be anywhere in the fleet. */
const WHOLE_FLEET = '';
const NO_LIMITS: OrganisationLimitSettings = {};
const BASE_POLICY: Omit<PoolPolicy, 'weightOf' | 'quotaOf'> = {
  // Keeping a few slots free costs less than preempting a batch stream for each single online arrival.
  reserveMaxFraction: 0.08,
  // No target can be missed, so the limit of a replica stays at the number of slots that it registered.
  targets: { firstTokenTargetMs: Number.POSITIVE_INFINITY, betweenTokensTargetMs: Number.POSITIVE_INFINITY },
  limitsOf: () => NO_LIMITS,
};
/**
 * An organisation of one priority gets twice the share of one of the next priority while both wait. The share of a low
 * priority stays above nothing.
 */
const WEIGHT_PER_PRIORITY = 0.5;
/** Lower priorities weigh as much as this one. */
const LOWEST_PRIORITY = 4;

/** Id of the pool of a service. */
export function poolIdOfService(service: string): string {
  return poolIdOf(service, WHOLE_FLEET);
}

/** Provides the pools of the current fleet view. */
export class ServicePoolCatalogue implements PoolCatalogue {
  private readonly policy: PoolPolicy;
  /** Services to which routes of online requests lead. */
  private onlineServices: ReadonlySet<string> = new Set();
  private describedVersion = -1;
  private described: readonly PoolDescription[] = [];

  constructor(
    private readonly view: FleetView,
    private readonly tolerance: QuotaTolerance,
    /** Copies of slow requests that may be sent, as a fraction of the requests. */
    maxCopyFraction: number,
  ) {
    this.policy = {
      ...BASE_POLICY,
      maxCopyFraction,
      weightOf: (organisation) => this.weightOf(organisation),
      quotaOf: (organisation) => this.quotaOf(organisation),
    };
  }

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
      this.onlineServices = this.findOnlineServices();
    }
    return this.described;
  }

  get requestLimits(): RequestLimits {
    return this.view.requestLimits;
  }

  policyOf(): PoolPolicy {
    return this.policy;
  }

  /** The quota of an organisation. Pools that may serve online requests have equal parts of it. */
  quotaOf(organisation: string): OrganisationQuota | undefined {
    const { requestsPerSecond, burstRequests = 0 } = this.view.organisationKeys?.named(organisation) ?? {};
    if (requestsPerSecond === undefined) return undefined;
    const poolCount = Math.max(1, this.onlineServices.size);
    return {
      requestsPerSecond: requestsPerSecond / poolCount,
      burstRequests: burstRequests / poolCount,
      tolerance: { ...this.tolerance, slackRequests: this.tolerance.slackRequests / poolCount },
    };
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

  private findOnlineServices(): ReadonlySet<string> {
    const routes = this.view.configuration?.routes ?? [];
    const backends = routes.filter(({ kind }) => kind !== RouteKind.batch).flatMap((route) => route.backends);
    return new Set(backends.filter(({ weight }) => weight > 0).map(({ service }) => service));
  }

  private weightOf(organisation: string): number {
    const priority = this.view.organisationKeys?.named(organisation)?.priority ?? 0;
    return WEIGHT_PER_PRIORITY ** Math.min(priority, LOWEST_PRIORITY);
  }

  private describe(): PoolDescription[] {
    const { replicas } = this.view.replicas;
    const descriptions = this.view.configuration?.services ?? [];
    const memoryTokensOf = new Map(descriptions.map(({ name, memoryTokens }) => [name, memoryTokens]));
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
          memoryTokens: memoryTokensOf.get(service),
          startedAtUnixMs: replica.startedAtUnixMs,
          fencingChecked: false,
        })),
    }));
  }
}

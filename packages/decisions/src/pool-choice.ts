/** Chooses the pool of a request from the caller's own domain and from summaries that may be stale. */
import { coordinatorsOf } from './coordinators.js';
import { winnerOf } from './rendezvous.js';

/** A member of the fleet as ownership sees it. */
export interface FleetMember {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** False for an instance that owns no pools. */
  readonly schedules?: boolean;
}

/** A pool as candidates for a request. */
export interface PoolCandidate {
  readonly model: string;
  readonly failureDomain: string;
  readonly places: number;
  /** From the last summary; undefined when none is fresh. */
  readonly expectedWaitMs?: number;
}

/** Extra cost of a pool in another failure domain, in milliseconds. */
const REMOTE_COST_MS = 6;
const UNKNOWN_WAIT_MS = 20;

/** Identifier of the pool of a model in a failure domain. */
export function poolIdOf(model: string, failureDomain: string): string {
  return `${model}@${failureDomain}`;
}

/** The owner of a pool: the rendezvous winner of its domain, or of the whole fleet if the domain is empty. */
export function ownerOf(
  poolId: string,
  failureDomain: string,
  members: readonly FleetMember[],
): string | undefined {
  const schedulers = coordinatorsOf(members);
  const inDomain = schedulers.filter((member) => member.failureDomain === failureDomain);
  const candidates = inDomain.length > 0 ? inDomain : schedulers;
  return winnerOf(
    poolId,
    candidates.map((member) => member.instanceId),
  );
}

/**
 * Orders pools for a request. The own domain is first unless another is cheaper by expected wait and
 * round trip; of the others, two random ones are compared so that a stale summary does not draw everyone.
 */
export function orderPools(
  candidates: readonly PoolCandidate[],
  ownDomain: string,
  random: () => number,
): PoolCandidate[] {
  const usable = candidates.filter((pool) => pool.places > 0);
  const own = usable.filter((pool) => pool.failureDomain === ownDomain);
  const shuffled = usable
    .filter((pool) => pool.failureDomain !== ownDomain)
    .map((pool) => ({ pool, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map((entry) => entry.pool);
  const sampled = [...shuffled.slice(0, 2)].sort((a, b) => costMs(a, ownDomain) - costMs(b, ownDomain));
  const compared = [...own, ...sampled].sort((a, b) => costMs(a, ownDomain) - costMs(b, ownDomain));
  return [...compared, ...shuffled.slice(2)];
}

function costMs(pool: PoolCandidate, ownDomain: string): number {
  const remoteMs = pool.failureDomain === ownDomain ? 0 : REMOTE_COST_MS;
  const unknownMs = pool.failureDomain === ownDomain ? 0 : UNKNOWN_WAIT_MS;
  return (pool.expectedWaitMs ?? unknownMs) + remoteMs;
}

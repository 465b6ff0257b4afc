/**
 * Orders the pools for a request by failure domain and by load summaries, which may be stale, and determines the
 * owner of a pool.
 */
import { coordinatorsOf } from './coordinators.js';
import { winnerOf } from './rendezvous.js';

/** A member of the fleet, with what decides whether it can own a pool. */
export interface FleetMember {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** False for an instance that is not a coordinator and so owns no pools; absent means true. */
  readonly schedules?: boolean;
}

/** A pool that could serve a request. */
export interface PoolCandidate {
  readonly model: string;
  readonly failureDomain: string;
  /** Number of slots; a pool without slots is not used. */
  readonly places: number;
  /** Expected wait according to the last load summary; undefined when there is no recent one. */
  readonly expectedWaitMs?: number;
}

/** Cost of the network round trip to a pool in another failure domain. */
const REMOTE_COST_MS = 6;
/** Expected wait that is assumed for a pool in another failure domain without a recent summary. */
const UNKNOWN_WAIT_MS = 20;

/** Identifier of the pool of a model in a failure domain. */
export function poolIdOf(model: string, failureDomain: string): string {
  return `${model}@${failureDomain}`;
}

/**
 * Instance id of the owner of a pool: the winner by rendezvous hashing among the coordinators of the pool's
 * failure domain, or among all coordinators when the domain has none. Undefined when there are no coordinators.
 */
export function ownerOf(
  poolId: string,
  failureDomain: string,
  members: readonly FleetMember[],
): string | undefined {
  const coordinators = coordinatorsOf(members);
  const inDomain = coordinators.filter((member) => member.failureDomain === failureDomain);
  const candidates = inDomain.length > 0 ? inDomain : coordinators;
  return winnerOf(
    poolId,
    candidates.map((member) => member.instanceId),
  );
}

/**
 * Orders pools for a request, the preferred one first. The pool of the caller's own failure domain comes first
 * unless another one costs less, by expected wait and round trip. Only two random pools of other domains are
 * compared with it, so that not all callers choose the same pool by a stale summary; the rest follow in random
 * order. `random` returns numbers in [0, 1).
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

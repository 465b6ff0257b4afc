/** Splits a fleet-wide limit of an organisation among the pools of a model. */
import { rankMembers } from './rendezvous.js';

/**
 * The whole number of streams that one pool may run of a limit in flight. The parts of all pools add up to the
 * limit; which pools get the remainder follows from the organisation, so that they differ between
 * organisations. A pool may get none.
 */
export function partOfStreams(
  limit: number,
  organisation: string,
  poolId: string,
  poolIds: readonly string[],
): number {
  const count = Math.max(1, poolIds.length);
  const rank = rankMembers(`limit/${organisation}`, poolIds).indexOf(poolId);
  return Math.floor(limit / count) + (rank >= 0 && rank < limit % count ? 1 : 0);
}

/** The part of a rate that one pool may use. */
export function partOfRate(ratePerSecond: number, poolCount: number): number {
  return ratePerSecond / Math.max(1, poolCount);
}

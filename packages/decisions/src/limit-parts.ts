/** Splits a fleet-wide limit of an organisation between the pools of a model. */
import { rankMembers } from './rendezvous.js';

/**
 * The part of an organisation's limit on streams in flight that applies to one pool, as a whole number of streams.
 * The parts of all pools add up to the limit, and a part may be 0. Which pools get the remainder is decided by
 * rendezvous hashing on the organisation, so that it differs between organisations.
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

/** The part of a rate limit that applies to one pool: an equal part for each pool. */
export function partOfRate(ratePerSecond: number, poolCount: number): number {
  return ratePerSecond / Math.max(1, poolCount);
}

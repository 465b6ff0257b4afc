/** Scores the replicas that a stream may run at; the one with the lowest score is chosen. */
import type { PrefixIndex } from './prefix-index.js';
import type { SlotRequest, PoolReplica } from './pool-types.js';

/** A replica that caches the prefix counts as if it had this many fewer streams. */
const PREFIX_AFFINITY_STREAMS = 2;
/** A replica in another failure domain counts as if it had this many more streams, so that local ones win ties. */
const REMOTE_PENALTY_STREAMS = 0.5;
/**
 * A replica is skipped after this many consecutive failed reads of its load, as long as another replica's load can be
 * read.
 */
const MISSED_REPORTS_LIMIT = 2;

/** Whether fewer than `MISSED_REPORTS_LIMIT` consecutive reads of the replica's load have failed. */
export function isReporting(replica: PoolReplica): boolean {
  return replica.missedReports < MISSED_REPORTS_LIMIT;
}

/** Number of streams that the replica may run now. A replica on probation gets one stream at a time. */
export function usableSlots(replica: PoolReplica): number {
  return replica.health.onProbation ? 1 : replica.limit.places;
}

/**
 * Score of a replica with `streams` streams for a request: a cached prefix counts as lower load, a remote failure
 * domain as higher load.
 */
export function scoreOf(
  replica: PoolReplica,
  streams: number,
  request: SlotRequest,
  prefixes: PrefixIndex,
): number {
  const cached = prefixes.holds(request.prefixDigest, replica.replicaId) ? PREFIX_AFFINITY_STREAMS : 0;
  const isRemote = request.failureDomain !== undefined && replica.failureDomain !== request.failureDomain;
  return streams - cached + (isRemote ? REMOTE_PENALTY_STREAMS : 0);
}

/** Chooses the replica for a stream, and the batch stream that is preempted for an online one. */
import type { PrefixIndex } from './prefix-index.js';
import type { Permit, SlotRequest, PoolReplica } from './pool-types.js';

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

/**
 * The least loaded available replica with a free slot, or undefined when there is none. Replicas at which the request
 * has failed are used only when no other is available. A cached prefix counts as lower load, a remote failure domain
 * as higher load. A replica on probation gets one stream at a time.
 */
export function pickReplica(
  replicas: readonly PoolReplica[],
  request: SlotRequest,
  prefixes: PrefixIndex,
  occupiedOf: (replica: PoolReplica) => number,
  nowMs: number,
): PoolReplica | undefined {
  const anyReporting = replicas.some(isReporting);
  const available = replicas
    .filter((replica) => !anyReporting || isReporting(replica))
    .filter((replica) => !replica.leaving && replica.health.isAvailable(nowMs));
  const notExcluded = available.filter((replica) => !request.excludedReplicaIds.includes(replica.replicaId));
  // When the request has failed at every available replica, each of them may be tried again.
  const candidates = (notExcluded.length > 0 ? notExcluded : available)
    .map((replica) => ({ replica, streams: occupiedOf(replica) }))
    .filter(({ replica, streams }) => streams < (replica.health.onProbation ? 1 : replica.limit.places))
    .map(({ replica, streams }) => ({
      replica,
      score: streams - affinityOf(replica.replicaId, request, prefixes) + remotePenaltyOf(replica, request),
    }));
  return candidates.reduce<(typeof candidates)[number] | undefined>(
    (best, candidate) => (best === undefined || candidate.score < best.score ? candidate : best),
    undefined,
  )?.replica;
}

/**
 * The batch permit to preempt for an online request, or undefined when there is none. Permits at a replica that
 * caches the request's prefix come first, then the order of `rankVictims`. Replicas that the request excludes are
 * skipped.
 */
export function pickVictim(
  permits: readonly Permit[],
  request: SlotRequest,
  prefixes: PrefixIndex,
  receivedTokensOf: (permit: Permit) => number,
  nowMs: number,
): Permit | undefined {
  const ranked = rankVictims(permits, receivedTokensOf, nowMs).filter(
    (permit) => !request.excludedReplicaIds.includes(permit.replicaId),
  );
  return ranked.find((permit) => affinityOf(permit.replicaId, request, prefixes) > 0) ?? ranked[0];
}

/**
 * Batch permits in the order in which they are preempted: overdue ones first, then those whose items have received the
 * fewest tokens, so that the others finish first, then those with the latest deadline. Only resumable streams are
 * preempted.
 */
export function rankVictims(
  permits: readonly Permit[],
  receivedTokensOf: (permit: Permit) => number,
  nowMs: number,
): Permit[] {
  const isOverdue = (permit: Permit): number => (permit.request.deadlineMs <= nowMs ? 1 : 0);
  return permits
    .filter((permit) => permit.request.workClass === 'batch' && permit.request.resumable)
    .filter((permit) => permit.revokedUntilMs === undefined)
    .sort(
      (a, b) =>
        isOverdue(b) - isOverdue(a) ||
        receivedTokensOf(a) - receivedTokensOf(b) ||
        b.request.deadlineMs - a.request.deadlineMs ||
        b.grantedAtMs - a.grantedAtMs,
    );
}

/** Penalty of a replica in another failure domain than the holder, in streams. */
function remotePenaltyOf(replica: PoolReplica, request: SlotRequest): number {
  const isRemote = request.failureDomain !== undefined && replica.failureDomain !== request.failureDomain;
  return isRemote ? REMOTE_PENALTY_STREAMS : 0;
}

/** Bonus of a replica that caches the request's prefix, in streams. */
function affinityOf(replicaId: string, request: SlotRequest, prefixes: PrefixIndex): number {
  return prefixes.holds(request.prefixDigest, replicaId) ? PREFIX_AFFINITY_STREAMS : 0;
}

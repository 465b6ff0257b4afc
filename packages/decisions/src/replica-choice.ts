/** Chooses the replica for a stream, and the batch stream that gives its place to an online one. */
import type { PrefixIndex } from './prefix-index.js';
import type { Permit, PlaceRequest, PoolReplica } from './pool-types.js';

/** A cached prefix may cost at most this many streams of imbalance. */
const AFFINITY_STREAMS = 2;
/** A replica in another failure domain loses to an equally loaded one that is near. */
const DISTANCE_STREAMS = 0.5;
/** A replica is passed over after this many missing load reports, as long as another one reports. */
const MISSED_REPORTS_LIMIT = 2;

/** Whether the replica's load reports come. */
export function hasReported(replica: PoolReplica): boolean {
  return replica.missedReports < MISSED_REPORTS_LIMIT;
}

/** The usable replica with the lowest load that has a free place; a cached prefix counts as lower load. */
export function pickReplica(
  replicas: readonly PoolReplica[],
  request: PlaceRequest,
  prefixes: PrefixIndex,
  occupiedOf: (replica: PoolReplica) => number,
  nowMs: number,
): PoolReplica | undefined {
  const someReport = replicas.some(hasReported);
  const open = replicas
    .filter((replica) => !someReport || hasReported(replica))
    .filter((replica) => !replica.leaving && replica.health.isOpen(nowMs));
  const others = open.filter((replica) => !request.excludedReplicaIds.includes(replica.replicaId));
  // A request that every replica has failed once goes on with any of them.
  const candidates = (others.length > 0 ? others : open)
    .map((replica) => ({ replica, streams: occupiedOf(replica) }))
    .filter(({ replica, streams }) => streams < (replica.health.onProbation ? 1 : replica.limit.places))
    .map(({ replica, streams }) => ({
      replica,
      score: streams - affinityOf(replica.replicaId, request, prefixes) + distanceOf(replica, request),
    }));
  return candidates.reduce<(typeof candidates)[number] | undefined>(
    (best, candidate) => (best === undefined || candidate.score < best.score ? candidate : best),
    undefined,
  )?.replica;
}

/** The batch permit whose place an online request takes: one at a replica that caches the request's prefix, if any. */
export function pickVictim(
  permits: readonly Permit[],
  request: PlaceRequest,
  prefixes: PrefixIndex,
  nowMs: number,
): Permit | undefined {
  const ranked = rankVictims(permits, nowMs).filter(
    (permit) => !request.excludedReplicaIds.includes(permit.replicaId),
  );
  return ranked.find((permit) => affinityOf(permit.replicaId, request, prefixes) > 0) ?? ranked[0];
}

/**
 * Batch permits in the order in which they give way: overdue ones, then the one that is due last, then the youngest,
 * whose stream loses least. Only streams that can be resumed are stopped.
 */
export function rankVictims(permits: readonly Permit[], nowMs: number): Permit[] {
  const isOverdue = (permit: Permit): number => (permit.request.deadlineMs <= nowMs ? 1 : 0);
  return permits
    .filter((permit) => permit.request.workClass === 'batch' && permit.request.resumable)
    .filter((permit) => permit.revokedUntilMs === undefined)
    .sort(
      (a, b) =>
        isOverdue(b) - isOverdue(a) ||
        b.request.deadlineMs - a.request.deadlineMs ||
        b.grantedAtMs - a.grantedAtMs,
    );
}

function distanceOf(replica: PoolReplica, request: PlaceRequest): number {
  const isFar = request.failureDomain !== undefined && replica.failureDomain !== request.failureDomain;
  return isFar ? DISTANCE_STREAMS : 0;
}

/** Streams of imbalance that a cached prefix is worth. */
function affinityOf(replicaId: string, request: PlaceRequest, prefixes: PrefixIndex): number {
  return prefixes.holds(request.prefixDigest, replicaId) ? AFFINITY_STREAMS : 0;
}

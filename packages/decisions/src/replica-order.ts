/** Orders the replicas of a pool that have a free slot by load, to choose one for a stream without a scan of all. */
import type { OrderedMap } from './ordered-map.js';
import { orderedMap } from './ordered-map.js';
import type { PoolReplica, SlotRequest } from './pool-types.js';
import type { PrefixIndex } from './prefix-index.js';
import { scoreOf } from './replica-choice.js';

/** A replica with a free slot, and the number of streams by which it is ordered. */
interface OpenReplica {
  readonly replica: PoolReplica;
  readonly streams: number;
}

function compareOpenReplicas(a: OpenReplica, b: OpenReplica): number {
  return a.streams - b.streams || a.replica.position - b.replica.position;
}

/** The replicas with a free slot, by failure domain and load. */
export class ReplicaOrder {
  private readonly open = new Map<string, OpenReplica>();
  private readonly byDomain = new Map<string, OrderedMap<OpenReplica, OpenReplica>>();

  get isEmpty(): boolean {
    return this.open.size === 0;
  }

  /** Adds a replica, or updates its number of streams. */
  set(replica: PoolReplica, streams: number): void {
    if (this.open.get(replica.replicaId)?.streams === streams) return;
    this.delete(replica.replicaId);
    const entry = { replica, streams };
    this.open.set(replica.replicaId, entry);
    this.domainOf(replica.failureDomain).set(entry, entry);
  }

  /** Removes a replica; does nothing when it has not been added. */
  delete(replicaId: string): void {
    const entry = this.open.get(replicaId);
    if (!entry) return;
    this.open.delete(replicaId);
    const domain = this.domainOf(entry.replica.failureDomain);
    domain.delete(entry);
    if (domain.size === 0) this.byDomain.delete(entry.replica.failureDomain);
  }

  /**
   * The replica with the lowest score among those that `admits` accepts, the one that was added first among equals;
   * undefined when there is none. The score differs from the number of streams only by failure domain and cached
   * prefix, so that the least loaded replica of each domain and the replicas with the prefix are compared.
   */
  pick(
    request: SlotRequest,
    prefixes: PrefixIndex,
    admits: (replicaId: string) => boolean,
  ): PoolReplica | undefined {
    const leastLoaded = [...this.byDomain.values()].map((domain) => firstAdmitted(domain, admits));
    const caching = prefixes
      .replicasOf(request.prefixDigest)
      .map((replicaId) => this.open.get(replicaId))
      .filter((entry) => entry !== undefined && admits(entry.replica.replicaId));
    return [...leastLoaded, ...caching]
      .filter((entry) => entry !== undefined)
      .map(({ replica, streams }) => ({ replica, score: scoreOf(replica, streams, request, prefixes) }))
      .reduce<{ replica: PoolReplica; score: number } | undefined>(
        (best, candidate) =>
          best === undefined ||
          candidate.score < best.score ||
          (candidate.score === best.score && candidate.replica.position < best.replica.position)
            ? candidate
            : best,
        undefined,
      )?.replica;
  }

  private domainOf(failureDomain: string): OrderedMap<OpenReplica, OpenReplica> {
    const known = this.byDomain.get(failureDomain);
    if (known) return known;
    const created = orderedMap<OpenReplica, OpenReplica>(compareOpenReplicas);
    this.byDomain.set(failureDomain, created);
    return created;
  }
}

function firstAdmitted(
  domain: OrderedMap<OpenReplica, OpenReplica>,
  admits: (replicaId: string) => boolean,
): OpenReplica | undefined {
  const least = domain.minKey();
  if (least === undefined || admits(least.replica.replicaId)) return least;
  for (const entry of domain.keys()) {
    if (admits(entry.replica.replicaId)) return entry;
  }
  return undefined;
}

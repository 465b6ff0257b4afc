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

/** The replicas of one failure domain that have a free slot. */
interface OpenDomain {
  readonly entries: OrderedMap<OpenReplica, OpenReplica>;
  /** The first one of `entries`. */
  first: OpenReplica | undefined;
}

interface Candidate {
  readonly entry: OpenReplica;
  readonly score: number;
}

/** Whether a replica comes before `best`: by its score, and among equals the one that was added first. */
function isBetter({ replica }: OpenReplica, score: number, best: Candidate): boolean {
  return score < best.score || (score === best.score && replica.position < best.entry.replica.position);
}

/** The replicas with a free slot, by failure domain and load. */
export class ReplicaOrder {
  private readonly open = new Map<string, OpenReplica>();
  private readonly byDomain = new Map<string, OpenDomain>();

  get isEmpty(): boolean {
    return this.open.size === 0;
  }

  /** Adds a replica, or updates its number of streams. */
  set(replica: PoolReplica, streams: number): void {
    if (this.open.get(replica.replicaId)?.streams === streams) return;
    this.delete(replica.replicaId);
    const entry = { replica, streams };
    this.open.set(replica.replicaId, entry);
    const domain = this.domainOf(replica.failureDomain);
    domain.entries.set(entry, entry);
    if (!domain.first || compareOpenReplicas(entry, domain.first) < 0) domain.first = entry;
  }

  /** Removes a replica; does nothing when it has not been added. */
  delete(replicaId: string): void {
    const entry = this.open.get(replicaId);
    if (!entry) return;
    this.open.delete(replicaId);
    const domain = this.domainOf(entry.replica.failureDomain);
    domain.entries.delete(entry);
    if (domain.first === entry) domain.first = domain.entries.minKey();
    if (domain.first === undefined) this.byDomain.delete(entry.replica.failureDomain);
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
    const consider = (best: Candidate | undefined, entry: OpenReplica): Candidate | undefined => {
      const score = scoreOf(entry.replica, entry.streams, request, prefixes);
      return best === undefined || isBetter(entry, score, best) ? { entry, score } : best;
    };
    const caching = prefixes
      .replicasOf(request.prefixDigest)
      .map((replicaId) => this.open.get(replicaId))
      .filter((entry) => entry !== undefined && admits(entry.replica.replicaId));
    let best = caching.reduce<Candidate | undefined>(
      (least, entry) => (entry === undefined ? least : consider(least, entry)),
      undefined,
    );
    this.byDomain.forEach((domain) => {
      // The score of the domain's least loaded replica is a lower bound for the others, except for a cached prefix.
      if (best && domain.first && consider(best, domain.first) === best) return;
      const entry = firstAdmitted(domain, admits);
      if (entry) best = consider(best, entry);
    });
    return best?.entry.replica;
  }

  private domainOf(failureDomain: string): OpenDomain {
    const known = this.byDomain.get(failureDomain);
    if (known) return known;
    const created = { entries: orderedMap<OpenReplica, OpenReplica>(compareOpenReplicas), first: undefined };
    this.byDomain.set(failureDomain, created);
    return created;
  }
}

function firstAdmitted(
  { first, entries }: OpenDomain,
  admits: (replicaId: string) => boolean,
): OpenReplica | undefined {
  if (first === undefined || admits(first.replica.replicaId)) return first;
  for (const entry of entries.keys()) {
    if (admits(entry.replica.replicaId)) return entry;
  }
  return undefined;
}

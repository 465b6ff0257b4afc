/** Weighted fair queue by organisation, earliest deadline first inside one organisation. */

/** What the queue needs to know of a waiting request. */
export interface QueuedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly costTokens: number;
  readonly deadlineMs: number;
}

interface OrganisationQueue<T extends QueuedRequest> {
  readonly organisation: string;
  weight: number;
  /** Virtual time up to which the organisation has been served. */
  servedVirtualTokens: number;
  waiting: T[];
}

/**
 * Start-time fair queueing. Each organisation has a virtual time that rises by cost / weight when it is
 * served; the one with the lowest is served next. An organisation that comes back from idleness starts at
 * the present virtual time: it neither collects credit nor pays for the past.
 */
export class FairQueue<T extends QueuedRequest> {
  private readonly organisations = new Map<string, OrganisationQueue<T>>();
  private virtualTokens = 0;
  private readonly requestIds = new Set<string>();

  /** Number of waiting requests. */
  get size(): number {
    return this.requestIds.size;
  }

  /** Whether the request waits here. */
  has(requestId: string): boolean {
    return this.requestIds.has(requestId);
  }

  /** Adds a request. `weight` is the present weight of its organisation. */
  push(request: T, weight: number): void {
    const queue = this.queueOf(request.organisation, weight);
    if (queue.waiting.length === 0) {
      queue.servedVirtualTokens = Math.max(queue.servedVirtualTokens, this.virtualTokens);
    }
    const at = queue.waiting.findIndex((other) => other.deadlineMs > request.deadlineMs);
    queue.waiting.splice(at < 0 ? queue.waiting.length : at, 0, request);
    this.requestIds.add(request.requestId);
  }

  /** Takes the next request that `admits` accepts; a refused organisation is passed over, not charged. */
  takeNext(admits: (request: T) => boolean): T | undefined {
    const order = [...this.organisations.values()]
      .filter((queue) => queue.waiting.length > 0)
      .sort((a, b) => a.servedVirtualTokens - b.servedVirtualTokens);
    const chosen = order.find((queue) => queue.waiting[0] !== undefined && admits(queue.waiting[0]));
    const request = chosen?.waiting.shift();
    if (!chosen || !request) return undefined;
    this.requestIds.delete(request.requestId);
    this.virtualTokens = Math.max(this.virtualTokens, chosen.servedVirtualTokens);
    chosen.servedVirtualTokens += request.costTokens / chosen.weight;
    return request;
  }

  /** Corrects the charge of an organisation when the real cost of a request is known. */
  correct(organisation: string, deltaTokens: number): void {
    const queue = this.organisations.get(organisation);
    if (queue) queue.servedVirtualTokens += deltaTokens / queue.weight;
  }

  /** Removes one request that no longer waits. */
  remove(requestId: string): T | undefined {
    if (!this.requestIds.delete(requestId)) return undefined;
    const queue = [...this.organisations.values()].find((candidate) =>
      candidate.waiting.some((request) => request.requestId === requestId),
    );
    if (!queue) return undefined;
    const at = queue.waiting.findIndex((request) => request.requestId === requestId);
    return queue.waiting.splice(at, 1)[0];
  }

  /** Removes and returns all requests that `matches` selects. */
  removeWhere(matches: (request: T) => boolean): T[] {
    const removed = this.all().filter(matches);
    removed.forEach((request) => this.remove(request.requestId));
    return removed;
  }

  /** All waiting requests. */
  all(): T[] {
    return [...this.organisations.values()].flatMap((queue) => queue.waiting);
  }

  /** Requests of an organisation that wait. */
  waitingOf(organisation: string): number {
    return this.organisations.get(organisation)?.waiting.length ?? 0;
  }

  /** Sum of the weights of the organisations that have waiting requests, other than `organisation`. */
  otherActiveWeight(organisation: string): number {
    return [...this.organisations.values()]
      .filter((queue) => queue.waiting.length > 0 && queue.organisation !== organisation)
      .reduce((sum, queue) => sum + queue.weight, 0);
  }

  /** Waiting requests by organisation, for the dump. */
  depths(): { organisation: string; waiting: number; servedVirtualTokens: number }[] {
    return [...this.organisations.values()].map((queue) => ({
      organisation: queue.organisation,
      waiting: queue.waiting.length,
      servedVirtualTokens: queue.servedVirtualTokens,
    }));
  }

  private queueOf(organisation: string, weight: number): OrganisationQueue<T> {
    const known = this.organisations.get(organisation);
    if (known) {
      known.weight = weight;
      return known;
    }
    const created = { organisation, weight, servedVirtualTokens: this.virtualTokens, waiting: [] };
    this.organisations.set(organisation, created);
    return created;
  }
}

/** Weighted fair queue by organisation, with an order of its own within each organisation. */

/** The properties of a request that the queue uses. */
export interface QueuedRequest {
  readonly requestId: string;
  readonly organisation: string;
  /** Estimated cost, which is charged to the organisation when the request is taken. */
  readonly costTokens: number;
  readonly deadlineMs: number;
}

/** Order of the requests of one organisation: negative when `a` is served before `b`. */
export type RequestOrder<T> = (a: T, b: T) => number;

/** The request with the earliest deadline first. */
export function byDeadline(a: QueuedRequest, b: QueuedRequest): number {
  return a.deadlineMs - b.deadlineMs;
}

interface OrganisationQueue<T extends QueuedRequest> {
  readonly organisation: string;
  weight: number;
  /** Virtual time up to which the organisation has been served, in tokens divided by weight. */
  servedVirtualTokens: number;
  waiting: T[];
}

/**
 * Start-time fair queueing. Each organisation has a virtual time that rises by cost / weight when a request of it is
 * served; the organisation with the lowest virtual time is served next. An organisation that was idle resumes at the
 * queue's current virtual time if its own is lower: it neither earns credit nor accrues debt while it is idle.
 */
export class FairQueue<T extends QueuedRequest> {
  private readonly organisations = new Map<string, OrganisationQueue<T>>();
  private virtualTokens = 0;
  private readonly requestIds = new Set<string>();

  constructor(private readonly order: RequestOrder<T> = byDeadline) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.requestIds.size;
  }

  /** Whether the request is in the queue. */
  has(requestId: string): boolean {
    return this.requestIds.has(requestId);
  }

  /** Adds a request. `weight` becomes the weight of its organisation, also for requests that already wait. */
  push(request: T, weight: number): void {
    const queue = this.queueOf(request.organisation, weight);
    if (queue.waiting.length === 0) {
      queue.servedVirtualTokens = Math.max(queue.servedVirtualTokens, this.virtualTokens);
    }
    const at = queue.waiting.findIndex((other) => this.order(other, request) > 0);
    queue.waiting.splice(at < 0 ? queue.waiting.length : at, 0, request);
    this.requestIds.add(request.requestId);
  }

  /**
   * Removes and returns the next request that `admits` accepts, and charges its cost to its organisation. Only the
   * first request of each organisation is considered; an organisation whose first request is not accepted is
   * skipped and not charged.
   */
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

  /**
   * Adjusts the charge of an organisation by the difference between the actual and the estimated cost of a
   * request.
   */
  correctCharge(organisation: string, deltaTokens: number): void {
    const queue = this.organisations.get(organisation);
    if (queue) queue.servedVirtualTokens += deltaTokens / queue.weight;
  }

  /** Removes a request without charging its organisation; undefined when it is not in the queue. */
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

  /** Number of waiting requests of an organisation. */
  waitingOf(organisation: string): number {
    return this.organisations.get(organisation)?.waiting.length ?? 0;
  }

  /** Sum of the weights of the organisations that have waiting requests, other than `organisation`. */
  otherActiveWeight(organisation: string): number {
    return [...this.organisations.values()]
      .filter((queue) => queue.waiting.length > 0 && queue.organisation !== organisation)
      .reduce((sum, queue) => sum + queue.weight, 0);
  }

  /** Number of waiting requests and virtual time of each organisation, including those without waiting requests. */
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

/** Weighted fair queue by organisation, with the earliest deadline first within each organisation. */
import { orderedMap } from './ordered-map.js';

/** The properties of a request that the queue uses. */
export interface QueuedRequest {
  readonly requestId: string;
  readonly organisation: string;
  /** Estimated cost, which is charged to the organisation when the request is taken. */
  readonly costTokens: number;
  readonly deadlineMs: number;
  /** The only software version at whose replicas the request may run; undefined for any. */
  readonly softwareVersion?: string;
}

/** A request that was taken from a queue, and what was chosen for it. */
export interface Taken<T, C> {
  readonly request: T;
  readonly choice: C;
}

interface OrganisationQueue<T extends QueuedRequest> {
  readonly organisation: string;
  /** Position in the order in which organisations were first seen, which decides between equal virtual times. */
  readonly position: number;
  weight: number;
  /** Virtual time up to which the organisation has been served, in tokens divided by weight. */
  servedVirtualTokens: number;
  waiting: T[];
  /** Number of waiting requests that may run at one software version only. */
  bound: number;
}

/** Key of an organisation with waiting requests in the order in which organisations are served. */
interface ServiceKey {
  readonly virtualTokens: number;
  readonly position: number;
}

function compareServiceKeys(a: ServiceKey, b: ServiceKey): number {
  return a.virtualTokens - b.virtualTokens || a.position - b.position;
}

/**
 * Start-time fair queueing. Each organisation has a virtual time that rises by cost / weight when a request of it is
 * served; the organisation with the lowest virtual time is served next. An organisation that was idle resumes at the
 * queue's current virtual time if its own is lower: it neither earns credit nor accrues debt while it is idle.
 */
export class FairQueue<T extends QueuedRequest> {
  private readonly organisations = new Map<string, OrganisationQueue<T>>();
  /** The organisations with waiting requests, the one to be served next first. */
  private readonly active = orderedMap<ServiceKey, OrganisationQueue<T>>(compareServiceKeys);
  private activeWeight = 0;
  private virtualTokens = 0;
  private readonly queueByRequestId = new Map<string, OrganisationQueue<T>>();
  /** Numbers of waiting requests that may run at one software version only, by version. */
  private readonly boundByVersion = new Map<string, number>();
  /** No waiting request has an earlier deadline; it may be too early after requests were taken. */
  private deadlineBoundMs = Number.POSITIVE_INFINITY;

  /** Number of waiting requests. */
  get size(): number {
    return this.queueByRequestId.size;
  }

  /** The software versions that waiting requests are bound to. */
  get boundVersions(): string[] {
    return [...this.boundByVersion.keys()];
  }

  /** Number of waiting requests that may run at `softwareVersion` only. */
  boundTo(softwareVersion: string): number {
    return this.boundByVersion.get(softwareVersion) ?? 0;
  }

  /** Whether the request is in the queue. */
  has(requestId: string): boolean {
    return this.queueByRequestId.has(requestId);
  }

  /** Adds a request. `weight` becomes the weight of its organisation, also for requests that already wait. */
  push(request: T, weight: number): void {
    const queue = this.queueOf(request.organisation, weight);
    if (queue.waiting.length === 0) {
      queue.servedVirtualTokens = Math.max(queue.servedVirtualTokens, this.virtualTokens);
      this.activate(queue);
    }
    const at = queue.waiting.findIndex((other) => other.deadlineMs > request.deadlineMs);
    queue.waiting.splice(at < 0 ? queue.waiting.length : at, 0, request);
    this.queueByRequestId.set(request.requestId, queue);
    this.countBound(queue, request, 1);
    this.deadlineBoundMs = Math.min(this.deadlineBoundMs, request.deadlineMs);
  }

  /** As `takeNextWith`, for a decision without a result. */
  takeNext(admits: (request: T) => boolean): T | undefined {
    return this.takeNextWith((request) => (admits(request) ? true : undefined))?.request;
  }

  /**
   * Removes and returns the next request for which `choose` returns a result, with that result, and charges its cost to
   * its organisation. Of each organisation, the first request that may run anywhere and the first one of each software
   * version are considered; an organisation that gets no result is skipped and not charged.
   */
  takeNextWith<C>(choose: (request: T) => C | undefined): Taken<T, C> | undefined {
    for (const [, queue] of this.active.entries()) {
      for (const request of firstByVersion(queue)) {
        const choice = choose(request);
        if (choice !== undefined) {
          this.take(queue, request);
          return { request, choice };
        }
      }
    }
    return undefined;
  }

  /**
   * Adjusts the charge of an organisation by the difference between the actual and the estimated cost of a
   * request.
   */
  correctCharge(organisation: string, deltaTokens: number): void {
    const queue = this.organisations.get(organisation);
    if (queue) this.charge(queue, deltaTokens);
  }

  /** Removes a request without charging its organisation; undefined when it is not in the queue. */
  remove(requestId: string): T | undefined {
    const queue = this.queueByRequestId.get(requestId);
    return queue && this.removeFrom(queue, requestId);
  }

  /** Removes and returns all requests that `matches` selects. */
  removeWhere(matches: (request: T) => boolean): T[] {
    const removed = this.all().filter(matches);
    removed.forEach((request) => this.remove(request.requestId));
    return removed;
  }

  /** Removes and returns the requests whose deadline has passed. */
  removeOverdue(nowMs: number): T[] {
    if (nowMs < this.deadlineBoundMs) return [];
    const removed = this.removeWhere((request) => request.deadlineMs <= nowMs);
    this.deadlineBoundMs = this.all().reduce(
      (earliestMs, request) => Math.min(earliestMs, request.deadlineMs),
      Number.POSITIVE_INFINITY,
    );
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
    const own = this.organisations.get(organisation);
    return this.activeWeight - (own && own.waiting.length > 0 ? own.weight : 0);
  }

  /** Number of waiting requests and virtual time of each organisation, including those without waiting requests. */
  depths(): { organisation: string; waiting: number; servedVirtualTokens: number }[] {
    return [...this.organisations.values()].map((queue) => ({
      organisation: queue.organisation,
      waiting: queue.waiting.length,
      servedVirtualTokens: queue.servedVirtualTokens,
    }));
  }

  private take(queue: OrganisationQueue<T>, request: T): void {
    this.removeFrom(queue, request.requestId);
    this.virtualTokens = Math.max(this.virtualTokens, queue.servedVirtualTokens);
    this.charge(queue, request.costTokens);
  }

  private removeFrom(queue: OrganisationQueue<T>, requestId: string): T | undefined {
    const at = queue.waiting.findIndex((request) => request.requestId === requestId);
    const [request] = queue.waiting.splice(at, 1);
    this.queueByRequestId.delete(requestId);
    if (request) this.countBound(queue, request, -1);
    if (queue.waiting.length === 0) this.deactivate(queue);
    return request;
  }

  private countBound(queue: OrganisationQueue<T>, { softwareVersion }: T, change: 1 | -1): void {
    if (softwareVersion === undefined) return;
    queue.bound += change;
    const count = this.boundTo(softwareVersion) + change;
    if (count === 0) this.boundByVersion.delete(softwareVersion);
    else this.boundByVersion.set(softwareVersion, count);
  }

  private charge(queue: OrganisationQueue<T>, tokens: number): void {
    const isActive = queue.waiting.length > 0;
    if (isActive) this.active.delete(keyOf(queue));
    queue.servedVirtualTokens += tokens / queue.weight;
    if (isActive) this.active.set(keyOf(queue), queue);
  }

  private activate(queue: OrganisationQueue<T>): void {
    this.active.set(keyOf(queue), queue);
    this.activeWeight += queue.weight;
  }

  private deactivate(queue: OrganisationQueue<T>): void {
    this.active.delete(keyOf(queue));
    // Reset so that rounding errors of fractional weights do not add up.
    this.activeWeight = this.active.size === 0 ? 0 : this.activeWeight - queue.weight;
  }

  private queueOf(organisation: string, weight: number): OrganisationQueue<T> {
    const known = this.organisations.get(organisation);
    if (known) {
      if (known.waiting.length > 0) this.activeWeight += weight - known.weight;
      known.weight = weight;
      return known;
    }
    const created = {
      organisation,
      position: this.organisations.size,
      weight,
      servedVirtualTokens: this.virtualTokens,
      waiting: [],
      bound: 0,
    };
    this.organisations.set(organisation, created);
    return created;
  }
}

/** The first waiting request of each software version and of those without one, in the order in which they wait. */
function* firstByVersion<T extends QueuedRequest>(queue: OrganisationQueue<T>): Generator<T> {
  const seen = new Set<string | undefined>();
  for (const request of queue.waiting) {
    if (!seen.has(request.softwareVersion)) yield request;
    seen.add(request.softwareVersion);
    if (queue.bound === 0) return;
  }
}

function keyOf(queue: OrganisationQueue<QueuedRequest>): ServiceKey {
  return { virtualTokens: queue.servedVirtualTokens, position: queue.position };
}

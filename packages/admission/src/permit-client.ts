/** The holder's side of admission: requests slots from the owners of pools, and holds and releases permits. */
import type { Clock, Metrics, Outcome, Problem, System } from '@fighub/core';
import { EntityTable, fail, notRun, ok, sleep } from '@fighub/core';
import type { PoolLoad, ReleaseReport, ReplicaLoadReport } from '@fighub/decisions';
import { AttemptEnd, nextAsk, orderPools } from '@fighub/decisions';
import type { AcquireBody, GrantedBody, MembershipRunner, PeerNode } from '@fighub/peers';

import type { DirectDispatch, DirectRun } from './direct-dispatch.js';
import type { PoolPermit } from './permit-renewals.js';
import { PermitRenewals } from './permit-renewals.js';
import type { Slot, SlotDemand } from './slot.js';
import type { PoolDescription } from './pool-catalogue.js';
import { OwnerOutbox } from './owner-outbox.js';
import type { LocalHolder, PoolHost } from './pool-host.js';

/** A request for a slot that the owner of the pool has neither granted nor refused yet. */
interface WaitingDemand {
  readonly body: AcquireBody;
  readonly ownerId: string;
  /** When the request is sent to the owner again, in case the request or the grant did not arrive. */
  retryAtMs: number;
  readonly answer: (outcome: Outcome<Slot, Problem>) => void;
}

/** A permit that this instance holds, and the controller that aborts `Slot.revoked`. */
interface HeldSlot extends PoolPermit {
  readonly revoke: AbortController;
}

/** The load of a pool, as its owner reported it, is used for this long. */
const SUMMARY_LIFETIME_MS = 2_500;
const SUMMARY_PERIOD_MS = 500;
const SUMMARY_TIMEOUT_MS = 400;
/** Pools of other failure domains whose load is requested in one round, for each model in use. */
const SAMPLED_POOLS_PER_MODEL = 2;
/** A model counts as in use at this instance for this long after its last request. */
const MODEL_IN_USE_MS = 10_000;
/**
 * A request that was neither granted nor refused is sent again after this time, since it or the grant may have been
 * lost on a silent connection.
 */
const ACQUIRE_RETRY_MS = { online: 120, batch: 1_000 } as const;
/** Maximum number of requests that one tick sends again. */
const MAX_ACQUIRE_RETRIES_PER_RUN = 64;

/** The load of a pool, as its owner reported it. */
interface PoolSummary {
  readonly load: PoolLoad;
  readonly freshUntilMs: number;
}

/**
 * The error when no owner accepted a request: it did not respond, or it no longer owns the pool. It is recognised by
 * its identity.
 */
const NO_OWNER_ACCEPTED = notRun('no_upstream', 'no owner of a pool accepted the request');

/** Acquires slots for the streams of this instance. */
export class PermitClient implements LocalHolder, System {
  readonly name = 'permit client';
  private readonly waiting = new EntityTable<WaitingDemand>();
  /** Permits that this instance holds, by permit id. */
  private readonly places = new EntityTable<HeldSlot>();
  private readonly outbox = new OwnerOutbox();
  /** Loads of pools that other instances own, by pool. */
  private readonly summaries = new Map<string, PoolSummary>();
  private readonly renewals: PermitRenewals;
  private nextSummaryMs = 0;
  /** Time of the last use of each model. */
  private readonly modelUsedAtMs = new Map<string, number>();
  private releasesScheduled = false;

  constructor(
    private readonly selfId: string,
    private readonly failureDomain: string,
    private readonly host: PoolHost,
    private readonly direct: DirectDispatch,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly acquireTimeoutMs: number,
    /** True for the baseline strategy, in which online requests bypass the owners of pools. */
    private readonly alwaysDirect: boolean,
    /** Whether this instance is cut off from the fleet, so that a request to an owner would only cost time. */
    private readonly isCutOff: () => boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: () => number,
  ) {
    const permits = (): readonly PoolPermit[] => this.places.all();
    this.renewals = new PermitRenewals(selfId, host, members, node, permits, clock, metrics);
    node.onNotice('permit.granted', (body) => this.granted(body));
    node.onNotice('permit.refused', (body) => this.refused(body.requestId, body.problem));
    node.onNotice('permit.revoked', (body) => this.revoked(body.permitId));
  }

  /**
   * Waits for a slot in one of the pools of the model, which are tried in the order of their expected waits. Fails at
   * once when the organisation may use none of them, and early when `signal` is aborted. Online requests get a slot
   * from `DirectDispatch` instead when no owner accepts them or this instance is cut off.
   */
  async acquire(demand: SlotDemand, signal: AbortSignal): Promise<Outcome<Slot, Problem>> {
    if (this.alwaysDirect && demand.workClass === 'online') return this.direct.acquire(demand);
    const pools = this.candidatePools(demand);
    if (pools.length === 0)
      return fail(
        notRun('no_upstream', `no upstream serves ${demand.model} to ${demand.organisation}`, 1_000),
      );
    if (demand.isCopy && this.isCutOff()) return fail(NO_OWNER_ACCEPTED);
    if (demand.workClass === 'online' && this.isCutOff()) return this.direct.acquire(demand);
    const outcome = await this.acquireFromPools(pools, demand, this.acquireTimeoutMs, signal);
    // Only the owner of the pool counts copies.
    const isFinal = outcome.ok || signal.aborted || demand.isCopy;
    if (isFinal || outcome.error !== NO_OWNER_ACCEPTED) return outcome;
    return demand.workClass === 'online' ? this.acquireWithoutOwner(pools, demand, signal) : outcome;
  }

  private async acquireFromPools(
    pools: readonly string[],
    demand: SlotDemand,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Outcome<Slot, Problem>> {
    let last: Problem = NO_OWNER_ACCEPTED;
    for (const poolId of pools) {
      const outcome = await this.acquireWithFailover(poolId, demand, timeoutMs, signal);
      if (outcome.ok || signal.aborted) return outcome;
      last = outcome.error;
      if (this.clock.nowUnixMs() >= demand.deadlineUnixMs) break;
    }
    return fail(last);
  }

  /**
   * Acquires a slot from `DirectDispatch`. If this instance has used up its share of the slots or limits, the owners are asked
   * again as `nextAsk` says: one that was paused may accept the request now, or another has taken over.
   */
  private async acquireWithoutOwner(
    pools: readonly string[],
    demand: SlotDemand,
    signal: AbortSignal,
  ): Promise<Outcome<Slot, Problem>> {
    const direct = await this.direct.acquire(demand);
    if (direct.ok) return direct;
    const { deadlineUnixMs, startByUnixMs = deadlineUnixMs } = demand;
    const limits = { deadlineUnixMs, startByUnixMs, lacksLimitShare: direct.error.code === 'limit_reached' };
    for (let asks = 1; !signal.aborted; asks += 1) {
      const askedAtUnixMs = this.clock.nowUnixMs();
      const ask = nextAsk({ asks, ...limits }, askedAtUnixMs);
      if (!ask) break;
      const offered = ask.mayStartLate ? { ...demand, startByUnixMs: undefined } : demand;
      const outcome = await this.acquireFromPools(pools, offered, ask.timeoutMs, signal);
      if (outcome.ok || outcome.error !== NO_OWNER_ACCEPTED) return outcome;
      // While no owner is known the answer comes at once.
      if (limits.lacksLimitShare) await sleep(askedAtUnixMs + ask.timeoutMs - this.clock.nowUnixMs(), signal);
    }
    return direct;
  }

  /** Releases a slot and reports to the owner of its pool how the stream ended. */
  release(slot: Slot, report: Omit<ReleaseReport, 'permitId'>): void {
    this.places.take(slot.permitId);
    const direct = this.direct.release(slot, report);
    if (direct) {
      this.reportDirectCrash(slot, report, direct);
      return;
    }
    this.outbox.addRelease(slot.poolId, { ...report, permitId: slot.permitId });
    this.scheduleReleases();
  }

  /** Tells the owner of the pool that the stream has shown that its prompt does not crash replicas. */
  reportProgress({ poolId, permitId }: Slot): void {
    const ownerId = this.host.ownerOfPool(poolId);
    if (ownerId === this.selfId) this.host.observeProgress(poolId, permitId);
    else
      this.notifyOwner(ownerId, (address) =>
        this.node.notify(address, 'permit.progress', { poolId, permitId }),
      );
  }

  /** Records the load that a replica reported with a response. By the next tick it is sent to the owner of the pool. */
  recordLoad(slot: Slot, load: Omit<ReplicaLoadReport, 'replicaId'>): void {
    const report = { ...load, replicaId: slot.replicaId };
    if (!this.direct.recordLoad(slot, report)) this.outbox.addLoad(slot.poolId, report);
  }

  /**
   * Records what a response states about the limit of its replica, in requests a second; undefined if it states none. What
   * counts is sent to the owner of the pool along with the loads.
   */
  recordRequestLimit(slot: Slot, requestsPerSecond: number | undefined, sentAtMs: number): void {
    const { replicaId, permitId } = slot;
    const { requestLimits } = this.host;
    if (!requestLimits.observe(replicaId, requestsPerSecond, sentAtMs, this.clock.monotonicMs())) return;
    const poolId = this.poolIdOf(slot);
    if (poolId !== undefined) this.outbox.addLimit(poolId, { replicaId, permitId, requestsPerSecond });
  }

  /**
   * Resolves the request that was granted. If the request no longer waits, the slot is released, unless the grant was
   * only sent again.
   */
  granted(body: GrantedBody): void {
    const demand = this.waiting.take(body.requestId);
    if (!demand && this.places.has(body.permitId)) return;
    if (!demand) {
      this.metrics.count('permits_unwanted');
      this.releaseUnwanted(body);
      return;
    }
    const revoke = new AbortController();
    const held = { permitId: body.permitId, replicaId: body.replicaId, request: demand.body };
    this.places.set(body.permitId, { poolId: body.poolId, held, revoke });
    demand.answer(ok({ ...body, revoked: revoke.signal }));
  }

  /** Fails the request that was refused. */
  refused(requestId: string, problem: Problem): void {
    this.waiting.take(requestId)?.answer(fail(problem));
  }

  /** Aborts the stream of a permit that was revoked. */
  revoked(permitId: string): void {
    this.places.get(permitId)?.revoke.abort();
  }

  /** Loads of the pools that this instance owns, and of other pools whose owners have recently reported them. */
  poolLoads(): PoolLoad[] {
    const nowMs = this.clock.monotonicMs();
    const fresh = [...this.summaries.values()].filter((summary) => summary.freshUntilMs > nowMs);
    const own = this.host.loads();
    const ownIds = new Set(own.map((load) => load.poolId));
    return [...own, ...fresh.map((summary) => summary.load).filter((load) => !ownIds.has(load.poolId))];
  }

  /** Permits that are only held need no frequent ticks: they are renewed every second, and released at once. */
  get busy(): boolean {
    return this.waiting.size + this.outbox.size > 0;
  }

  run(nowMs: number): void {
    this.sendReleases();
    this.failDemandsOfFormerOwners();
    this.retryUnanswered(nowMs);
    this.renewals.run(nowMs);
    if (nowMs >= this.nextSummaryMs) this.requestSummaries(nowMs);
  }

  dump(): Record<string, unknown> {
    return {
      waiting: this.waiting.size,
      places: this.places.all().map((slot) => ({ poolId: slot.poolId, ...slot.held })),
      summaries: this.poolLoads(),
    };
  }

  private candidatePools(demand: SlotDemand): string[] {
    const pools = this.host.poolsOpenTo(demand.organisation, demand.model);
    // The loads of pools only decide their order.
    if (pools.length <= 1)
      return pools.filter((pool) => pool.upstreams.length > 0).map((pool) => pool.poolId);
    this.markModelInUse(demand.model);
    const loads = new Map(this.poolLoads().map((load) => [load.poolId, load]));
    const candidates = pools.map((pool) => ({
      model: pool.model,
      failureDomain: pool.failureDomain,
      places: loads.get(pool.poolId)?.places ?? pool.upstreams.length,
      expectedWaitMs: this.expectedWaitOf(demand, loads.get(pool.poolId)),
    }));
    return orderPools(candidates, this.failureDomain, this.random).map(
      (pool) => `${pool.model}@${pool.failureDomain}`,
    );
  }

  /**
   * The expected wait by which pools are ordered, in milliseconds; undefined when the load is unknown. Batch prefers
   * pools with idle slots: its wait is replaced by the number of streams, reserved slots and waiting batch requests per
   * 1,000 slots.
   */
  private expectedWaitOf(demand: SlotDemand, load: PoolLoad | undefined): number | undefined {
    if (!load) return undefined;
    if (demand.workClass === 'online') {
      const own = load.organisationWaits.find((wait) => wait.organisation === demand.organisation);
      return own?.expectedWaitMs ?? load.newcomerWaitMs;
    }
    const busy = load.onlineStreams + load.batchStreams + load.batchWaiting + load.reservedPlaces;
    return (1_000 * busy) / Math.max(1, load.places);
  }

  /**
   * Requests a slot from the owner of a pool. When it did not accept and the pool has another owner by then, requests
   * the slot from that one.
   */
  private async acquireWithFailover(
    poolId: string,
    demand: SlotDemand,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Outcome<Slot, Problem>> {
    const ownerId = this.host.ownerOfPool(poolId);
    const outcome = await this.acquireFromOwner(poolId, demand, timeoutMs, signal);
    if (outcome.ok || signal.aborted || outcome.error !== NO_OWNER_ACCEPTED) return outcome;
    if (this.host.ownerOfPool(poolId) === ownerId) return outcome;
    return this.acquireFromOwner(poolId, demand, timeoutMs, signal);
  }

  private async acquireFromOwner(
    poolId: string,
    demand: SlotDemand,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Outcome<Slot, Problem>> {
    const ownerId = this.host.ownerOfPool(poolId);
    if (ownerId === undefined) return fail(NO_OWNER_ACCEPTED);
    this.renewals.renewIfOwnersChanged();
    const body = this.toAcquireBody(poolId, demand);
    return new Promise((resolve) => {
      const answer = (outcome: Outcome<Slot, Problem>): void => {
        signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      };
      const onAbort = (): void => {
        if (!this.waiting.take(body.requestId)) return;
        this.withdraw(ownerId, poolId, body.requestId);
        answer(fail(notRun('draining', 'the request was aborted before a slot was granted')));
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.waiting.set(body.requestId, {
        body,
        ownerId,
        answer,
        retryAtMs: this.clock.monotonicMs() + ACQUIRE_RETRY_MS[body.workClass],
      });
      this.node.detach('permit.acquire', this.requestSlot(ownerId, body, timeoutMs));
    });
  }

  /** Sends a waiting request to an owner and fails it when the owner does not accept it. */
  private async requestSlot(ownerId: string, body: AcquireBody, timeoutMs: number): Promise<void> {
    const accepted = await this.sendAcquire(ownerId, body, timeoutMs);
    if (accepted) return;
    const demand = this.waiting.get(body.requestId);
    if (demand?.body !== body) return;
    this.waiting.take(body.requestId);
    this.metrics.count('owners_not_answering');
    this.withdraw(ownerId, body.poolId, body.requestId);
    demand.answer(fail(NO_OWNER_ACCEPTED));
  }

  private async sendAcquire(ownerId: string, body: AcquireBody, timeoutMs: number): Promise<boolean> {
    if (ownerId === this.selfId) return this.host.acquire(body);
    const member = this.members().membership.get(ownerId);
    if (!member) return false;
    const answer = await this.node.request(member.peerAddress, 'permit.acquire', body, timeoutMs);
    this.host.recordOwnerResponse(ownerId, answer.ok);
    return answer.ok && answer.value.accepted;
  }

  private withdraw(ownerId: string, poolId: string, requestId: string): void {
    if (ownerId === this.selfId) {
      this.host.withdraw(poolId, requestId);
      return;
    }
    const member = this.members().membership.get(ownerId);
    if (member) this.node.notify(member.peerAddress, 'permit.withdraw', { poolId, requestId });
  }

  /** Withdraws requests from instances that no longer own the pool, so that they are sent to the new owner. */
  private failDemandsOfFormerOwners(): void {
    this.waiting
      .all()
      .filter((demand) => this.host.ownerOfPool(demand.body.poolId) !== demand.ownerId)
      .forEach((demand) => {
        this.waiting.take(demand.body.requestId);
        this.metrics.count('waits_moved');
        this.withdraw(demand.ownerId, demand.body.poolId, demand.body.requestId);
        demand.answer(fail(NO_OWNER_ACCEPTED));
      });
  }

  /**
   * Sends requests again that were neither granted nor refused. This is harmless, since owners recognise a request by
   * its id.
   */
  private retryUnanswered(nowMs: number): void {
    this.waiting
      .all()
      .filter((demand) => nowMs >= demand.retryAtMs)
      .slice(0, MAX_ACQUIRE_RETRIES_PER_RUN)
      .forEach((demand) => {
        demand.retryAtMs = nowMs + ACQUIRE_RETRY_MS[demand.body.workClass];
        this.node.detach(
          'permit.acquire',
          this.requestSlot(demand.ownerId, demand.body, this.acquireTimeoutMs),
        );
      });
  }

  /** The pool of a slot, or for a slot without an owner a pool of its model. */
  private poolIdOf(slot: Slot): string | undefined {
    const demand = this.direct.demandOf(slot);
    return demand ? this.host.poolsOpenTo(demand.organisation, demand.model)[0]?.poolId : slot.poolId;
  }

  /** Tells the owner of a pool of the model about a replica that crashed under a request without a permit. */
  private reportDirectCrash(
    { replicaId }: Slot,
    { end, tokens }: Omit<ReleaseReport, 'permitId'>,
    { demand, startedAtMs }: DirectRun,
  ): void {
    const { requestId, organisation, model, sharedPartIds = [], requestDigest } = demand;
    const [pool] = this.host.poolsOpenTo(organisation, model);
    if (!pool || end !== AttemptEnd.broken) return;
    this.outbox.addCrash(pool.poolId, {
      requestId,
      replicaId,
      sharedPartIds,
      requestDigest,
      events: tokens,
      ranMs: this.clock.monotonicMs() - startedAtMs,
    });
    this.scheduleReleases();
  }

  private releaseUnwanted(body: GrantedBody): void {
    this.outbox.addRelease(body.poolId, { permitId: body.permitId, end: 'cancelled', tokens: 0 });
  }

  /** Schedules the pending releases, so that those of one turn of the event loop are sent together. */
  private scheduleReleases(): void {
    if (this.releasesScheduled) return;
    this.releasesScheduled = true;
    setImmediate(() => {
      this.releasesScheduled = false;
      this.sendReleases();
    });
  }

  private sendReleases(): void {
    this.outbox.takeAll().forEach((body) => {
      const ownerId = this.host.ownerOfPool(body.poolId);
      if (ownerId === this.selfId) this.host.release(body);
      else this.notifyOwner(ownerId, (address) => this.node.notify(address, 'permit.release', body));
    });
  }

  private notifyOwner(ownerId: string | undefined, notify: (address: string) => void): void {
    const member = ownerId === undefined ? undefined : this.members().membership.get(ownerId);
    if (member) notify(member.peerAddress);
  }

  /** Marks a model as in use, so that the loads of its pools are known before the first request. */
  markModelInUse(model: string): void {
    this.modelUsedAtMs.set(model, this.clock.monotonicMs());
  }

  /**
   * Requests the loads of this failure domain's pool and of a few random other pools from their owners, for each model
   * in use.
   */
  private requestSummaries(nowMs: number): void {
    this.nextSummaryMs = nowMs + SUMMARY_PERIOD_MS;
    const wanted = this.host
      .describePools()
      .filter((pool) => nowMs - (this.modelUsedAtMs.get(pool.model) ?? -MODEL_IN_USE_MS) < MODEL_IN_USE_MS)
      .filter((pool) => this.host.ownerOfPool(pool.poolId) !== this.selfId);
    const own = wanted.filter((pool) => pool.failureDomain === this.failureDomain);
    const others = [...new Set(wanted.map((pool) => pool.model))].flatMap((model) =>
      this.sample(wanted.filter((pool) => pool.model === model && pool.failureDomain !== this.failureDomain)),
    );
    const byOwner = new Map<string, string[]>();
    [...own, ...others].forEach((pool) => {
      const ownerId = this.host.ownerOfPool(pool.poolId) ?? '';
      byOwner.set(ownerId, [...(byOwner.get(ownerId) ?? []), pool.poolId]);
    });
    byOwner.forEach((poolIds, ownerId) => this.node.detach('pool.load', this.requestLoads(ownerId, poolIds)));
  }

  private sample(pools: readonly PoolDescription[]): PoolDescription[] {
    return pools
      .map((pool) => ({ pool, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .slice(0, SAMPLED_POOLS_PER_MODEL)
      .map((entry) => entry.pool);
  }

  private async requestLoads(ownerId: string, poolIds: readonly string[]): Promise<void> {
    const member = this.members().membership.get(ownerId);
    if (!member) return;
    const answer = await this.node.request(member.peerAddress, 'pool.load', { poolIds }, SUMMARY_TIMEOUT_MS);
    if (answer.ok) this.recordSummaries(answer.value.loads);
  }

  private recordSummaries(loads: readonly PoolLoad[]): void {
    const freshUntilMs = this.clock.monotonicMs() + SUMMARY_LIFETIME_MS;
    loads.forEach((load) => this.summaries.set(load.poolId, { load, freshUntilMs }));
  }

  private toAcquireBody(poolId: string, demand: SlotDemand): AcquireBody {
    const nowUnixMs = this.clock.nowUnixMs();
    return {
      poolId,
      requestId: `${this.selfId}/${demand.requestId}/${String(this.attempts++)}`,
      holder: this.selfId,
      organisation: demand.organisation,
      workload: demand.workload,
      workClass: demand.workClass,
      costTokens: demand.costTokens,
      startInMs: demand.startByUnixMs === undefined ? undefined : demand.startByUnixMs - nowUnixMs,
      deadlineInMs: demand.deadlineUnixMs - nowUnixMs,
      prefixDigest: demand.prefixDigest,
      ...(demand.sharedPartIds?.length ? { sharedPartIds: demand.sharedPartIds } : {}),
      requestDigest: demand.requestDigest,
      excludedReplicaIds: demand.excludedReplicaIds,
      softwareVersion: demand.softwareVersion,
      resumable: demand.resumable,
      alone: demand.alone,
      receivedTokens: demand.receivedTokens,
      memoryTokens: demand.memoryTokens,
      ...(demand.isCopy ? { isCopy: true } : {}),
    };
  }

  /** Number of requests for slots created so far; as a part of each request id it makes the id unique. */
  private attempts = 0;
}

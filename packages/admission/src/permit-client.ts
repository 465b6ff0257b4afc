/** The holder's side of admission: asks owners for places, keeps and returns permits. */
import type { Clock, Metrics, Outcome, Problem, System } from '@fighub/core';
import { EntityTable, fail, notRun, ok } from '@fighub/core';
import type { PoolLoad, ReleaseReport, ReplicaLoadReport } from '@fighub/decisions';
import { orderPools } from '@fighub/decisions';
import type { AcquireBody, GrantedBody, MembershipRunner, PeerNode } from '@fighub/peers';

import type { DirectDispatch } from './direct-dispatch.js';
import type { PooledPermit } from './permit-renewals.js';
import { PermitRenewals } from './permit-renewals.js';
import type { Place, PlaceDemand } from './place.js';
import type { PoolDescription } from './pool-catalogue.js';
import { OwnerOutbox } from './owner-outbox.js';
import type { LocalHolder, PoolHost } from './pool-host.js';

interface WaitingDemand {
  readonly body: AcquireBody;
  readonly ownerId: string;
  /** When the owner is asked again, in case it lost the request or its answer was lost. */
  askAgainAtMs: number;
  readonly answer: (outcome: Outcome<Place, Problem>) => void;
}

interface HeldPlace extends PooledPermit {
  readonly revoke: AbortController;
}

const SUMMARY_LIFETIME_MS = 2_500;
const SUMMARY_PERIOD_MS = 500;
const SUMMARY_TIMEOUT_MS = 400;
/** Pools of other failure domains that are asked for their load in one round, for each model in use. */
const SAMPLED_POOLS = 2;
/** A model counts as in use here for this long after its last request. */
const MODEL_IN_USE_MS = 10_000;
/** An answer may be lost on a silent connection: the owner is asked again after this time. */
const ASK_AGAIN_MS = { online: 120, batch: 1_000 } as const;
const MAX_ASKED_AGAIN = 64;

interface PoolSummary {
  readonly load: PoolLoad;
  readonly freshUntilMs: number;
}

/** Internal answer of an owner that did not take the request. */
const NOT_TAKEN = notRun('no_upstream', 'no owner of a pool answered');

/** Gets places for the streams of this instance. */
export class PermitClient implements LocalHolder, System {
  readonly name = 'permit client';
  private readonly waiting = new EntityTable<WaitingDemand>();
  private readonly places = new EntityTable<HeldPlace>();
  private readonly outbox = new OwnerOutbox();
  private readonly summaries = new Map<string, PoolSummary>();
  private readonly renewals: PermitRenewals;
  private nextSummaryMs = 0;
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
    /** The baseline strategy: online requests never ask an owner. */
    private readonly alwaysDirect: boolean,
    /** Whether asking owners would only cost time. */
    private readonly isCutOff: () => boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: () => number,
  ) {
    const permits = (): readonly PooledPermit[] => this.places.all();
    this.renewals = new PermitRenewals(selfId, host, members, node, permits, clock, metrics);
    node.onNotice('permit.granted', (body) => this.granted(body));
    node.onNotice('permit.refused', (body) => this.refused(body.requestId, body.problem));
    node.onNotice('permit.revoked', (body) => this.revoked(body.permitId));
  }

  /** Waits for a place. Ends early when `signal` is aborted. */
  async acquire(demand: PlaceDemand, signal: AbortSignal): Promise<Outcome<Place, Problem>> {
    if (this.alwaysDirect && demand.workClass === 'online') return this.direct.acquire(demand);
    this.modelUsedAtMs.set(demand.model, this.clock.monotonicMs());
    const pools = this.candidatePools(demand);
    if (pools.length === 0)
      return fail(
        notRun('no_upstream', `no upstream serves ${demand.model} to ${demand.organisation}`, 1_000),
      );
    if (demand.workClass === 'online' && this.isCutOff()) return this.direct.acquire(demand);
    let last: Problem = NOT_TAKEN;
    for (const poolId of pools) {
      const outcome = await this.acquireFromOwners(poolId, demand, signal);
      if (outcome.ok || signal.aborted) return outcome;
      last = outcome.error;
      if (this.clock.nowUnixMs() >= demand.deadlineUnixMs) break;
    }
    if (demand.workClass === 'online' && last === NOT_TAKEN) return this.direct.acquire(demand);
    return fail(last);
  }

  /** Gives a place back. */
  release(place: Place, report: Omit<ReleaseReport, 'permitId'>): void {
    this.places.take(place.permitId);
    if (this.direct.release(place, report)) return;
    this.outbox.addRelease(place.poolId, { ...report, permitId: place.permitId });
    this.scheduleReleases();
  }

  /** Passes on what a replica said of its load when it answered. */
  noteLoad(place: Place, load: Omit<ReplicaLoadReport, 'replicaId'>): void {
    const report = { ...load, replicaId: place.replicaId };
    if (!this.direct.noteLoad(place, report)) this.outbox.addLoad(place.poolId, report);
  }

  granted(body: GrantedBody): void {
    const demand = this.waiting.take(body.requestId);
    if (!demand && this.places.has(body.permitId)) return;
    if (!demand) {
      this.metrics.count('permits_unwanted');
      this.returnUnwanted(body);
      return;
    }
    const revoke = new AbortController();
    const held = { permitId: body.permitId, replicaId: body.replicaId, request: demand.body };
    this.places.set(body.permitId, { poolId: body.poolId, held, revoke });
    demand.answer(ok({ ...body, revoked: revoke.signal }));
  }

  refused(requestId: string, problem: Problem): void {
    this.waiting.take(requestId)?.answer(fail(problem));
  }

  revoked(permitId: string): void {
    this.places.get(permitId)?.revoke.abort();
  }

  /** Loads of all pools, own ones included. */
  poolLoads(): PoolLoad[] {
    const nowMs = this.clock.monotonicMs();
    const fresh = [...this.summaries.values()].filter((summary) => summary.freshUntilMs > nowMs);
    const own = this.host.loads();
    const ownIds = new Set(own.map((load) => load.poolId));
    return [...own, ...fresh.map((summary) => summary.load).filter((load) => !ownIds.has(load.poolId))];
  }

  get busy(): boolean {
    return this.waiting.size + this.places.size + this.outbox.size > 0;
  }

  run(nowMs: number): void {
    this.sendReleases();
    this.dropMovedDemands();
    this.askAgain(nowMs);
    this.renewals.run(nowMs);
    if (nowMs >= this.nextSummaryMs) this.askForSummaries(nowMs);
  }

  dump(): Record<string, unknown> {
    return {
      waiting: this.waiting.size,
      places: this.places.all().map((place) => ({ poolId: place.poolId, ...place.held })),
      summaries: this.poolLoads(),
    };
  }

  private candidatePools(demand: PlaceDemand): string[] {
    const loads = new Map(this.poolLoads().map((load) => [load.poolId, load]));
    const candidates = this.host.poolsOpenTo(demand.organisation, demand.model).map((pool) => ({
      model: pool.model,
      failureDomain: pool.failureDomain,
      places: loads.get(pool.poolId)?.places ?? pool.upstreams.length,
      expectedWaitMs: this.waitOf(demand, loads.get(pool.poolId)),
    }));
    return orderPools(candidates, this.failureDomain, this.random).map(
      (pool) => `${pool.model}@${pool.failureDomain}`,
    );
  }

  /** Batch goes where it finds idle places, online where its expected wait is shortest. */
  private waitOf(demand: PlaceDemand, load: PoolLoad | undefined): number | undefined {
    if (!load) return undefined;
    if (demand.workClass === 'online') {
      const own = load.organisationWaits.find((wait) => wait.organisation === demand.organisation);
      return own?.expectedWaitMs ?? load.newcomerWaitMs;
    }
    const busy = load.onlineStreams + load.batchStreams + load.batchWaiting + load.reservedPlaces;
    return (1_000 * busy) / Math.max(1, load.places);
  }

  /** Asks the owner, and the next one when the first turns out not to answer. */
  private async acquireFromOwners(
    poolId: string,
    demand: PlaceDemand,
    signal: AbortSignal,
  ): Promise<Outcome<Place, Problem>> {
    const ownerId = this.host.ownerOfPool(poolId);
    const outcome = await this.acquireFrom(poolId, demand, signal);
    if (outcome.ok || signal.aborted || outcome.error !== NOT_TAKEN) return outcome;
    if (this.host.ownerOfPool(poolId) === ownerId) return outcome;
    return this.acquireFrom(poolId, demand, signal);
  }

  private async acquireFrom(
    poolId: string,
    demand: PlaceDemand,
    signal: AbortSignal,
  ): Promise<Outcome<Place, Problem>> {
    const ownerId = this.host.ownerOfPool(poolId);
    if (ownerId === undefined) return fail(NOT_TAKEN);
    this.renewals.renewIfMoved();
    const body = this.toBody(poolId, demand);
    return new Promise((resolve) => {
      const answer = (outcome: Outcome<Place, Problem>): void => {
        signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      };
      const onAbort = (): void => {
        if (!this.waiting.take(body.requestId)) return;
        this.withdraw(ownerId, poolId, body.requestId);
        answer(fail(notRun('draining', 'the caller went away')));
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.waiting.set(body.requestId, {
        body,
        ownerId,
        answer,
        askAgainAtMs: this.clock.monotonicMs() + ASK_AGAIN_MS[body.workClass],
      });
      void this.ask(ownerId, body);
    });
  }

  private async ask(ownerId: string, body: AcquireBody): Promise<void> {
    const accepted = await this.askOwner(ownerId, body);
    if (accepted) return;
    const demand = this.waiting.get(body.requestId);
    if (demand?.body !== body) return;
    this.waiting.take(body.requestId);
    this.metrics.count('owners_not_answering');
    this.withdraw(ownerId, body.poolId, body.requestId);
    demand.answer(fail(NOT_TAKEN));
  }

  private async askOwner(ownerId: string, body: AcquireBody): Promise<boolean> {
    if (ownerId === this.selfId) return this.host.acquire(body);
    const member = this.members().membership.get(ownerId);
    if (!member) return false;
    const answer = await this.node.request(member.peerAddress, 'permit.acquire', body, this.acquireTimeoutMs);
    this.host.noteOwner(ownerId, answer.ok);
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

  /** Requests that wait at an instance which no longer owns the pool ask again elsewhere. */
  private dropMovedDemands(): void {
    this.waiting
      .all()
      .filter((demand) => this.host.ownerOfPool(demand.body.poolId) !== demand.ownerId)
      .forEach((demand) => {
        this.waiting.take(demand.body.requestId);
        this.metrics.count('waits_moved');
        this.withdraw(demand.ownerId, demand.body.poolId, demand.body.requestId);
        demand.answer(fail(NOT_TAKEN));
      });
  }

  /** Asking twice is harmless: the owner knows the request by its id. */
  private askAgain(nowMs: number): void {
    this.waiting
      .all()
      .filter((demand) => nowMs >= demand.askAgainAtMs)
      .slice(0, MAX_ASKED_AGAIN)
      .forEach((demand) => {
        demand.askAgainAtMs = nowMs + ASK_AGAIN_MS[demand.body.workClass];
        void this.ask(demand.ownerId, demand.body);
      });
  }

  private returnUnwanted(body: GrantedBody): void {
    this.outbox.addRelease(body.poolId, { permitId: body.permitId, end: 'cancelled', tokens: 0 });
  }

  /** Releases of one turn of the event loop travel together. */
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
  useModel(model: string): void {
    this.modelUsedAtMs.set(model, this.clock.monotonicMs());
  }

  /** Asks for the loads of the own pool and of a few random others of each model in use. */
  private askForSummaries(nowMs: number): void {
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
    byOwner.forEach((poolIds, ownerId) => void this.askForLoads(ownerId, poolIds));
  }

  private sample(pools: readonly PoolDescription[]): PoolDescription[] {
    return pools
      .map((pool) => ({ pool, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .slice(0, SAMPLED_POOLS)
      .map((entry) => entry.pool);
  }

  private async askForLoads(ownerId: string, poolIds: readonly string[]): Promise<void> {
    const member = this.members().membership.get(ownerId);
    if (!member) return;
    const answer = await this.node.request(member.peerAddress, 'pool.load', { poolIds }, SUMMARY_TIMEOUT_MS);
    if (answer.ok) this.takeSummaries(answer.value.loads);
  }

  private takeSummaries(loads: readonly PoolLoad[]): void {
    const freshUntilMs = this.clock.monotonicMs() + SUMMARY_LIFETIME_MS;
    loads.forEach((load) => this.summaries.set(load.poolId, { load, freshUntilMs }));
  }

  private toBody(poolId: string, demand: PlaceDemand): AcquireBody {
    const nowUnixMs = this.clock.nowUnixMs();
    return {
      poolId,
      requestId: `${this.selfId}/${demand.requestId}/${String(this.attempts++)}`,
      holder: this.selfId,
      organisation: demand.organisation,
      workClass: demand.workClass,
      costTokens: demand.costTokens,
      startInMs: demand.startByUnixMs === undefined ? undefined : demand.startByUnixMs - nowUnixMs,
      deadlineInMs: demand.deadlineUnixMs - nowUnixMs,
      prefixDigest: demand.prefixDigest,
      excludedReplicaIds: demand.excludedReplicaIds,
      resumable: demand.resumable,
      alone: demand.alone,
    };
  }

  private attempts = 0;
}

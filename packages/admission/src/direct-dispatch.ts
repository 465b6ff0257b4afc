/** Admission without an owner: from this instance's own last view, with a conservative limit. */
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import { fail, notRun, ok } from '@fighub/core';
import type { ReleaseReport, ReplicaLoadReport } from '@fighub/decisions';
import { ReplicaHealth } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { EngineLoad, LoadReader } from '@fighub/outside';

import type { Place, PlaceDemand } from './place.js';
import type { CataloguedUpstream, PoolCatalogue } from './pool-catalogue.js';

interface ReplicaView {
  inFlight: number;
  readonly health: ReplicaHealth;
  report?: EngineLoad;
  /** Streams of other instances there, as the replica's last answer showed. */
  ofOthers?: { readonly streams: number; readonly untilMs: number };
  readAtMs: number;
}

const REPORT_LIFETIME_MS = 1_000;
const POOL_ID = 'direct';

/** Chooses by lagging load. Serves as fallback, and as the baseline strategy of experiments. */
export class DirectDispatch {
  private readonly replicas = new Map<string, ReplicaView>();
  private readonly organisationByPermit = new Map<string, string>();
  private nextPermit = 1;

  constructor(
    private readonly selfId: string,
    private readonly failureDomain: string,
    private readonly catalogue: PoolCatalogue,
    private readonly members: () => MembershipRunner,
    private readonly loads: LoadReader,
    /** The fallback leaves places to others; the baseline trusts the reports. */
    private readonly conservative: boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Takes a place at the replica that looks least loaded. */
  async acquire(demand: PlaceDemand): Promise<Outcome<Place, Problem>> {
    this.metrics.count('direct_dispatches');
    if (!this.admits(demand)) {
      return fail(notRun('limit_reached', `the limit of ${demand.organisation} is reached here`, 1_000));
    }
    const candidates = this.candidates(demand);
    await Promise.all(candidates.map((upstream) => this.refresh(upstream)));
    const chosen = this.choose(candidates);
    if (!chosen) return fail(notRun('overloaded', `no replica of ${demand.model} has a free place`, 1_000));
    this.viewOf(chosen.upstreamId).inFlight += 1;
    this.nextPermit += 1;
    const permitId = `${this.selfId}/direct/${String(this.nextPermit)}`;
    this.organisationByPermit.set(permitId, demand.organisation);
    return ok({
      permitId,
      poolId: POOL_ID,
      replicaId: chosen.upstreamId,
      address: chosen.address,
      fencingChecked: chosen.fencingChecked,
      revoked: new AbortController().signal,
    });
  }

  /** Takes a place back. False when the place is not one of ours. */
  release(place: Place, report: Omit<ReleaseReport, 'permitId'>): boolean {
    if (place.poolId !== POOL_ID) return false;
    this.organisationByPermit.delete(place.permitId);
    const view = this.viewOf(place.replicaId);
    view.inFlight -= 1;
    view.health.observe(report.end, this.clock.monotonicMs());
    return true;
  }

  /** Takes in a replica's own report. False when the place is not one of ours. */
  noteLoad(place: Place, report: ReplicaLoadReport): boolean {
    if (place.poolId !== POOL_ID) return false;
    const view = this.viewOf(place.replicaId);
    const streams = report.running + report.waiting - view.inFlight;
    view.ofOthers = { streams: Math.max(0, streams), untilMs: this.clock.monotonicMs() + REPORT_LIFETIME_MS };
    return true;
  }

  dump(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.replicas.entries()].map(([id, view]) => [id, { inFlight: view.inFlight }]),
    );
  }

  /** Without an owner an instance allows an even part of a limit in flight, and at least one stream. */
  private admits(demand: PlaceDemand): boolean {
    const limit = this.catalogue.limitsOf(demand.organisation, demand.model).maxInFlight;
    if (limit === undefined || !this.conservative) return true;
    const part = Math.max(1, Math.floor(limit / Math.max(1, this.members().owners().length)));
    const inFlight = [...this.organisationByPermit.values()].filter((name) => name === demand.organisation);
    return limit > 0 && inFlight.length < part;
  }

  private candidates(demand: PlaceDemand): CataloguedUpstream[] {
    const nowMs = this.clock.monotonicMs();
    return this.catalogue
      .pools()
      .filter((pool) => pool.model === demand.model)
      .flatMap((pool) => pool.upstreams)
      .filter((upstream) => !this.catalogue.isLeaving(upstream.upstreamId))
      .filter((upstream) => !demand.excludedReplicaIds.includes(upstream.upstreamId))
      .filter((upstream) => this.viewOf(upstream.upstreamId).health.isOpen(nowMs));
  }

  /** The least loaded replica of the own failure domain, else of the others. */
  private choose(candidates: readonly CataloguedUpstream[]): CataloguedUpstream | undefined {
    const free = candidates
      .map((upstream) => ({ upstream, load: this.loadOf(upstream) }))
      .filter(({ upstream }) => this.viewOf(upstream.upstreamId).inFlight < this.limitOf(upstream))
      .sort((a, b) => a.load - b.load)
      .map(({ upstream }) => upstream);
    const near = free.find(
      (upstream) => upstream.failureDomain === this.failureDomain && !this.isKnownFull(upstream),
    );
    return near ?? free[0];
  }

  /** The baseline stays in its failure domain whatever the load. */
  private isKnownFull(upstream: CataloguedUpstream): boolean {
    return this.conservative && this.loadOf(upstream) >= upstream.maxConcurrency;
  }

  private loadOf(upstream: CataloguedUpstream): number {
    const view = this.viewOf(upstream.upstreamId);
    const reported = (view.report?.running ?? 0) + (view.report?.waiting ?? 0);
    if (!this.conservative) return Math.max(view.inFlight, reported);
    const { ofOthers } = view;
    return view.inFlight + (ofOthers && this.clock.monotonicMs() < ofOthers.untilMs ? ofOthers.streams : 0);
  }

  private limitOf(upstream: CataloguedUpstream): number {
    if (!this.conservative) return Number.POSITIVE_INFINITY;
    const sharers = this.members()
      .owners()
      .filter((m) => m.failureDomain === this.failureDomain).length;
    return Math.max(1, Math.floor(upstream.maxConcurrency / Math.max(1, sharers)));
  }

  private async refresh(upstream: CataloguedUpstream): Promise<void> {
    const view = this.viewOf(upstream.upstreamId);
    const nowMs = this.clock.monotonicMs();
    if (this.conservative || nowMs - view.readAtMs < REPORT_LIFETIME_MS) return;
    view.readAtMs = nowMs;
    view.report = await this.loads.load(upstream.address);
  }

  private viewOf(upstreamId: string): ReplicaView {
    const known = this.replicas.get(upstreamId);
    if (known) return known;
    const created = { inFlight: 0, health: new ReplicaHealth(), readAtMs: Number.NEGATIVE_INFINITY };
    this.replicas.set(upstreamId, created);
    return created;
  }
}

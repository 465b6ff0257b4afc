/** Admission without the owner of a pool, by this instance's own view of the replicas. */
import type { Clock, DecisionLog, Metrics, Outcome, Problem } from '@fighub/core';
import { LogCategory, fail, notRun, ok } from '@fighub/core';
import type { ReleaseReport, ReplicaLoadReport } from '@fighub/decisions';
import {
  AttemptEnd,
  QuotaShares,
  ReplicaHealth,
  RequestCrashes,
  RequestRate,
  instancesSharing,
} from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { EngineLoad, LoadReader } from '@fighub/outside';

import type { Slot, SlotDemand } from './slot.js';
import type { CataloguedUpstream, PoolCatalogue } from './pool-catalogue.js';

/** What this instance knows of a replica. */
interface ReplicaView {
  /** Streams of this instance at the replica. */
  inFlight: number;
  /** Tokens that the requests of this instance there may need. */
  memoryTokens: number;
  /** When the process that `health` is about started, by its platform. */
  startedAtUnixMs?: number;
  health: ReplicaHealth;
  /** Spaces the requests of this instance while the replica states a limit. */
  readonly rate: RequestRate;
  /** The part of this instance in that limit, and what it was derived from. */
  share?: { readonly membershipVersion: number; readonly requestsPerSecond: number; readonly share: number };
  /** Result of the baseline's last read of the replica's load report; undefined when the read failed. */
  report?: EngineLoad;
  /** Streams of other instances at the replica, by the load report in its last response. Used until `untilMs`. */
  othersLoad?: { readonly streams: number; readonly untilMs: number };
  /** Time at which the baseline last started to read the load report. */
  readAtMs: number;
}

/** What ran in a slot that `DirectDispatch` granted. */
export interface DirectRun {
  readonly demand: SlotDemand;
  /** When the slot was granted, in monotonic time. */
  readonly startedAtMs: number;
}

/** A load report is used for this long after it was received or requested. */
const REPORT_LIFETIME_MS = 1_000;
/** An owner, which may grant more of a quota, is found again within about this time. */
const QUOTA_RETRY_MS = 500;
/** Pool id of the slots that `DirectDispatch` grants, which belong to no pool. */
export const DIRECT_POOL_ID = 'direct';

/**
 * Chooses replicas by load reports, which lag behind the load. It serves online requests as the fallback when no owner
 * accepts them or this instance is cut off, and as the baseline strategy of experiments.
 */
export class DirectDispatch {
  private readonly replicas = new Map<string, ReplicaView>();
  private readonly runs = new Map<string, DirectRun>();
  /** Crashes under requests of this instance, for as long as there is no owner that could relate those of all instances. */
  private readonly requestCrashes: RequestCrashes;
  private readonly quotaShares: QuotaShares;
  private domainSize?: { readonly membershipVersion: number; readonly instances: number };
  private nextPermit = 1;

  constructor(
    private readonly selfId: string,
    private readonly failureDomain: string,
    private readonly catalogue: PoolCatalogue,
    private readonly members: () => MembershipRunner,
    private readonly loads: LoadReader,
    /**
     * True for the fallback, which leaves slots for the other instances. False for the baseline, which relies on
     * the replicas' load reports.
     */
    private readonly conservative: boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    log?: DecisionLog,
  ) {
    this.quotaShares = new QuotaShares(selfId);
    this.requestCrashes = new RequestCrashes(
      catalogue.blockedPrompts,
      (finding, { partIds, replicaIds, blockCount }) => {
        metrics.count(`prompts_${finding}`);
        log?.record(LogCategory.state, `prompt_${finding}`, { partIds, replicaIds, blockCount });
      },
    );
  }

  /**
   * Acquires a slot at the usable replica that appears least loaded, in this failure domain if possible. Does not wait
   * for a slot to become free.
   */
  async acquire(demand: SlotDemand): Promise<Outcome<Slot, Problem>> {
    this.metrics.count('direct_dispatches');
    const candidates = this.candidates(demand);
    await Promise.all(candidates.map((upstream) => this.refresh(upstream)));
    // Checked without a pause before the slot is counted below, so that concurrent requests cannot exceed the limit.
    if (!this.isWithinLimit(demand)) {
      return fail(
        notRun(
          'limit_reached',
          `organisation ${demand.organisation} has reached its share of the in-flight limit at this instance`,
          1_000,
        ),
      );
    }
    const chosen = this.choose(candidates, demand);
    if (!chosen) return fail(notRun('overloaded', `no replica of ${demand.model} has a free slot`, 1_000));
    if (!this.tryTakeQuota(demand.organisation)) {
      const detail = `organisation ${demand.organisation} has used up the share of its quota at this instance`;
      return fail(notRun('limit_reached', detail, QUOTA_RETRY_MS));
    }
    const view = this.viewOf(chosen.upstreamId);
    view.inFlight += 1;
    view.memoryTokens += demand.memoryTokens ?? 0;
    view.rate.take(this.clock.monotonicMs());
    this.nextPermit += 1;
    const permitId = `${this.selfId}/direct/${String(this.nextPermit)}`;
    this.runs.set(permitId, { demand, startedAtMs: this.clock.monotonicMs() });
    return ok({
      permitId,
      poolId: DIRECT_POOL_ID,
      replicaId: chosen.upstreamId,
      address: chosen.address,
      fencingChecked: chosen.fencingChecked,
      softwareVersion: chosen.softwareVersion,
      revoked: new AbortController().signal,
    });
  }

  /** Releases a slot and returns what ran in it; undefined when the slot was granted by the owner of a pool. */
  release(slot: Slot, report: Omit<ReleaseReport, 'permitId'>): DirectRun | undefined {
    const run = this.runs.get(slot.permitId);
    if (!run) return undefined;
    this.runs.delete(slot.permitId);
    const nowMs = this.clock.monotonicMs();
    const view = this.viewOf(slot.replicaId);
    view.inFlight -= 1;
    view.memoryTokens -= run.demand.memoryTokens ?? 0;
    const { startedAtMs } = run;
    const wasReplicaBroken = view.health.wasBrokenBefore(startedAtMs);
    view.health.observe(report.end, startedAtMs, nowMs);
    const { requestDigest } = run.demand;
    if (requestDigest === undefined) return run;
    if (report.end === AttemptEnd.completed) this.requestCrashes.onCompleted(requestDigest, nowMs);
    if (report.end === AttemptEnd.broken && !wasReplicaBroken)
      this.requestCrashes.onCrash({ requestDigest, replicaId: slot.replicaId, startedAtMs }, nowMs);
    return run;
  }

  /** The demand of a slot; undefined when it was granted by the owner of a pool. */
  demandOf({ permitId }: Slot): SlotDemand | undefined {
    return this.runs.get(permitId)?.demand;
  }

  /** Records a replica's own load report. Returns false when the slot was granted by the owner of a pool. */
  recordLoad(slot: Slot, report: ReplicaLoadReport): boolean {
    if (slot.poolId !== DIRECT_POOL_ID) return false;
    const view = this.viewOf(slot.replicaId);
    const streams = report.running + report.waiting - view.inFlight;
    view.othersLoad = {
      streams: Math.max(0, streams),
      untilMs: this.clock.monotonicMs() + REPORT_LIFETIME_MS,
    };
    return true;
  }

  dump(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.replicas.entries()].map(([id, view]) => [id, { inFlight: view.inFlight }]),
    );
  }

  /**
   * Without an owner that counts the streams of all instances, each instance admits an equal share of an organisation's
   * in-flight limit, and at least one stream unless the limit is 0. The baseline does not apply the limit.
   */
  private isWithinLimit(demand: SlotDemand): boolean {
    const limit = this.catalogue.limitsOf(demand.organisation, demand.model).maxInFlight;
    if (limit === undefined || !this.conservative) return true;
    const equalShare = Math.max(1, Math.floor(limit / Math.max(1, this.members().owners().length)));
    const inFlight = [...this.runs.values()].filter((run) => run.demand.organisation === demand.organisation);
    return limit > 0 && inFlight.length < equalShare;
  }

  /** Counts an online request that this instance sends without an owner, unless the quota leaves it none. */
  private tryTakeQuota(organisation: string): boolean {
    const quota = this.catalogue.quotaOf?.(organisation);
    if (!quota) return true;
    const fleet = {
      instanceIds: this.members()
        .owners()
        .map(({ instanceId }) => instanceId),
      membershipVersion: this.members().membership.version,
    };
    return this.quotaShares.tryTake(organisation, quota, fleet, this.clock.monotonicMs());
  }

  private candidates(demand: SlotDemand): CataloguedUpstream[] {
    const nowMs = this.clock.monotonicMs();
    return this.catalogue
      .pools()
      .filter((pool) => pool.model === demand.model)
      .flatMap((pool) => pool.upstreams)
      .filter((upstream) => !this.catalogue.isLeaving(upstream.upstreamId))
      .filter((upstream) => !demand.excludedReplicaIds.includes(upstream.upstreamId))
      .filter(
        ({ softwareVersion }) =>
          demand.softwareVersion === undefined || softwareVersion === demand.softwareVersion,
      )
      .filter((upstream) => this.healthOf(upstream).isAvailable(nowMs));
  }

  /** Health of the process that an entry names, which may have started under the id of an earlier one. */
  private healthOf({ upstreamId, startedAtUnixMs }: CataloguedUpstream): ReplicaHealth {
    const view = this.viewOf(upstreamId);
    if (view.startedAtUnixMs !== startedAtUnixMs) {
      view.health = new ReplicaHealth();
      view.startedAtUnixMs = startedAtUnixMs;
    }
    return view.health;
  }

  /**
   * The least loaded replica of this failure domain that is not known to be full; otherwise the least loaded one of all
   * domains. Replicas at which this instance has used up its share of the slots or of the memory are left out.
   */
  private choose(
    candidates: readonly CataloguedUpstream[],
    demand: SlotDemand,
  ): CataloguedUpstream | undefined {
    const free = candidates
      .map((upstream) => ({ upstream, load: this.loadOf(upstream) }))
      .filter(({ upstream }) => this.viewOf(upstream.upstreamId).inFlight < this.limitOf(upstream))
      .filter(({ upstream }) => this.hasMemory(upstream, demand))
      .filter(({ upstream }) => this.allowsRequest(upstream))
      .sort((a, b) => a.load - b.load)
      .map(({ upstream }) => upstream);
    const sameDomain = free.find(
      (upstream) => upstream.failureDomain === this.failureDomain && !this.isKnownFull(upstream),
    );
    return sameDomain ?? free[0];
  }

  /**
   * Whether a replica has no free slot as far as is known. Always false for the baseline, which stays in its failure
   * domain whatever the load.
   */
  private isKnownFull(upstream: CataloguedUpstream): boolean {
    return this.conservative && this.loadOf(upstream) >= upstream.maxConcurrency;
  }

  /** Estimated number of streams at an upstream, from the streams of this instance and the last load report. */
  private loadOf(upstream: CataloguedUpstream): number {
    const view = this.viewOf(upstream.upstreamId);
    const reported = (view.report?.running ?? 0) + (view.report?.waiting ?? 0);
    if (!this.conservative) return Math.max(view.inFlight, reported);
    const { othersLoad } = view;
    return (
      view.inFlight + (othersLoad && this.clock.monotonicMs() < othersLoad.untilMs ? othersLoad.streams : 0)
    );
  }

  /**
   * Maximum number of streams of this instance at an upstream. For the fallback, the instances of this failure domain
   * share the slots equally.
   */
  private limitOf(upstream: CataloguedUpstream): number {
    if (!this.conservative) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.floor(upstream.maxConcurrency / this.instancesInDomain));
  }

  /** Whether a request fits into the part of an upstream's memory that belongs to this instance, or is the only one there. */
  private hasMemory({ upstreamId, memoryTokens }: CataloguedUpstream, demand: SlotDemand): boolean {
    const used = this.viewOf(upstreamId).memoryTokens;
    if (memoryTokens === undefined || used === 0) return true;
    return used + (demand.memoryTokens ?? 0) <= memoryTokens / this.instancesInDomain;
  }

  /** Number of instances in this failure domain, counted once for each set of members. */
  private get instancesInDomain(): number {
    const { version } = this.members().membership;
    if (this.domainSize?.membershipVersion !== version) {
      const members = this.members().owners();
      const instances = members.filter((member) => member.failureDomain === this.failureDomain).length;
      this.domainSize = { membershipVersion: version, instances: Math.max(1, instances) };
    }
    return this.domainSize.instances;
  }

  /** Whether the limit that an upstream states allows this instance a request now. */
  private allowsRequest({ upstreamId }: CataloguedUpstream): boolean {
    const { rate } = this.viewOf(upstreamId);
    const nowMs = this.clock.monotonicMs();
    const requestsPerSecond = this.catalogue.requestLimits.of(upstreamId);
    if (requestsPerSecond === undefined) {
      rate.setLimit(undefined, nowMs);
      return true;
    }
    const share = this.shareOf(upstreamId, requestsPerSecond);
    if (share === 0) return false;
    rate.setLimit(requestsPerSecond, nowMs, share);
    return rate.available(nowMs) > 0;
  }

  /** The part of this instance in the limit of an upstream, from 0 to 1. */
  private shareOf(upstreamId: string, requestsPerSecond: number): number {
    const view = this.viewOf(upstreamId);
    const membershipVersion = this.members().membership.version;
    const known = view.share;
    if (known?.membershipVersion === membershipVersion && known.requestsPerSecond === requestsPerSecond)
      return known.share;
    const instanceIds = this.members()
      .owners()
      .map(({ instanceId }) => instanceId);
    const sharing = instancesSharing(upstreamId, requestsPerSecond, instanceIds);
    const share = sharing.includes(this.selfId) ? 1 / sharing.length : 0;
    view.share = { membershipVersion, requestsPerSecond, share };
    return share;
  }

  /** Reads the load report of an upstream for the baseline, unless it was read recently. */
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
    const created = {
      inFlight: 0,
      memoryTokens: 0,
      health: new ReplicaHealth(),
      rate: new RequestRate(),
      readAtMs: Number.NEGATIVE_INFINITY,
    };
    this.replicas.set(upstreamId, created);
    return created;
  }
}

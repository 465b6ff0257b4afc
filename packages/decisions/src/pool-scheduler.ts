/** Admission to one pool: the replicas of one model in one failure domain. */
import type { EntityTable, Problem } from '@fighub/core';
import { notRun } from '@fighub/core';

import { BatchQueue } from './batch-queue.js';
import { BurstReserve } from './burst-reserve.js';
import { FairQueue } from './fair-queue.js';
import { OrganisationLimits } from './organisation-limits.js';
import { PERMIT_LIFETIME_MS, PoolPlaces } from './pool-places.js';
import type {
  OrganisationWait,
  Permit,
  PlaceRequest,
  PoolLoad,
  PoolOutput,
  PoolPolicy,
  PoolReplica,
  ReleaseReport,
  ReplicaInfo,
  ReplicaLoadReport,
} from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { PrefixIndex } from './prefix-index.js';
import { Quarantine } from './quarantine.js';
import { hasReported, pickReplica, pickVictim, rankVictims } from './replica-choice.js';

const REVOKE_GRACE_MS = 300;
/** Batch streams that cannot be stopped may hold at most this fraction of the places. */
const FIXED_BATCH_MAX_FRACTION = 0.25;
const MAX_ORGANISATION_WAITS = 16;
/** Stands for any organisation without requests in the pool. */
const NEWCOMER = '';
const MAX_ONLINE_QUEUE = 2_000;
const NO_UPSTREAM_RETRY_MS = 1_000;
const MEAN_SMOOTHING = 0.05;
const INITIAL_MEAN_STREAM_MS = 1_000;

/** Queues requests and grants permits. Pure: time is passed in, decisions go to `PoolOutput`. */
export class PoolScheduler {
  readonly prefixes = new PrefixIndex();
  private readonly online = new FairQueue<PlaceRequest>();
  private readonly batch = new BatchQueue<PlaceRequest>();
  private readonly reserve = new BurstReserve();
  private readonly limits = new OrganisationLimits();
  private readonly places = new PoolPlaces(this.limits);
  private readonly quarantine = new Quarantine();
  private meanStreamMs = INITIAL_MEAN_STREAM_MS;
  private nextPermit = 1;

  constructor(
    readonly poolId: string,
    private readonly ownerId: string,
    private policy: PoolPolicy,
    private readonly output: PoolOutput,
  ) {}

  get replicas(): EntityTable<PoolReplica> {
    return this.places.replicas;
  }

  get permits(): EntityTable<Permit> {
    return this.places.permits;
  }

  /** Replaces the policy after a change of the table. */
  setPolicy(policy: PoolPolicy): void {
    this.policy = policy;
  }

  /** Brings the replicas in line with the table and the instance list. */
  setReplicas(infos: readonly ReplicaInfo[]): void {
    this.places.setReplicas(infos);
  }

  /** Adds a request to its queue, or refuses it when its deadline cannot be met. */
  enqueue(request: PlaceRequest, nowMs: number): void {
    if (!this.hasUsableReplica(nowMs)) {
      this.output.refused(request, this.noUpstream());
      return;
    }
    if (request.alone) {
      this.quarantine.push(request);
      return;
    }
    if (request.workClass === WorkClass.batch) {
      this.batch.push(request, this.policy.weightOf(request.organisation));
      return;
    }
    this.reserve.onArrival(nowMs);
    const waitMs = this.expectedWaitMs(request.organisation, nowMs);
    if (nowMs + waitMs > (request.startByMs ?? request.deadlineMs) || this.online.size >= MAX_ONLINE_QUEUE) {
      const detail = `expected wait of ${String(Math.round(waitMs))} ms in pool ${this.poolId}`;
      this.output.refused(request, notRun('deadline_unreachable', detail, Math.max(1_000, waitMs)));
      return;
    }
    this.online.push(request, this.policy.weightOf(request.organisation));
  }

  /** Whether anything waits or runs here. */
  get busy(): boolean {
    return this.permits.size + this.online.size + this.batch.size + this.quarantine.size > 0;
  }

  /** Whether a request waits here. */
  isWaiting(requestId: string): boolean {
    return this.online.has(requestId) || this.batch.has(requestId) || this.quarantine.has(requestId);
  }

  /** The permit that a request was granted. */
  permitOf(requestId: string): Permit | undefined {
    return this.permits.all().find((permit) => permit.request.requestId === requestId);
  }

  /** Takes back a request that still waits. */
  withdraw(requestId: string): void {
    this.quarantine.remove(requestId);
    if (!this.online.remove(requestId)) this.batch.remove(requestId);
  }

  /** Ends a permit and takes in what its stream measured. */
  release(report: ReleaseReport, nowMs: number): void {
    const permit = this.places.take(report.permitId);
    if (!permit) return;
    this.quarantine.onRelease(permit.request.requestId);
    const queue = permit.request.workClass === WorkClass.online ? this.online : this.batch;
    queue.correct(permit.request.organisation, report.tokens - permit.request.costTokens);
    const replica = this.replicas.get(permit.replicaId);
    if (!replica) return;
    replica.health.observe(report.end, nowMs);
    if (report.end === 'completed') this.learn(permit, replica, report, nowMs);
  }

  /** Takes in all permits that a holder has. */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    this.places.renew(holder, permits, nowMs);
  }

  /** Instances that have permits here. */
  holders(): string[] {
    return this.places.holders();
  }

  /** Drops the waiting requests and the permits of a holder that is gone. */
  forgetHolder(holder: string): void {
    this.online.removeWhere((request) => request.holder === holder);
    this.batch.removeWhere((request) => request.holder === holder);
    this.quarantine.removeHolder(holder);
    this.places.dropHolder(holder);
  }

  /** Takes in what a replica says of itself. */
  observeLoad(report: ReplicaLoadReport, nowMs: number): void {
    this.places.observeLoad(report, nowMs);
  }

  /** Notes that a replica refuses new work. */
  markLeaving(replicaId: string): void {
    const replica = this.replicas.get(replicaId);
    if (replica) replica.leaving = true;
  }

  /** Runs one round of decisions. */
  run(nowMs: number): void {
    this.places.dropExpired(nowMs);
    this.refuseLate(nowMs);
    if (!this.hasUsableReplica(nowMs)) this.refuseAll();
    this.batch.moveOverdue(nowMs);
    this.runQuarantine(nowMs);
    this.makeRoomForUnknown(nowMs);
    this.grantOnline(nowMs);
    this.grantBatch(nowMs);
  }

  /**
   * Expected wait of a new online request of an organisation, in milliseconds. While others wait, the
   * organisation gets its share of the places: only its own queue and the weights count.
   */
  expectedWaitMs(organisation: string, nowMs: number): number {
    const places = this.places.total() - this.places.drift(nowMs);
    const onlineStreams = this.places.streamsOf(WorkClass.online);
    // Those that wait only for the next round get a free place, or that of a batch stream.
    if (onlineStreams + this.online.size + this.places.fixedBatchStreams() < places) return 0;
    const slotMs = this.meanStreamMs / Math.max(1, places);
    const weight = this.policy.weightOf(organisation);
    const share = weight / (weight + this.online.otherActiveWeight(organisation));
    if (this.online.size > 0) return ((this.online.waitingOf(organisation) + 1) * slotMs) / share;
    return Math.max(0, onlineStreams - places + 1) * slotMs;
  }

  /** Expected waits of the organisations that wait most, and of one that has nothing here yet. */
  private organisationWaits(nowMs: number): OrganisationWait[] {
    return this.online
      .depths()
      .filter((depth) => depth.waiting > 0)
      .sort((a, b) => b.waiting - a.waiting)
      .slice(0, MAX_ORGANISATION_WAITS)
      .map(({ organisation }) => ({
        organisation,
        expectedWaitMs: this.expectedWaitMs(organisation, nowMs),
      }));
  }

  /** Queue lengths and streams, for summaries and the dump. */
  load(nowMs: number): PoolLoad {
    return {
      poolId: this.poolId,
      places: this.places.total(),
      onlineStreams: this.places.streamsOf(WorkClass.online),
      batchStreams: this.places.streamsOf(WorkClass.batch),
      onlineWaiting: this.online.size,
      batchWaiting: this.batch.size + this.quarantine.size,
      newcomerWaitMs: this.expectedWaitMs(NEWCOMER, nowMs),
      organisationWaits: this.organisationWaits(nowMs),
      reservedPlaces: this.reserve.places(this.places.total(), this.policy.reserveMaxFraction, nowMs),
    };
  }

  /** Load and replicas, without the permits. */
  describe(nowMs: number): Record<string, unknown> {
    return {
      ...this.load(nowMs),
      meanStreamMs: Math.round(this.meanStreamMs),
      replicas: this.places.describe(nowMs),
    };
  }

  /** Full state for the dump. */
  dump(nowMs: number): Record<string, unknown> {
    return {
      ...this.describe(nowMs),
      onlineByOrganisation: this.online.depths(),
      quarantine: this.quarantine.dump(),
      batchByOrganisation: this.batch.depths(),
      permits: this.permits.all(),
    };
  }

  private learn(permit: Permit, replica: PoolReplica, report: ReleaseReport, nowMs: number): void {
    const streamMs = nowMs - permit.grantedAtMs;
    if (permit.request.workClass === WorkClass.online) {
      this.meanStreamMs += MEAN_SMOOTHING * (streamMs - this.meanStreamMs);
    }
    if (report.firstTokenMs === undefined || report.betweenTokensMs === undefined) return;
    const measured = { firstTokenMs: report.firstTokenMs, betweenTokensMs: report.betweenTokensMs };
    replica.limit.observe(
      measured,
      this.policy.targets,
      this.places.inFlight(replica.replicaId, nowMs),
      nowMs,
    );
  }

  /** Whether any replica may get work, now or as soon as its pause ends. */
  private hasUsableReplica(nowMs: number): boolean {
    return this.replicas
      .all()
      .some((replica) => !replica.leaving && (hasReported(replica) || replica.health.isOpen(nowMs)));
  }

  /** Requests do not wait in a pool that has lost its replicas: their holders try other pools. */
  private refuseAll(): void {
    const everyone = (): boolean => true;
    [...this.online.removeWhere(everyone), ...this.batch.removeWhere(everyone)].forEach((request) =>
      this.output.refused(request, this.noUpstream()),
    );
  }

  private noUpstream(): Problem {
    return notRun('no_upstream', `no replica of pool ${this.poolId} takes work`, NO_UPSTREAM_RETRY_MS);
  }

  /** Empties one replica for a suspect and runs it there with nothing beside it. */
  private runQuarantine(nowMs: number): void {
    const usable = this.replicas.all().filter((replica) => !replica.leaving && replica.health.isOpen(nowMs));
    const step = this.quarantine.step(usable, (id) => this.places.inFlight(id, nowMs), nowMs);
    if (!step) return;
    if (step.grant) this.grant(step.grant, step.replica, nowMs);
    else this.stopBatchAt(step.replica.replicaId, nowMs);
  }

  private stopBatchAt(replicaId: string, nowMs: number): void {
    this.permits
      .all()
      .filter((permit) => permit.replicaId === replicaId && permit.request.workClass === WorkClass.batch)
      .filter((permit) => permit.request.resumable && permit.revokedUntilMs === undefined)
      .forEach((permit) => {
        permit.revokedUntilMs = nowMs;
        this.output.revoked(permit);
      });
  }

  /** Batch streams give way to streams that were placed without this owner, which may wait in the replica. */
  private makeRoomForUnknown(nowMs: number): void {
    this.replicas
      .all()
      .filter((replica) => replica.drift.unknownStreams(nowMs) > 0)
      .forEach((replica) => {
        const excess = this.places.occupied(replica, nowMs) - replica.limit.places;
        rankVictims(this.places.permitsAt(replica.replicaId), nowMs)
          .slice(0, Math.max(0, excess))
          .forEach((permit) => this.revoke(permit, nowMs));
      });
  }

  private revoke(permit: Permit, nowMs: number): void {
    permit.revokedUntilMs = nowMs + REVOKE_GRACE_MS;
    this.output.revoked(permit);
  }

  private refuseLate(nowMs: number): void {
    this.online
      .removeWhere((request) => request.deadlineMs <= nowMs)
      .forEach((request) => {
        const problem = notRun(
          'deadline_unreachable',
          'the deadline passed in the queue',
          this.expectedWaitMs(request.organisation, nowMs),
        );
        this.output.refused(request, problem);
      });
  }

  private grantOnline(nowMs: number): void {
    const admits = (request: PlaceRequest): boolean =>
      this.limits.admits(request, this.policy.limitsOf(request.organisation), nowMs) &&
      (this.freeReplica(request, nowMs) !== undefined ||
        this.freePlaceByRevoking(request, nowMs) !== undefined);
    repeatWhile(() => {
      const request = this.online.takeNext(admits);
      if (!request) return false;
      const replica = this.freeReplica(request, nowMs) ?? this.revokeFor(request, nowMs);
      if (replica) this.grant(request, replica, nowMs);
      return true;
    });
  }

  private grantBatch(nowMs: number): void {
    if (this.online.size > 0 && this.places.free(this.quarantine.replicaId, nowMs) <= 0) return;
    repeatWhile(() => {
      const spare =
        this.places.free(this.quarantine.replicaId, nowMs) -
        this.reserve.places(this.places.total(), this.policy.reserveMaxFraction, nowMs);
      if (spare <= 0) return false;
      const request = this.batch.takeNext(
        (candidate) =>
          this.limits.admits(candidate, this.policy.limitsOf(candidate.organisation), nowMs) &&
          (candidate.resumable || this.fixedBatchFits()) &&
          this.freeReplica(candidate, nowMs) !== undefined,
      );
      const replica = request && this.freeReplica(request, nowMs);
      if (!request || !replica) return false;
      this.grant(request, replica, nowMs);
      return true;
    });
  }

  private fixedBatchFits(): boolean {
    return this.places.fixedBatchStreams() + 1 <= Math.max(1, this.places.total() * FIXED_BATCH_MAX_FRACTION);
  }

  private freeReplica(request: PlaceRequest, nowMs: number): PoolReplica | undefined {
    const open = this.replicas.all().filter((replica) => replica.replicaId !== this.quarantine.replicaId);
    return pickReplica(
      open,
      request,
      this.prefixes,
      (replica) => this.places.occupied(replica, nowMs),
      nowMs,
    );
  }

  private freePlaceByRevoking(request: PlaceRequest, nowMs: number): Permit | undefined {
    const usable = this.permits.all().filter((permit) => {
      const replica = this.replicas.get(permit.replicaId);
      return (
        replica !== undefined &&
        !replica.leaving &&
        replica.replicaId !== this.quarantine.replicaId &&
        replica.health.isOpen(nowMs)
      );
    });
    return pickVictim(usable, request, this.prefixes, nowMs);
  }

  private revokeFor(request: PlaceRequest, nowMs: number): PoolReplica | undefined {
    const victim = this.freePlaceByRevoking(request, nowMs);
    if (!victim) return undefined;
    this.revoke(victim, nowMs);
    return this.replicas.get(victim.replicaId);
  }

  private grant(request: PlaceRequest, replica: PoolReplica, nowMs: number): void {
    const permit: Permit = {
      permitId: `${this.ownerId}/${this.poolId}/${String(this.nextPermit)}`,
      request,
      replicaId: replica.replicaId,
      grantedAtMs: nowMs,
      expiresAtMs: nowMs + PERMIT_LIFETIME_MS,
    };
    this.nextPermit += 1;
    this.places.add(permit);
    this.prefixes.add(request.prefixDigest, replica.replicaId, nowMs);
    this.limits.onStart(request, this.policy.limitsOf(request.organisation), nowMs);
    this.output.granted(permit, replica);
  }
}

function repeatWhile(step: () => boolean): void {
  while (step());
}

/** Admission control of one pool: the replicas of one model in one failure domain. */
import type { EntityTable, Problem } from '@fighub/core';
import { notRun } from '@fighub/core';

import { BatchQueue } from './batch-queue.js';
import { BlockedPrompts, PROMPT_BLOCKED } from './blocked-prompts.js';
import { BatchRunEstimates } from './batch-run-estimates.js';
import { BurstReserve } from './burst-reserve.js';
import { CrashSuspicions } from './crash-suspicions.js';
import { FairQueue } from './fair-queue.js';
import { OrganisationLimits } from './organisation-limits.js';
import { PERMIT_LIFETIME_MS, PoolSlots } from './pool-slots.js';
import type {
  OrganisationWait,
  Permit,
  SlotRequest,
  PoolLoad,
  PoolOutput,
  PoolPolicy,
  PoolReplica,
  ReleaseReport,
  ReplicaCrashReport,
  ReplicaInfo,
  ReplicaLoadReport,
} from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { PrefixIndex } from './prefix-index.js';
import { Quarantine } from './quarantine.js';
import { AttemptEnd } from './replica-health.js';
import { SuspectQueue } from './suspect-queue.js';

/** The slot of a preempted stream counts as free for this long, and as occupied again if the permit is still held. */
const REVOKE_GRACE_MS = 300;
/** Batch streams that cannot be resumed, and so are never preempted, hold at most this fraction of the slots. */
const NON_RESUMABLE_BATCH_MAX_FRACTION = 0.25;
/** Number of organisations whose expected wait is listed in the load of a pool. */
const MAX_ORGANISATION_WAITS = 16;
/** Represents any organisation that has no requests in the pool; its expected wait is reported as `newcomerWaitMs`. */
const IDLE_ORGANISATION = '';
const MAX_ONLINE_QUEUE_REQUESTS = 2_000;
const NO_UPSTREAM_RETRY_MS = 1_000;
/** Weight of the newest sample in the moving average of the stream duration. */
const MEAN_STREAM_SMOOTHING_FACTOR = 0.05;
const INITIAL_MEAN_STREAM_MS = 1_000;
/** Time between two searches for batch items that cannot meet their deadline any more. */
const LATE_ITEMS_PERIOD_MS = 100;

/** Where an online request runs. */
interface Placement {
  readonly replica: PoolReplica;
  /** The batch stream that is preempted for it; undefined when the replica has a free slot. */
  readonly victim?: Permit;
}

/**
 * Queues the requests of one pool and grants permits for the slots of its replicas. It does no I/O and reads no
 * clock: callers pass the time in, as monotonic milliseconds of this process, and decisions are reported to
 * `PoolOutput`.
 */
export class PoolScheduler {
  readonly prefixes = new PrefixIndex();
  private readonly online = new FairQueue<SlotRequest>();
  private readonly batch = new BatchQueue<SlotRequest>();
  private readonly batchRuns = new BatchRunEstimates();
  private nextLateItemsMs = 0;
  private readonly reserve = new BurstReserve();
  private readonly limits = new OrganisationLimits();
  /** Replicas of the pool, and the permits for their slots. */
  private readonly places = new PoolSlots(this.limits);
  private readonly quarantine = new Quarantine();
  private readonly crashes: CrashSuspicions;
  private readonly suspects = new SuspectQueue();
  /** Version of `crashes` by which the waiting requests were last checked. */
  private checkedPromptsVersion = 0;
  private meanStreamMs = INITIAL_MEAN_STREAM_MS;
  private nextPermit = 1;

  /** `permitIdPrefix` must differ between all schedulers of a pool, so that no permit id is granted twice. */
  constructor(
    readonly poolId: string,
    private readonly permitIdPrefix: string,
    private policy: PoolPolicy,
    private readonly output: PoolOutput,
    /** The blocked prompts of this instance, which the pools that it owns share. */
    blockedPrompts: BlockedPrompts = new BlockedPrompts(),
  ) {
    this.crashes = new CrashSuspicions(blockedPrompts, (finding, prompt) =>
      this.output.promptFound(finding, prompt),
    );
  }

  get replicas(): EntityTable<PoolReplica> {
    return this.places.replicas;
  }

  get permits(): EntityTable<Permit> {
    return this.places.permits;
  }

  /** Replaces the policy with the one that is configured now. */
  setPolicy(policy: PoolPolicy): void {
    this.policy = policy;
  }

  /**
   * Adds, updates and removes replicas so that they match `infos`, the replicas that are configured or registered
   * now.
   */
  setReplicas(infos: readonly ReplicaInfo[]): void {
    this.places.setReplicas(infos);
  }

  /** Sets or removes the limit that a replica states, in requests a second from all instances. */
  setRequestLimit(replicaId: string, requestsPerSecond: number | undefined, nowMs: number): void {
    this.places.setRequestLimit(replicaId, requestsPerSecond, nowMs);
  }

  /**
   * Adds a request to its queue, or refuses it when no replica is usable. An online request is also refused when it
   * is not expected to start in time, or when the online queue is full.
   */
  enqueue(request: SlotRequest, nowMs: number): void {
    if (!this.places.hasUsableReplica(nowMs, request.softwareVersion)) {
      this.output.refused(request, this.noUpstream(request.softwareVersion));
      return;
    }
    if (this.crashes.isBlocked(request, nowMs)) {
      this.output.refused(request, PROMPT_BLOCKED);
      return;
    }
    if (request.alone) this.quarantine.push(request);
    else if (this.tryStart(request, nowMs)) this.enqueueUnsuspected(request, nowMs);
    else this.suspects.push(request);
  }

  private enqueueUnsuspected(request: SlotRequest, nowMs: number): void {
    if (request.workClass === WorkClass.batch) {
      this.batch.push(request, this.policy.weightOf(request.organisation));
      return;
    }
    this.reserve.onArrival(nowMs);
    const waitMs = this.expectedWaitOf(request, nowMs);
    if (
      nowMs + waitMs > (request.startByMs ?? request.deadlineMs) ||
      this.online.size >= MAX_ONLINE_QUEUE_REQUESTS
    ) {
      const detail = `expected wait of ${String(Math.round(waitMs))} ms in pool ${this.poolId} is too long, or the queue is full`;
      this.output.refused(request, notRun('deadline_unreachable', detail, Math.max(1_000, waitMs)));
      return;
    }
    this.online.push(request, this.policy.weightOf(request.organisation));
  }

  /** Whether the pool has a waiting request or a permit. */
  get busy(): boolean {
    return (
      this.permits.size + this.online.size + this.batch.size + this.quarantine.size + this.suspects.size > 0
    );
  }

  /** Whether the request is in one of the queues of this pool. */
  isWaiting(requestId: string): boolean {
    return (
      this.online.has(requestId) ||
      this.batch.has(requestId) ||
      this.quarantine.has(requestId) ||
      this.suspects.has(requestId)
    );
  }

  /** The permit that was granted to a request, or undefined when it has none. */
  permitOf(requestId: string): Permit | undefined {
    return this.places.permitOf(requestId);
  }

  /** Removes a waiting request from its queue; does nothing when the request is not waiting. */
  withdraw(requestId: string): void {
    this.quarantine.remove(requestId);
    this.suspects.takeWhere((request) => request.requestId === requestId);
    if (!this.online.remove(requestId)) this.batch.remove(requestId);
  }

  /** Ends a permit and records the outcome of its stream. Unknown permits, such as expired ones, are ignored. */
  release(report: ReleaseReport, nowMs: number): void {
    const permit = this.places.take(report.permitId);
    if (!permit) return;
    this.quarantine.onRelease(permit.request.requestId);
    const queue = permit.request.workClass === WorkClass.online ? this.online : this.batch;
    queue.correctCharge(permit.request.organisation, report.tokens - permit.request.costTokens);
    if (permit.request.workClass === WorkClass.batch) this.observeBatchRun(permit, report, nowMs);
    this.crashes.onEnd(
      {
        request: permit.request,
        replicaId: permit.replicaId,
        startedAtMs: permit.grantedAtMs,
        end: report.end,
        events: report.tokens,
      },
      nowMs,
    );
    this.places.observeEnd(permit.replicaId, report.end, nowMs);
    if (report.end === 'completed') this.recordMeasurements(permit, report, nowMs);
  }

  /** Records that the stream of a permit has shown that its prompt does not crash replicas. */
  observeProgress(permitId: string, nowMs: number): void {
    const permit = this.permits.get(permitId);
    if (permit) this.crashes.onProgress(permit.request, nowMs);
  }

  /** Records the crash of a replica under a request without a permit. */
  observeCrash({ replicaId, events, ranMs, ...request }: ReplicaCrashReport, nowMs: number): void {
    const startedAtMs = nowMs - ranMs;
    this.crashes.onEnd({ request, replicaId, startedAtMs, end: AttemptEnd.broken, events }, nowMs);
  }

  /** Applies a renewal by a holder, which lists all permits that it holds. See `PoolSlots.renew`. */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    this.places.renew(holder, permits, nowMs);
  }

  /** Instances that hold permits of this pool. */
  holders(): string[] {
    return this.places.holders();
  }

  /** Removes the waiting requests and the permits of a holder that has failed or departed. */
  removeHolder(holder: string): void {
    this.online.removeWhere((request) => request.holder === holder);
    this.batch.removeWhere((request) => request.holder === holder);
    this.quarantine.removeHolder(holder);
    this.suspects.takeWhere((request) => request.holder === holder);
    this.places.removeHolder(holder);
  }

  /** Records the number of streams that a replica reported with a response. */
  observeLoad(report: ReplicaLoadReport, nowMs: number): void {
    this.places.observeLoad(report, nowMs);
  }

  /**
   * Records the result of reading a replica's load: its maximum number of streams, or undefined when it could not be
   * read.
   */
  recordLoadReading(replicaId: string, maxConcurrency: number | undefined): void {
    this.places.recordLoadReading(replicaId, maxConcurrency);
  }

  /** Marks a replica as leaving: it refuses new work and is granted no more permits. */
  markLeaving(replicaId: string): void {
    this.places.markLeaving(replicaId);
  }

  /**
   * Runs one scheduling round: removes expired permits, refuses requests that cannot be served, preempts and grants.
   */
  run(nowMs: number): void {
    this.places.dropExpired(nowMs);
    this.refuseOverdue(nowMs);
    this.checkWaitingPrompts(nowMs);
    this.startSuspects(nowMs);
    if (!this.places.hasUsableReplica(nowMs)) this.refuseAll();
    this.refuseVersionsWithoutReplica(nowMs);
    this.moveLateItems(nowMs);
    this.runQuarantine(nowMs);
    this.preemptForUnknownStreams(nowMs);
    this.places.setDemand(this.batch.size > 0, this.meanStreamMs);
    this.grantOnline(nowMs);
    this.grantBatch(nowMs);
  }

  /**
   * Expected wait of a new online request of an organisation, in milliseconds. While requests wait, each
   * organisation gets freed slots in proportion to its weight, so the wait depends only on its own queue and on
   * the weights.
   */
  expectedWaitMs(organisation: string, nowMs: number): number {
    const isLimited = this.places.hasRequestLimits(nowMs);
    const usableSlots = this.places.sustained(this.meanStreamMs, nowMs) - this.places.drift(nowMs);
    const onlineStreams = this.places.streamsOf(WorkClass.online);
    // The next scheduling round gives waiting requests a free slot, or the slot of a preempted batch stream.
    const fits = onlineStreams + this.online.size + this.places.nonResumableBatchStreams() < usableSlots;
    if (fits && (!isLimited || (this.online.size === 0 && this.places.hasSlot(nowMs)))) return 0;
    const slotReleaseIntervalMs = this.meanStreamMs / Math.max(1, usableSlots);
    const weight = this.policy.weightOf(organisation);
    const share = weight / (weight + this.online.otherActiveWeight(organisation));
    // Limits let the next request start after an interval, however many streams run.
    if (this.online.size > 0 || isLimited)
      return ((this.online.waitingOf(organisation) + 1) * slotReleaseIntervalMs) / share;
    return Math.max(0, onlineStreams - usableSlots + 1) * slotReleaseIntervalMs;
  }

  private expectedWaitOf({ organisation, softwareVersion }: SlotRequest, nowMs: number): number {
    return softwareVersion === undefined
      ? this.expectedWaitMs(organisation, nowMs)
      : this.expectedWaitAtVersionMs(softwareVersion, nowMs);
  }

  /** Expected wait of a new online request that may run at one software version only. Such requests are served first. */
  private expectedWaitAtVersionMs(softwareVersion: string, nowMs: number): number {
    const waiting = this.online.boundTo(softwareVersion);
    if (waiting < this.places.freeSlotsOfVersion(softwareVersion, nowMs)) return 0;
    if (waiting < this.places.preemptibleOfVersion(softwareVersion)) return 0;
    const slots = this.places.sustained(this.meanStreamMs, nowMs, softwareVersion);
    return ((waiting + 1) * this.meanStreamMs) / Math.max(1, slots);
  }

  /** Expected waits of the organisations with the most waiting online requests, at most `MAX_ORGANISATION_WAITS`. */
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

  /** Queue lengths and numbers of streams, for the summaries sent to peers and for the dump. */
  load(nowMs: number): PoolLoad {
    return {
      poolId: this.poolId,
      places: this.places.total(nowMs),
      onlineStreams: this.places.streamsOf(WorkClass.online),
      batchStreams: this.places.streamsOf(WorkClass.batch),
      onlineWaiting: this.online.size + this.suspects.sizeOf(WorkClass.online),
      batchWaiting: this.batch.size + this.quarantine.size + this.suspects.sizeOf(WorkClass.batch),
      newcomerWaitMs: this.expectedWaitMs(IDLE_ORGANISATION, nowMs),
      organisationWaits: this.organisationWaits(nowMs),
      reservedPlaces: this.reserve.places(this.places.total(nowMs), this.policy.reserveMaxFraction, nowMs),
    };
  }

  /** Load and state of the replicas, without queues and permits. */
  describe(nowMs: number): Record<string, unknown> {
    return {
      ...this.load(nowMs),
      meanStreamMs: Math.round(this.meanStreamMs),
      replicas: this.places.describe(nowMs),
    };
  }

  /** Full state of the pool, for the dump. */
  dump(nowMs: number): Record<string, unknown> {
    return {
      ...this.describe(nowMs),
      onlineByOrganisation: this.online.depths(),
      quarantine: this.quarantine.dump(),
      prompts: { ...this.crashes.dump(nowMs), waiting: this.suspects.size },
      batchByOrganisation: this.batch.depths(),
      permits: this.permits.all(),
    };
  }

  private observeBatchRun({ request, grantedAtMs }: Permit, report: ReleaseReport, nowMs: number): void {
    this.batchRuns.observe({
      workload: request.workload ?? request.organisation,
      earlierTokens: request.receivedTokens ?? 0,
      tokens: report.tokens,
      ranMs: nowMs - grantedAtMs,
      completed: report.end === 'completed',
    });
  }

  /** Updates the mean stream duration and the replica's concurrency limit from a completed stream. */
  private recordMeasurements(permit: Permit, report: ReleaseReport, nowMs: number): void {
    const streamMs = nowMs - permit.grantedAtMs;
    if (permit.request.workClass === WorkClass.online) {
      this.meanStreamMs += MEAN_STREAM_SMOOTHING_FACTOR * (streamMs - this.meanStreamMs);
    }
    if (report.firstTokenMs === undefined || report.betweenTokensMs === undefined) return;
    const measured = { firstTokenMs: report.firstTokenMs, betweenTokensMs: report.betweenTokensMs };
    const inFlight = this.places.inFlight(permit.replicaId, nowMs);
    this.places.change(permit.replicaId, ({ limit }) =>
      limit.observe(measured, this.policy.targets, inFlight, nowMs),
    );
  }

  /**
   * Refuses all waiting online and batch requests, so that their holders try other pools. Suspects in quarantine keep
   * waiting.
   */
  private refuseAll(): void {
    const anyRequest = (): boolean => true;
    [
      ...this.online.removeWhere(anyRequest),
      ...this.batch.removeWhere(anyRequest),
      ...this.suspects.takeWhere(anyRequest),
    ].forEach((request) => this.output.refused(request, this.noUpstream()));
  }

  /** Refuses the waiting requests that are bound to a software version without a usable replica. */
  private refuseVersionsWithoutReplica(nowMs: number): void {
    const hasReplica = (version: string): boolean => this.places.hasUsableReplica(nowMs, version);
    const queued = [this.online, this.batch].flatMap((queue) =>
      queue.boundVersions
        .filter((version) => !hasReplica(version))
        .flatMap((version) => queue.removeWhere((request) => request.softwareVersion === version)),
    );
    const held = this.suspects.takeWhere(
      ({ softwareVersion }) => softwareVersion !== undefined && !hasReplica(softwareVersion),
    );
    [...queued, ...held].forEach((request) =>
      this.output.refused(request, this.noUpstream(request.softwareVersion)),
    );
  }

  private noUpstream(softwareVersion?: string): Problem {
    const ofVersion = softwareVersion === undefined ? '' : ` with software version ${softwareVersion}`;
    const detail = `no replica${ofVersion} of pool ${this.poolId} accepts work`;
    return notRun('no_upstream', detail, NO_UPSTREAM_RETRY_MS);
  }

  /**
   * Whether the request may be queued; if it, or a part of its prompt, is suspected, it is then the only one that waits or runs. An
   * online request takes the place of a batch item that still waits for a slot.
   */
  private tryStart(request: SlotRequest, nowMs: number): boolean {
    const isPending = (requestId: string): boolean =>
      this.online.has(requestId) || this.batch.has(requestId) || this.permitOf(requestId) !== undefined;
    if (this.crashes.tryStart(request, isPending, nowMs)) return true;
    if (request.workClass === WorkClass.batch) return false;
    this.crashes
      .probeIdsOf(request.sharedPartIds, nowMs)
      .map((requestId) => this.batch.remove(requestId))
      .filter((item) => item !== undefined)
      .forEach((item) => this.suspects.push(item));
    return this.crashes.tryStart(request, isPending, nowMs);
  }

  /** After a crash, refuses the waiting requests that are blocked now, and holds those that are suspected. */
  private checkWaitingPrompts(nowMs: number): void {
    if (this.crashes.version === this.checkedPromptsVersion) return;
    this.checkedPromptsVersion = this.crashes.version;
    const isAffected = (request: SlotRequest): boolean =>
      this.crashes.isBlocked(request, nowMs) || !this.tryStart(request, nowMs);
    const affected = [
      ...this.suspects.takeWhere(() => true),
      ...this.online.removeWhere(isAffected),
      ...this.batch.removeWhere(isAffected),
    ];
    affected.forEach((request) => {
      if (this.crashes.isBlocked(request, nowMs)) this.output.refused(request, PROMPT_BLOCKED);
      else this.suspects.push(request);
    });
  }

  /** Queues the held requests that may run now, and refuses those that would start too late. */
  private startSuspects(nowMs: number): void {
    if (this.suspects.size === 0) return;
    const isOverdue = ({ workClass, startByMs, deadlineMs }: SlotRequest): boolean =>
      workClass === WorkClass.online && nowMs > (startByMs ?? deadlineMs);
    this.suspects
      .takeWhere(isOverdue)
      .forEach((request) =>
        this.output.refused(
          request,
          notRun('deadline_unreachable', 'requests that may crash replicas run one at a time'),
        ),
      );
    repeatWhile(() => {
      const next = this.suspects.takeFirst((request) => this.tryStart(request, nowMs));
      if (next) this.enqueueUnsuspected(next, nowMs);
      return next !== undefined;
    });
  }

  /** Advances the quarantine: stops the batch streams at the isolated replica, or starts the suspect there. */
  private runQuarantine(nowMs: number): void {
    if (this.quarantine.size === 0 && this.quarantine.replicaId === undefined) return;
    const usable = this.replicas
      .all()
      .filter((replica) => !replica.leaving && replica.health.isAvailable(nowMs));
    const step = this.quarantine.step(usable, (id) => this.places.inFlight(id, nowMs), nowMs);
    if (!step) return;
    if (step.grant) this.grant(step.grant, step.replica, nowMs);
    else this.revokeBatchAt(step.replica.replicaId, nowMs);
  }

  /**
   * Revokes the permits of all resumable batch streams at a replica. Their slots stay occupied until they are
   * released, because the replica must be empty before the suspect starts.
   */
  private revokeBatchAt(replicaId: string, nowMs: number): void {
    this.places.rankVictimsAt(replicaId, nowMs).forEach((permit) => {
      this.places.revoke(permit, nowMs);
      this.output.revoked(permit);
    });
  }

  /**
   * Preempts batch streams at replicas whose streams, including those that run without a permit of this owner,
   * exceed the limit. Otherwise the streams without a permit might wait in the replica's own queue.
   */
  private preemptForUnknownStreams(nowMs: number): void {
    this.places.replicasWithUnknownStreams(nowMs).forEach((replica) => {
      const excess = this.places.occupied(replica, nowMs) - replica.limit.places;
      this.places
        .rankVictimsAt(replica.replicaId, nowMs)
        .slice(0, Math.max(0, excess))
        .forEach((permit) => this.revoke(permit, nowMs));
    });
  }

  private moveLateItems(nowMs: number): void {
    if (nowMs < this.nextLateItemsMs) return;
    this.nextLateItemsMs = nowMs + LATE_ITEMS_PERIOD_MS;
    this.batch.moveLate((item) => this.batchRuns.isLate(item, nowMs));
  }

  /** Preempts a stream; its slot counts as free during the grace period. */
  private revoke(permit: Permit, nowMs: number): void {
    this.places.revoke(permit, nowMs + REVOKE_GRACE_MS);
    this.output.revoked(permit);
  }

  /** Refuses waiting online requests whose deadline has passed. */
  private refuseOverdue(nowMs: number): void {
    this.online.removeOverdue(nowMs).forEach((request) => {
      const problem = notRun(
        'deadline_unreachable',
        'the deadline passed while the request waited for a slot',
        this.expectedWaitOf(request, nowMs),
      );
      this.output.refused(request, problem);
    });
  }

  /**
   * Grants online requests the free slots, and then the slots of batch streams that it preempts. Resumed streams come
   * first: new ones can run at any version, and would take the slots of the only version that a resumed one can use.
   */
  private grantOnline(nowMs: number): void {
    if (this.online.boundVersions.length > 0)
      this.grantOnlineWhere(({ softwareVersion }) => softwareVersion !== undefined, nowMs);
    this.grantOnlineWhere(() => true, nowMs);
  }

  private grantOnlineWhere(isEligible: (request: SlotRequest) => boolean, nowMs: number): void {
    repeatWhile(() => {
      if (!this.places.mayHaveSlot(nowMs)) return false;
      const taken = this.online.takeNextWith((candidate) =>
        isEligible(candidate) ? this.placementOf(candidate, nowMs) : undefined,
      );
      if (!taken) return false;
      const { request, choice } = taken;
      if (choice.victim) this.revoke(choice.victim, nowMs);
      this.grant(request, choice.replica, nowMs);
      return true;
    });
  }

  /** The free replica for an online request, or the batch stream to preempt for it and its replica. */
  private placementOf(request: SlotRequest, nowMs: number): Placement | undefined {
    if (!this.limits.admits(request, this.policy.limitsOf(request.organisation), nowMs)) return undefined;
    const replica = this.pickFreeReplica(request, nowMs);
    if (replica) return { replica };
    const victim = this.places.pickVictim(request, this.prefixes, this.quarantine.replicaId, nowMs);
    const occupied = victim && this.replicas.get(victim.replicaId);
    return occupied && { replica: occupied, victim };
  }

  /**
   * Grants batch requests the free slots beyond the burst reserve. It grants none while online requests wait and
   * no slot is free.
   */
  private grantBatch(nowMs: number): void {
    if (this.online.size > 0 && this.places.freeSlots(this.quarantine.replicaId, nowMs) <= 0) return;
    repeatWhile(() => {
      const spareSlots =
        this.places.freeSlots(this.quarantine.replicaId, nowMs) -
        this.reserve.places(this.places.total(nowMs), this.policy.reserveMaxFraction, nowMs);
      const hasSpareSlot = spareSlots > 0;
      if (!hasSpareSlot && !this.places.hasLimitedForBatch(nowMs)) return false;
      const taken = this.batch.takeNextWith((candidate) =>
        this.batchPlacementOf(candidate, hasSpareSlot, nowMs),
      );
      if (!taken) return false;
      this.grant(taken.request, taken.choice, nowMs);
      return true;
    });
  }

  private batchPlacementOf(
    request: SlotRequest,
    hasSpareSlot: boolean,
    nowMs: number,
  ): PoolReplica | undefined {
    if (!this.limits.admits(request, this.policy.limitsOf(request.organisation), nowMs)) return undefined;
    if (!request.resumable && !this.nonResumableBatchFits(nowMs)) return undefined;
    return this.pickFreeReplica(request, nowMs, !hasSpareSlot);
  }

  private nonResumableBatchFits(nowMs: number): boolean {
    return (
      this.places.nonResumableBatchStreams() + 1 <=
      Math.max(1, this.places.total(nowMs) * NON_RESUMABLE_BATCH_MAX_FRACTION)
    );
  }

  private pickFreeReplica(request: SlotRequest, nowMs: number, onlyLimited = false): PoolReplica | undefined {
    const { replicaId } = this.quarantine;
    return this.places.pickFreeReplica(request, this.prefixes, replicaId, nowMs, onlyLimited);
  }

  private grant(request: SlotRequest, replica: PoolReplica, nowMs: number): void {
    const permit: Permit = {
      permitId: `${this.permitIdPrefix}/${this.poolId}/${String(this.nextPermit)}`,
      request,
      replicaId: replica.replicaId,
      grantedAtMs: nowMs,
      reportsProgress: this.crashes.isProbe(request, nowMs),
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

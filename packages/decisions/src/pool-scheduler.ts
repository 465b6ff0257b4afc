/** Admission control of one pool: the replicas of one model in one failure domain. */
import type { EntityTable, Problem } from '@fighub/core';
import { notRun } from '@fighub/core';

import { BlockedPrompts, PROMPT_BLOCKED } from './blocked-prompts.js';
import { BatchRunEstimates } from './batch-run-estimates.js';
import { BurstReserve } from './burst-reserve.js';
import type { EndedAttempt } from './crash-suspicions.js';
import { CrashSuspicions } from './crash-suspicions.js';
import { ExpectedWaits } from './expected-waits.js';
import { OrganisationLimits } from './organisation-limits.js';
import { OrganisationQuotas } from './organisation-quotas.js';
import { PoolSlots } from './pool-slots.js';
import type {
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
import { AttemptEnd } from './replica-health.js';
import { SlotGranter } from './slot-granter.js';
import { SuspectGate } from './suspect-gate.js';
import { WaitingRequests } from './waiting-requests.js';

/** Streams with fewer events say little about the speed of their replica. */
const MIN_SPEED_SAMPLE_EVENTS = 8;
const NO_SPARE_SLOT = notRun('overloaded', 'no slot is to spare for a copy of the request');
/** Represents any organisation that has no requests in the pool; its expected wait is reported as `newcomerWaitMs`. */
const IDLE_ORGANISATION = '';
const MAX_ONLINE_QUEUE_REQUESTS = 2_000;
const NO_UPSTREAM_RETRY_MS = 1_000;
/** Time between two searches for batch items that cannot meet their deadline any more. */
const LATE_ITEMS_PERIOD_MS = 100;

/**
 * Queues the requests of one pool and grants permits for the slots of its replicas. It does no I/O and reads no
 * clock: callers pass the time in, as monotonic milliseconds of this process, and decisions are reported to
 * `PoolOutput`.
 */
export class PoolScheduler {
  readonly prefixes = new PrefixIndex();
  private readonly waiting = new WaitingRequests();
  private readonly batchRuns = new BatchRunEstimates();
  private nextLateItemsMs = 0;
  private readonly reserve = new BurstReserve();
  private readonly limits = new OrganisationLimits();
  private readonly quotas = new OrganisationQuotas();
  /** Replicas of the pool, and the permits for their slots. */
  private readonly places = new PoolSlots(this.limits);
  private readonly waits: ExpectedWaits;
  private readonly crashes: CrashSuspicions;
  private readonly gate: SuspectGate;
  private readonly granter: SlotGranter;

  /** `permitIdPrefix` must differ between all schedulers of a pool, so that no permit id is granted twice. */
  constructor(
    readonly poolId: string,
    permitIdPrefix: string,
    private policy: PoolPolicy,
    private readonly output: PoolOutput,
    /** The blocked prompts of this instance, which the pools that it owns share. */
    blockedPrompts: BlockedPrompts = new BlockedPrompts(),
  ) {
    this.crashes = new CrashSuspicions(blockedPrompts, (finding, prompt) =>
      this.output.promptFound(finding, prompt),
    );
    this.gate = new SuspectGate(
      this.crashes,
      this.waiting,
      (requestId) => this.permitOf(requestId) !== undefined,
      (request, problem) => this.output.refused(request, problem),
    );
    this.waits = new ExpectedWaits(this.places, this.waiting.online, (organisation) =>
      this.policy.weightOf(organisation),
    );
    this.granter = new SlotGranter({
      slots: this.places,
      waiting: this.waiting,
      limits: this.limits,
      quotas: this.quotas,
      reserve: this.reserve,
      prefixes: this.prefixes,
      crashes: this.crashes,
      output,
      policy: () => this.policy,
      permitIdPrefix: `${permitIdPrefix}/${poolId}`,
    });
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
    if (request.isCopy) {
      if (!this.gate.tryStart(request, nowMs) || !this.granter.tryGrantCopy(request, nowMs))
        this.output.refused(request, NO_SPARE_SLOT);
      return;
    }
    if (request.alone) this.waiting.quarantine.push(request);
    else if (this.gate.tryStart(request, nowMs)) this.enqueueUnsuspected(request, nowMs);
    else this.waiting.suspects.push(request);
  }

  private enqueueUnsuspected(request: SlotRequest, nowMs: number): void {
    if (request.workClass === WorkClass.batch) {
      this.waiting.batch.push(request, this.policy.weightOf(request.organisation));
      return;
    }
    const quotaWaitMs = this.quotaWaitMs(request.organisation, nowMs);
    if (quotaWaitMs > 0) {
      const detail = `organisation ${request.organisation} has used up its quota of requests`;
      this.output.refused(request, notRun('limit_reached', detail, quotaWaitMs));
      return;
    }
    this.reserve.onArrival(nowMs);
    const waitMs = this.waits.ofRequest(request, nowMs);
    if (
      nowMs + waitMs > (request.startByMs ?? request.deadlineMs) ||
      this.waiting.online.size >= MAX_ONLINE_QUEUE_REQUESTS
    ) {
      const detail = `expected wait of ${String(Math.round(waitMs))} ms in pool ${this.poolId} is too long, or the queue is full`;
      this.output.refused(request, notRun('deadline_unreachable', detail, Math.max(1_000, waitMs)));
      return;
    }
    this.waiting.online.push(request, this.policy.weightOf(request.organisation));
  }

  private quotaWaitMs(organisation: string, nowMs: number): number {
    const quota = this.policy.quotaOf?.(organisation);
    return this.quotas.waitMs(organisation, quota, this.waiting.online.waitingOf(organisation), nowMs);
  }

  /** Whether the pool has a waiting request or a permit. */
  get busy(): boolean {
    return this.permits.size + this.waiting.size > 0;
  }

  /** Whether the request is in one of the queues of this pool. */
  isWaiting(requestId: string): boolean {
    return this.waiting.has(requestId);
  }

  /** The permit that was granted to a request, or undefined when it has none. */
  permitOf(requestId: string): Permit | undefined {
    return this.places.permitTable.ofRequest(requestId);
  }

  /** Removes a waiting request from its queue; does nothing when the request is not waiting. */
  withdraw(requestId: string): void {
    this.waiting.withdraw(requestId);
  }

  /** Ends a permit and records the outcome of its stream. Unknown permits, such as expired ones, are ignored. */
  release(report: ReleaseReport, nowMs: number): void {
    const permit = this.places.permitTable.take(report.permitId);
    if (!permit) return;
    this.waiting.quarantine.onRelease(permit.request.requestId);
    this.waiting.correctCharge(permit.request, report.tokens);
    if (permit.request.workClass === WorkClass.batch) this.observeBatchRun(permit, report, nowMs);
    const { request, replicaId, grantedAtMs } = permit;
    this.judgeEnd(
      { request, replicaId, startedAtMs: grantedAtMs, end: report.end, events: report.tokens },
      nowMs,
    );
    this.places.observeEnd(replicaId, report.end, grantedAtMs, nowMs);
    if (report.betweenTokensMs !== undefined && report.tokens >= MIN_SPEED_SAMPLE_EVENTS)
      this.places.observeSpeed(permit.replicaId, report.betweenTokensMs, nowMs);
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
    this.judgeEnd({ request, replicaId, startedAtMs, end: AttemptEnd.broken, events }, nowMs);
  }

  /** Applies a renewal by a holder, which lists all permits that it holds. See `PermitTable.renew`. */
  renew(holder: string, permits: readonly Permit[], nowMs: number): void {
    this.places.permitTable.renew(holder, permits, nowMs);
  }

  /** Instances that hold permits of this pool. */
  holders(): string[] {
    return this.places.permitTable.holders();
  }

  /** Removes the waiting requests and the permits of a holder that has failed or departed. */
  removeHolder(holder: string): void {
    this.waiting.removeHolder(holder);
    this.places.permitTable.removeHolder(holder);
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
    this.quotas.start(nowMs);
    this.places.permitTable.dropExpired(nowMs);
    this.refuseOverdue(nowMs);
    this.gate.checkWaiting(nowMs);
    this.startSuspects(nowMs);
    if (!this.places.hasUsableReplica(nowMs)) this.refuseAll();
    this.refuseVersionsWithoutReplica(nowMs);
    this.moveLateItems(nowMs);
    this.granter.runQuarantine(nowMs);
    this.granter.preemptForUnknownStreams(nowMs);
    this.places.setDemand(this.waiting.batch.size > 0, this.waits.meanStreamMs);
    this.granter.grantOnline(nowMs);
    this.granter.grantBatch(nowMs);
  }

  /** Expected wait of a new online request of an organisation, in milliseconds. */
  expectedWaitMs(organisation: string, nowMs: number): number {
    return this.waits.ofOrganisation(organisation, nowMs);
  }

  /** Queue lengths and numbers of streams, for the summaries sent to peers and for the dump. */
  load(nowMs: number): PoolLoad {
    return {
      poolId: this.poolId,
      places: this.places.total(nowMs),
      onlineStreams: this.places.permitTable.streamsOf(WorkClass.online),
      batchStreams: this.places.permitTable.streamsOf(WorkClass.batch),
      onlineWaiting: this.waiting.sizeOf(WorkClass.online),
      batchWaiting: this.waiting.sizeOf(WorkClass.batch),
      newcomerWaitMs: this.expectedWaitMs(IDLE_ORGANISATION, nowMs),
      organisationWaits: this.waits.longest(nowMs),
      reservedPlaces: this.reserve.places(this.places.total(nowMs), this.policy.reserveMaxFraction, nowMs),
    };
  }

  /** Load and state of the replicas, without queues and permits. */
  describe(nowMs: number): Record<string, unknown> {
    return {
      ...this.load(nowMs),
      meanStreamMs: Math.round(this.waits.meanStreamMs),
      replicas: this.places.describe(nowMs),
    };
  }

  /** Full state of the pool, for the dump. */
  dump(nowMs: number): Record<string, unknown> {
    return {
      ...this.describe(nowMs),
      onlineByOrganisation: this.waiting.online.depths(),
      quarantine: this.waiting.quarantine.dump(),
      prompts: { ...this.crashes.dump(nowMs), waiting: this.waiting.suspects.size },
      batchByOrganisation: this.waiting.batch.depths(),
      permits: this.permits.all(),
    };
  }

  private judgeEnd(attempt: Omit<EndedAttempt, 'wasReplicaBroken'>, nowMs: number): void {
    const health = this.replicas.get(attempt.replicaId)?.health;
    const wasReplicaBroken = health?.wasBrokenBefore(attempt.startedAtMs) ?? false;
    this.crashes.onEnd({ ...attempt, wasReplicaBroken }, nowMs);
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
      this.waits.observeStream(streamMs);
    }
    if (report.firstTokenMs === undefined || report.betweenTokensMs === undefined) return;
    const measured = { firstTokenMs: report.firstTokenMs, betweenTokensMs: report.betweenTokensMs };
    const inFlight = this.places.permitTable.inFlight(permit.replicaId, nowMs);
    this.places.change(permit.replicaId, ({ limit }) =>
      limit.observe(measured, this.policy.targets, inFlight, nowMs),
    );
  }

  /**
   * Refuses all waiting online and batch requests, so that their holders try other pools. Suspects in quarantine keep
   * waiting.
   */
  private refuseAll(): void {
    this.waiting.takeWhere(() => true).forEach((request) => this.output.refused(request, this.noUpstream()));
  }

  /** Refuses the waiting requests that are bound to a software version without a usable replica. */
  private refuseVersionsWithoutReplica(nowMs: number): void {
    const hasReplica = (version: string): boolean => this.places.hasUsableReplica(nowMs, version);
    this.waiting
      .takeUnservable(hasReplica)
      .forEach((request) => this.output.refused(request, this.noUpstream(request.softwareVersion)));
  }

  private noUpstream(softwareVersion?: string): Problem {
    const ofVersion = softwareVersion === undefined ? '' : ` with software version ${softwareVersion}`;
    const detail = `no replica${ofVersion} of pool ${this.poolId} accepts work`;
    return notRun('no_upstream', detail, NO_UPSTREAM_RETRY_MS);
  }

  /** Queues the held requests that may run now. */
  private startSuspects(nowMs: number): void {
    repeatWhile(() => {
      const next = this.gate.takeNext(nowMs);
      if (next) this.enqueueUnsuspected(next, nowMs);
      return next !== undefined;
    });
  }

  private moveLateItems(nowMs: number): void {
    if (nowMs < this.nextLateItemsMs) return;
    this.nextLateItemsMs = nowMs + LATE_ITEMS_PERIOD_MS;
    this.waiting.batch.moveLate((item) => this.batchRuns.isLate(item, nowMs));
  }

  /** Refuses waiting online requests whose deadline has passed. */
  private refuseOverdue(nowMs: number): void {
    this.waiting.online.removeOverdue(nowMs).forEach((request) => {
      const problem = notRun(
        'deadline_unreachable',
        'the deadline passed while the request waited for a slot',
        this.waits.ofRequest(request, nowMs),
      );
      this.output.refused(request, problem);
    });
  }
}

function repeatWhile(step: () => boolean): void {
  while (step());
}

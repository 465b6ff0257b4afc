/** The owner's side of admission: runs the schedulers of the pools that this instance owns. */
import type { Clock, DecisionLog, Metrics, Problem, System } from '@fighub/core';
import { EntityTable, LogCategory } from '@fighub/core';
import type {
  Permit,
  SlotRequest,
  PoolLoad,
  PoolOutput,
  PoolPolicy,
  PoolReplica,
  RequestLimitReport,
  RequestLimits,
} from '@fighub/decisions';
import {
  AttemptEnd,
  DisconnectedHolders,
  MemberState,
  PoolScheduler,
  PromptFinding,
  ownerOf,
} from '@fighub/decisions';
import type {
  AcquireBody,
  GrantedBody,
  MembershipRunner,
  PeerNode,
  PermitReleaseBody,
  PermitRenewBody,
} from '@fighub/peers';
import type { LoadReader } from '@fighub/outside';

import { OwnerFailureDetector } from './owner-failure-detector.js';
import type { PoolCatalogue, PoolDescription } from './pool-catalogue.js';
import type { UpstreamStates } from './upstream-states.js';

/** Receives the decisions about requests that come from this instance itself. */
export interface LocalHolder {
  granted(body: GrantedBody): void;
  refused(requestId: string, problem: Problem): void;
  revoked(permitId: string): void;
}

/** The state of a pool that refuses requests is logged at most once in this period, over all pools. */
const REFUSAL_LOG_PERIOD_MS = 1_000;
/** Period of the rounds in which the load reports of replicas are read. */
const LOAD_READ_PERIOD_MS = 1_000;
/** The load reports of pools without permits are read only once in this many rounds. */
const IDLE_POOL_LOAD_READ_ROUNDS = 3;
/** Schedulers are matched with the configured pools and the members at least this often. */
const SYNC_PERIOD_MS = 200;

/**
 * Runs the schedulers of the pools that this instance owns, once in each tick, and handles the messages of permit
 * holders.
 */
export class PoolHost implements System {
  readonly name = 'pool host';
  private readonly pools = new EntityTable<PoolScheduler>();
  /** Owners by pool, as of `ownersVersion`. */
  private readonly owners = new Map<string, string | undefined>();
  private ownersVersion = -1;
  private readonly ownerFailureDetector: OwnerFailureDetector;
  /** Time of the revocation of permits that are not released yet, by permit id. */
  private readonly revokedAtMs = new Map<string, number>();
  private readonly disconnectedHolders = new DisconnectedHolders();
  private localHolder: LocalHolder | undefined;
  private nextLoadReadMs = 0;
  private nextRefusalLogMs = 0;
  private loadReadRound = 0;
  private schedulersCreated = 0;
  private nextSyncMs = 0;
  private syncedOwnershipVersion = -1;
  private syncedCatalogueVersion: unknown;
  private wake: () => void = () => undefined;
  private observed: () => void = () => undefined;

  constructor(
    private readonly selfId: string,
    private readonly catalogue: PoolCatalogue,
    private readonly upstreams: UpstreamStates,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    /**
     * Reads the load reports of replicas. When it is undefined, the pools rely on their permits and on the loads that
     * replicas report with their responses.
     */
    private readonly loadReader: LoadReader | undefined,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log?: DecisionLog,
  ) {
    this.ownerFailureDetector = new OwnerFailureDetector(selfId, members, node, clock, log, () =>
      this.wake(),
    );
    node.onRequest('permit.acquire', (body) => ({ accepted: this.acquire(body) }));
    node.onRequest('pool.load', (body) => ({ loads: this.loadsOf(body.poolIds) }));
    node.onInboundClosed((instanceId) =>
      this.disconnectedHolders.onClosed(instanceId, this.clock.monotonicMs()),
    );
    node.onNotice('permit.withdraw', (body) => this.withdraw(body.poolId, body.requestId));
    node.onNotice('permit.release', (body) => this.release(body));
    node.onNotice('permit.progress', (body) => this.observeProgress(body.poolId, body.permitId));
    node.onRequest('permit.renew', (body) => {
      this.renew(body);
      return {};
    });
  }

  /** Sets the holder in this instance, and the function that makes the next tick run at once. */
  connect(holder: LocalHolder, wake: () => void): void {
    this.localHolder = holder;
    this.wake = wake;
  }

  /** Sets the function that is called when a pool of this instance has observed what other instances must know. */
  onObserved(listener: () => void): void {
    this.observed = listener;
  }

  /** The limits that replicas state, as far as this instance knows. */
  get requestLimits(): RequestLimits {
    return this.catalogue.requestLimits;
  }

  /** All configured pools, whoever owns them. */
  describePools(): readonly PoolDescription[] {
    return this.catalogue.pools();
  }

  /** Changes whenever the owners of pools may have changed. */
  get ownershipVersion(): number {
    return this.ownerFailureDetector.version;
  }

  /** Id of the instance that owns a pool, among the members that are not suspected; undefined when there is none. */
  ownerOfPool(poolId: string): string | undefined {
    const version = this.ownershipVersion;
    if (version !== this.ownersVersion) {
      this.ownersVersion = version;
      this.owners.clear();
    }
    if (!this.owners.has(poolId)) {
      const failureDomain = poolId.slice(poolId.lastIndexOf('@') + 1);
      this.owners.set(poolId, ownerOf(poolId, failureDomain, this.ownerFailureDetector.answeringMembers()));
    }
    return this.owners.get(poolId);
  }

  /** Records whether an owner responded to a request for a slot. */
  recordOwnerResponse(instanceId: string, answered: boolean): void {
    this.ownerFailureDetector.recordResponse(instanceId, answered);
  }

  /** Queues a request for a slot. Returns false when this instance does not own the pool. */
  acquire(body: AcquireBody): boolean {
    this.syncPoolsIfDue(this.clock.monotonicMs());
    const pool = this.pools.get(body.poolId);
    if (!pool) return false;
    const nowMs = this.clock.monotonicMs();
    const granted = pool.permitOf(body.requestId);
    // A holder that sends its request again has not received the grant.
    if (granted) this.resendGrant(body.poolId, granted);
    else if (!pool.isWaiting(body.requestId)) pool.enqueue(this.toSlotRequest(body, nowMs), nowMs);
    this.wake();
    return true;
  }

  /** Removes a request that its holder no longer waits for. */
  withdraw(poolId: string, requestId: string): void {
    this.pools.get(poolId)?.withdraw(requestId);
  }

  /** Applies the release and load reports of a holder. */
  release({ poolId, reports, loads, crashes, limits }: PermitReleaseBody): void {
    const pool = this.pools.get(poolId);
    const nowMs = this.clock.monotonicMs();
    // Applied first, since a limit is compared with the time at which its permit was granted.
    if (pool) limits?.forEach((report) => this.observeLimit(pool, report, nowMs));
    reports.forEach((report) => {
      const permit = pool?.permits.get(report.permitId);
      pool?.release(report, nowMs);
      if (pool && permit) this.logPause(pool, permit, report.end, nowMs);
      this.sampleSlotFreedTime(report.permitId);
    });
    loads.forEach((report) => pool?.observeLoad(report, nowMs));
    crashes?.forEach((report) => pool?.observeCrash(report, nowMs));
    this.wake();
  }

  /** Logs on whose report a replica gets no work for a while. */
  private logPause(
    pool: PoolScheduler,
    { replicaId, request }: Permit,
    end: AttemptEnd,
    nowMs: number,
  ): void {
    const pausedForMs = pool.replicas.get(replicaId)?.health.pausedForMs(nowMs) ?? 0;
    if (pausedForMs === 0 || end === AttemptEnd.cancelled) return;
    this.metrics.count('replica_pauses', 1, [end]);
    this.log?.record(LogCategory.failure, 'replica_paused', {
      poolId: pool.poolId,
      replicaId,
      holder: request.holder,
      end,
      forMs: Math.round(pausedForMs),
    });
  }

  private observeLimit(
    pool: PoolScheduler,
    { replicaId, permitId, requestsPerSecond }: RequestLimitReport,
    nowMs: number,
  ): void {
    const { requestLimits } = this.catalogue;
    const grantedAtMs = pool.permits.get(permitId)?.grantedAtMs ?? nowMs;
    requestLimits.observe(replicaId, requestsPerSecond, grantedAtMs, nowMs);
    pool.setRequestLimit(replicaId, requestLimits.of(replicaId), nowMs);
    this.observed();
  }

  /** Records that the stream of a permit has shown that its prompt does not crash replicas. */
  observeProgress(poolId: string, permitId: string): void {
    this.pools.get(poolId)?.observeProgress(permitId, this.clock.monotonicMs());
    this.wake();
  }

  /**
   * Samples the time from the revocation of a permit to its release. In most cases this is the time from the arrival of
   * an online request to the end of the batch stream that is preempted for it.
   */
  private sampleSlotFreedTime(permitId: string): void {
    const revokedAtMs = this.revokedAtMs.get(permitId);
    if (revokedAtMs === undefined) return;
    this.revokedAtMs.delete(permitId);
    this.metrics.sample('place_freed_ms', this.clock.monotonicMs() - revokedAtMs);
  }

  /**
   * Extends the permits that a holder lists for a pool and records those that are unknown here. Permits of the holder
   * that it does not list are dropped, unless they were granted so recently that the renewal may have been sent before
   * the grant arrived.
   */
  renew({ poolId, holder, permits }: PermitRenewBody): void {
    const nowMs = this.clock.monotonicMs();
    this.disconnectedHolders.onRenewed(holder);
    this.pools.get(poolId)?.renew(
      holder,
      permits.map((held) => ({
        permitId: held.permitId,
        request: this.toSlotRequest(held.request, nowMs),
        replicaId: held.replicaId,
        grantedAtMs: nowMs,
        expiresAtMs: nowMs,
      })),
      nowMs,
    );
  }

  get busy(): boolean {
    return this.pools.all().some((pool) => pool.busy);
  }

  run(nowMs: number): void {
    this.ownerFailureDetector.run(nowMs);
    this.syncPoolsIfDue(nowMs);
    const disconnected = this.disconnectedHolders.takeExpired(nowMs);
    this.pools.all().forEach((pool) => {
      this.removeDisconnectedHolders(pool, disconnected);
      pool.run(nowMs);
    });
    if (this.loadReader && nowMs >= this.nextLoadReadMs) this.readLoads(nowMs);
  }

  private loadsOf(poolIds: readonly string[]): PoolLoad[] {
    const nowMs = this.clock.monotonicMs();
    return poolIds.flatMap((poolId) => {
      const pool = this.pools.get(poolId);
      return pool ? [pool.load(nowMs)] : [];
    });
  }

  /** Loads of the pools that this instance owns. */
  loads(): PoolLoad[] {
    const nowMs = this.clock.monotonicMs();
    return this.pools.all().map((pool) => pool.load(nowMs));
  }

  dump(): Record<string, unknown>[] {
    const nowMs = this.clock.monotonicMs();
    return this.pools.all().map((pool) => pool.dump(nowMs));
  }

  private syncPoolsIfDue(nowMs: number): void {
    const version = this.ownershipVersion;
    const unchanged =
      version === this.syncedOwnershipVersion && this.catalogue.version === this.syncedCatalogueVersion;
    if (unchanged && nowMs < this.nextSyncMs) return;
    this.syncedOwnershipVersion = version;
    this.syncedCatalogueVersion = this.catalogue.version;
    this.nextSyncMs = nowMs + SYNC_PERIOD_MS;
    this.syncPools();
  }

  /**
   * Creates, updates and drops schedulers to match ownership and the configured pools, and removes holders that are
   * dead. A holder that is leaving still runs its streams.
   */
  private syncPools(): void {
    const owned = this.describePools().filter((pool) => this.ownerOfPool(pool.poolId) === this.selfId);
    const ownedIds = new Set(owned.map((pool) => pool.poolId));
    this.pools
      .ids()
      .filter((poolId) => !ownedIds.has(poolId))
      .forEach((poolId) => this.pools.take(poolId));
    owned.forEach((description) => this.syncPool(description));
    this.pools.all().forEach((pool) => this.removeDeadHolders(pool));
  }

  private removeDisconnectedHolders(pool: PoolScheduler, disconnected: readonly string[]): void {
    if (disconnected.length === 0) return;
    const holders = new Set(pool.holders());
    disconnected
      .filter((holder) => holders.has(holder))
      .forEach((holder) => {
        this.metrics.count('permit_holders_lost');
        this.log?.record(LogCategory.state, 'permit_holder_lost', { holder, poolId: pool.poolId });
        pool.removeHolder(holder);
      });
  }

  private removeDeadHolders(pool: PoolScheduler): void {
    const { membership } = this.members();
    pool
      .holders()
      .filter((holder) => membership.get(holder)?.state === MemberState.dead)
      .forEach((holder) => pool.removeHolder(holder));
  }

  private syncPool(description: PoolDescription): void {
    const policy = this.catalogue.policyOf(description);
    const known = this.pools.get(description.poolId);
    const pool = known ?? this.newScheduler(description, policy);
    if (!known) this.pools.set(description.poolId, pool);
    pool.setPolicy(policy);
    pool.setReplicas(
      description.upstreams.map((upstream) => ({
        replicaId: upstream.upstreamId,
        address: upstream.address,
        maxConcurrency: upstream.maxConcurrency,
        failureDomain: upstream.failureDomain,
        softwareVersion: upstream.softwareVersion,
        memoryTokens: upstream.memoryTokens,
        startedAtUnixMs: upstream.startedAtUnixMs,
        leaving: this.catalogue.isLeaving(upstream.upstreamId),
      })),
    );
    const nowMs = this.clock.monotonicMs();
    const { requestLimits } = this.catalogue;
    description.upstreams.forEach(({ upstreamId }) =>
      pool.setRequestLimit(upstreamId, requestLimits.of(upstreamId), nowMs),
    );
  }

  /** Pools of a model in which an organisation may have streams. */
  poolsOpenTo(organisation: string, model: string): readonly PoolDescription[] {
    return this.catalogue.poolsOpenTo(organisation, model);
  }

  /**
   * Creates a scheduler. Its number is part of the permit ids, so that no id is reused: holders may still renew permits
   * of a scheduler that was dropped.
   */
  private newScheduler(description: PoolDescription, policy: PoolPolicy): PoolScheduler {
    this.schedulersCreated += 1;
    const permitIdPrefix = `${this.selfId}/${String(this.schedulersCreated)}`;
    const output = this.outputOf(description);
    const { blockedPrompts } = this.catalogue;
    return new PoolScheduler(description.poolId, permitIdPrefix, policy, output, blockedPrompts);
  }

  private outputOf(description: PoolDescription): PoolOutput {
    return {
      granted: (permit, replica) => this.sendGrant(description, permit, replica),
      refused: (request, problem) => {
        this.sendRefusal(request, problem);
        this.logRefusalCause(description.poolId);
      },
      revoked: (permit) => this.sendRevocation(permit),
      promptFound: (finding, { untilMs, ...prompt }) => {
        this.metrics.count(`prompts_${finding}`);
        this.log?.record(LogCategory.state, `prompt_${finding}`, {
          poolId: description.poolId,
          ...prompt,
          forMs: untilMs === undefined ? undefined : Math.round(untilMs - this.clock.monotonicMs()),
        });
        if (finding === PromptFinding.blocked) this.observed();
      },
    };
  }

  private sendGrant(description: PoolDescription, permit: Permit, replica: PoolReplica): void {
    this.metrics.count(`permits_granted_${permit.request.workClass}`);
    const body: GrantedBody = {
      requestId: permit.request.requestId,
      permitId: permit.permitId,
      poolId: description.poolId,
      replicaId: replica.replicaId,
      address: replica.address,
      fencingChecked:
        description.upstreams.find((u) => u.upstreamId === replica.replicaId)?.fencingChecked ?? false,
      softwareVersion: replica.softwareVersion,
      ...(permit.reportsProgress ? { reportsProgress: true } : {}),
    };
    this.sendToHolder(
      permit.request.holder,
      (holder) => holder.granted(body),
      (address) => this.node.notify(address, 'permit.granted', body),
    );
  }

  private resendGrant(poolId: string, permit: Permit): void {
    const description = this.describePools().find((pool) => pool.poolId === poolId);
    const replica = this.pools.get(poolId)?.replicas.get(permit.replicaId);
    if (description && replica) this.sendGrant(description, permit, replica);
  }

  private sendRefusal(request: SlotRequest, problem: Problem): void {
    this.metrics.count('places_refused');
    const requestId = request.requestId;
    this.sendToHolder(
      request.holder,
      (holder) => holder.refused(requestId, problem),
      (address) => this.node.notify(address, 'permit.refused', { requestId, problem }),
    );
  }

  /**
   * Logs the state of a pool that refuses requests. The refused requests themselves are logged by the instances that
   * received them.
   */
  private logRefusalCause(poolId: string): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.nextRefusalLogMs) return;
    this.nextRefusalLogMs = nowMs + REFUSAL_LOG_PERIOD_MS;
    const pool = this.pools.get(poolId);
    if (pool) this.log?.record(LogCategory.failure, 'pool_refuses', pool.describe(nowMs));
  }

  private sendRevocation(permit: Permit): void {
    this.metrics.count('permits_revoked');
    this.revokedAtMs.set(permit.permitId, this.clock.monotonicMs());
    const permitId = permit.permitId;
    this.sendToHolder(
      permit.request.holder,
      (holder) => holder.revoked(permitId),
      (address) => this.node.notify(address, 'permit.revoked', { permitId }),
    );
  }

  private sendToHolder(
    holderId: string,
    local: (holder: LocalHolder) => void,
    remote: (address: string) => void,
  ): void {
    if (holderId === this.selfId) {
      if (this.localHolder) local(this.localHolder);
      return;
    }
    const member = this.members().membership.get(holderId);
    if (member) remote(member.peerAddress);
  }

  /** Reads the load reports of the replicas of owned pools. Only the owner of a pool reads them, for all instances. */
  private readLoads(nowMs: number): void {
    this.nextLoadReadMs = nowMs + LOAD_READ_PERIOD_MS;
    this.loadReadRound += 1;
    const isIdleRound = this.loadReadRound % IDLE_POOL_LOAD_READ_ROUNDS === 0;
    this.pools
      .all()
      .filter((pool) => isIdleRound || pool.permits.size > 0)
      .forEach((pool) =>
        pool.replicas
          .all()
          .forEach((replica) => this.node.detach('engine load', this.readLoad(pool, replica))),
      );
  }

  private async readLoad(pool: PoolScheduler, replica: PoolReplica): Promise<void> {
    const report = await this.loadReader?.load(replica.address);
    pool.recordLoadReading(replica.replicaId, report?.maxConcurrency);
    if (!report) return;
    this.upstreams.applyReport(replica.replicaId, report.leaving);
    pool.prefixes.applyReport(replica.replicaId, report.cachedPrefixes, this.clock.monotonicMs());
  }

  private toSlotRequest(body: AcquireBody, nowMs: number): SlotRequest {
    return {
      requestId: body.requestId,
      holder: body.holder,
      organisation: body.organisation,
      workload: body.workload,
      workClass: body.workClass,
      costTokens: body.costTokens,
      startByMs: body.startInMs === undefined ? undefined : nowMs + body.startInMs,
      deadlineMs: nowMs + body.deadlineInMs,
      failureDomain: this.members().membership.get(body.holder)?.failureDomain ?? '',
      prefixDigest: body.prefixDigest,
      sharedPartIds: body.sharedPartIds ?? [],
      requestDigest: body.requestDigest,
      excludedReplicaIds: body.excludedReplicaIds,
      softwareVersion: body.softwareVersion,
      resumable: body.resumable,
      alone: body.alone,
      enqueuedAtMs: nowMs,
      receivedTokens: body.receivedTokens,
      memoryTokens: body.memoryTokens,
      isCopy: body.isCopy,
    };
  }
}

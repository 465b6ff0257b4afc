/** The owner's side of admission: hosts the schedulers of the pools that this instance owns. */
import type { Clock, DecisionLog, Metrics, Problem, System } from '@fighub/core';
import { EntityTable, LogWeight } from '@fighub/core';
import type { Permit, PlaceRequest, PoolLoad, PoolOutput, PoolPolicy, PoolReplica } from '@fighub/decisions';
import { DisconnectedHolders, PoolScheduler, ownerOf } from '@fighub/decisions';
import type {
  AcquireBody,
  GrantedBody,
  MembershipRunner,
  PeerNode,
  PermitReleaseBody,
  PermitRenewBody,
} from '@fighub/peers';
import type { LoadReader } from '@fighub/outside';

import { OwnerWatch } from './owner-watch.js';
import type { PoolCatalogue, PoolDescription } from './pool-catalogue.js';
import type { UpstreamStates } from './upstream-states.js';

/** Receives decisions for requests of this same instance. */
export interface LocalHolder {
  granted(body: GrantedBody): void;
  refused(requestId: string, problem: Problem): void;
  revoked(permitId: string): void;
}

/** At most one line of this period tells why a pool refuses, in milliseconds. */
const REFUSAL_LINE_PERIOD_MS = 1_000;
const LOAD_PERIOD_MS = 1_000;
/** Pools without streams are looked at this many times more rarely. */
const IDLE_LOAD_FACTOR = 3;
/** Pools are brought in line with the table and the members at least this often. */
const SYNC_PERIOD_MS = 200;

/** Runs the schedulers of owned pools each tick. */
export class PoolHost implements System {
  readonly name = 'pool host';
  private readonly pools = new EntityTable<PoolScheduler>();
  /** Owners by pool at one version of the membership. */
  private readonly owners = new Map<string, string | undefined>();
  private ownersVersion = -1;
  private readonly ownerWatch: OwnerWatch;
  private readonly revokedAtMs = new Map<string, number>();
  private readonly lostHolders = new DisconnectedHolders();
  private localHolder: LocalHolder | undefined;
  private nextLoadMs = 0;
  private nextRefusalLineMs = 0;
  private loadRound = 0;
  private schedulersBuilt = 0;
  private nextSyncMs = 0;
  private syncedVersion = -1;
  private syncedCatalogue: unknown;
  private wake: () => void = () => undefined;

  constructor(
    private readonly selfId: string,
    private readonly catalogue: PoolCatalogue,
    private readonly upstreams: UpstreamStates,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    /** Undefined where reports are not to be read: the pool then goes by its own permits. */
    private readonly loadReader: LoadReader | undefined,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log?: DecisionLog,
  ) {
    this.ownerWatch = new OwnerWatch(selfId, members, node, clock, log, () => this.wake());
    node.onRequest('permit.acquire', (body) => ({ accepted: this.acquire(body) }));
    node.onRequest('pool.load', (body) => ({ loads: this.loadsOf(body.poolIds) }));
    node.onInboundClosed((instanceId) => this.lostHolders.onClosed(instanceId, this.clock.monotonicMs()));
    node.onNotice('permit.withdraw', (body) => this.withdraw(body.poolId, body.requestId));
    node.onNotice('permit.release', (body) => this.release(body));
    node.onRequest('permit.renew', (body) => {
      this.renew(body);
      return {};
    });
  }

  /** Connects the holder of this same instance and the tick that runs this system. */
  connect(holder: LocalHolder, wake: () => void): void {
    this.localHolder = holder;
    this.wake = wake;
  }

  /** Pools as configured. */
  describePools(): readonly PoolDescription[] {
    return this.catalogue.pools();
  }

  /** Another number whenever the owners of pools may have changed. */
  get ownershipVersion(): number {
    return this.ownerWatch.version;
  }

  /** The owner of a pool among the live members that answer. */
  ownerOfPool(poolId: string): string | undefined {
    const version = this.ownershipVersion;
    if (version !== this.ownersVersion) {
      this.ownersVersion = version;
      this.owners.clear();
    }
    if (!this.owners.has(poolId)) {
      const failureDomain = poolId.slice(poolId.lastIndexOf('@') + 1);
      this.owners.set(poolId, ownerOf(poolId, failureDomain, this.ownerWatch.answeringMembers()));
    }
    return this.owners.get(poolId);
  }

  /** Notes whether an owner has answered a request for a place. */
  noteOwner(instanceId: string, answered: boolean): void {
    this.ownerWatch.note(instanceId, answered);
  }

  /** Takes a request for a place if this instance owns the pool. */
  acquire(body: AcquireBody): boolean {
    this.syncPoolsIfDue(this.clock.monotonicMs());
    const pool = this.pools.get(body.poolId);
    if (!pool) return false;
    const nowMs = this.clock.monotonicMs();
    const granted = pool.permitOf(body.requestId);
    // A holder that asks again has not seen its grant.
    if (granted) this.sendGrantAgain(body.poolId, granted);
    else if (!pool.isWaiting(body.requestId)) pool.enqueue(this.toPlaceRequest(body, nowMs), nowMs);
    this.wake();
    return true;
  }

  withdraw(poolId: string, requestId: string): void {
    this.pools.get(poolId)?.withdraw(requestId);
  }

  release({ poolId, reports, loads }: PermitReleaseBody): void {
    const pool = this.pools.get(poolId);
    const nowMs = this.clock.monotonicMs();
    reports.forEach((report) => {
      pool?.release(report, nowMs);
      this.sampleFreed(report.permitId);
    });
    loads.forEach((report) => pool?.observeLoad(report, nowMs));
    this.wake();
  }

  /** Time from the arrival of an online request to the end of the batch stream that gave it its place. */
  private sampleFreed(permitId: string): void {
    const revokedAtMs = this.revokedAtMs.get(permitId);
    if (revokedAtMs === undefined) return;
    this.revokedAtMs.delete(permitId);
    this.metrics.sample('place_freed_ms', this.clock.monotonicMs() - revokedAtMs);
  }

  renew({ poolId, holder, permits }: PermitRenewBody): void {
    const nowMs = this.clock.monotonicMs();
    this.lostHolders.onRenewed(holder);
    this.pools.get(poolId)?.renew(
      holder,
      permits.map((held) => ({
        permitId: held.permitId,
        request: this.toPlaceRequest(held.request, nowMs),
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
    this.ownerWatch.run(nowMs);
    this.syncPoolsIfDue(nowMs);
    const lost = this.lostHolders.takeExpired(nowMs);
    this.pools.all().forEach((pool) => {
      this.forgetLost(pool, lost);
      pool.run(nowMs);
    });
    if (this.loadReader && nowMs >= this.nextLoadMs) this.readLoads(nowMs);
  }

  private loadsOf(poolIds: readonly string[]): PoolLoad[] {
    const nowMs = this.clock.monotonicMs();
    return poolIds.flatMap((poolId) => {
      const pool = this.pools.get(poolId);
      return pool ? [pool.load(nowMs)] : [];
    });
  }

  /** Loads of owned pools. */
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
    const unchanged = version === this.syncedVersion && this.catalogue.version === this.syncedCatalogue;
    if (unchanged && nowMs < this.nextSyncMs) return;
    this.syncedVersion = version;
    this.syncedCatalogue = this.catalogue.version;
    this.nextSyncMs = nowMs + SYNC_PERIOD_MS;
    this.syncPools();
  }

  /** Creates and drops schedulers so that they match ownership and the table. */
  private syncPools(): void {
    const owned = this.describePools().filter((pool) => this.ownerOfPool(pool.poolId) === this.selfId);
    const ownedIds = new Set(owned.map((pool) => pool.poolId));
    this.pools
      .ids()
      .filter((poolId) => !ownedIds.has(poolId))
      .forEach((poolId) => this.pools.take(poolId));
    owned.forEach((description) => this.syncPool(description));
    this.pools.all().forEach((pool) => this.forgetDeadHolders(pool));
  }

  private forgetLost(pool: PoolScheduler, lost: readonly string[]): void {
    const holders = new Set(pool.holders());
    lost
      .filter((holder) => holders.has(holder))
      .forEach((holder) => {
        this.metrics.count('permit_holders_lost');
        this.log?.record(LogWeight.state, 'permit_holder_lost', { holder, poolId: pool.poolId });
        pool.forgetHolder(holder);
      });
  }

  private forgetDeadHolders(pool: PoolScheduler): void {
    const { membership } = this.members();
    pool
      .holders()
      .filter((holder) => membership.get(holder) !== undefined && !membership.isLive(holder))
      .forEach((holder) => pool.forgetHolder(holder));
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
        leaving: this.catalogue.isLeaving(upstream.upstreamId),
      })),
    );
  }

  /** Pools of a model in which an organisation may run anything at all. */
  poolsOpenTo(organisation: string, model: string): readonly PoolDescription[] {
    return this.catalogue.poolsOpenTo(organisation, model);
  }

  /** Permits of a scheduler that was dropped may come back: their ids must not be given again. */
  private newScheduler(description: PoolDescription, policy: PoolPolicy): PoolScheduler {
    this.schedulersBuilt += 1;
    const granter = `${this.selfId}/${String(this.schedulersBuilt)}`;
    return new PoolScheduler(description.poolId, granter, policy, this.outputOf(description));
  }

  private outputOf(description: PoolDescription): PoolOutput {
    return {
      granted: (permit, replica) => this.sendGrant(description, permit, replica),
      refused: (request, problem) => {
        this.sendRefusal(request, problem);
        this.logRefusing(description.poolId);
      },
      revoked: (permit) => this.sendRevocation(permit),
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
    };
    this.toHolder(
      permit.request.holder,
      (holder) => holder.granted(body),
      (address) => this.node.notify(address, 'permit.granted', body),
    );
  }

  private sendGrantAgain(poolId: string, permit: Permit): void {
    const description = this.describePools().find((pool) => pool.poolId === poolId);
    const replica = this.pools.get(poolId)?.replicas.get(permit.replicaId);
    if (description && replica) this.sendGrant(description, permit, replica);
  }

  private sendRefusal(request: PlaceRequest, problem: Problem): void {
    this.metrics.count('places_refused');
    const requestId = request.requestId;
    this.toHolder(
      request.holder,
      (holder) => holder.refused(requestId, problem),
      (address) => this.node.notify(address, 'permit.refused', { requestId, problem }),
    );
  }

  /** What the refusals of this second rest on: refused requests are logged where they arrived. */
  private logRefusing(poolId: string): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.nextRefusalLineMs) return;
    this.nextRefusalLineMs = nowMs + REFUSAL_LINE_PERIOD_MS;
    const pool = this.pools.get(poolId);
    if (pool) this.log?.record(LogWeight.failure, 'pool_refuses', pool.describe(nowMs));
  }

  private sendRevocation(permit: Permit): void {
    this.metrics.count('permits_revoked');
    this.revokedAtMs.set(permit.permitId, this.clock.monotonicMs());
    const permitId = permit.permitId;
    this.toHolder(
      permit.request.holder,
      (holder) => holder.revoked(permitId),
      (address) => this.node.notify(address, 'permit.revoked', { permitId }),
    );
  }

  private toHolder(
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

  /** One owner reads a replica's load for all. */
  private readLoads(nowMs: number): void {
    this.nextLoadMs = nowMs + LOAD_PERIOD_MS;
    this.loadRound += 1;
    const isIdleRound = this.loadRound % IDLE_LOAD_FACTOR === 0;
    this.pools
      .all()
      .filter((pool) => isIdleRound || pool.permits.size > 0)
      .forEach((pool) => pool.replicas.all().forEach((replica) => void this.readLoad(pool, replica)));
  }

  private async readLoad(pool: PoolScheduler, replica: PoolReplica): Promise<void> {
    const report = await this.loadReader?.load(replica.address);
    replica.missedReports = report ? 0 : replica.missedReports + 1;
    if (!report) return;
    replica.limit.setMaximum(report.maxConcurrency);
    this.upstreams.applyReport(replica.replicaId, report.leaving);
    pool.prefixes.applyReport(replica.replicaId, report.cachedPrefixes, this.clock.monotonicMs());
  }

  private toPlaceRequest(body: AcquireBody, nowMs: number): PlaceRequest {
    return {
      requestId: body.requestId,
      holder: body.holder,
      organisation: body.organisation,
      workClass: body.workClass,
      costTokens: body.costTokens,
      startByMs: body.startInMs === undefined ? undefined : nowMs + body.startInMs,
      deadlineMs: nowMs + body.deadlineInMs,
      failureDomain: this.members().membership.get(body.holder)?.failureDomain ?? '',
      prefixDigest: body.prefixDigest,
      excludedReplicaIds: body.excludedReplicaIds,
      resumable: body.resumable,
      alone: body.alone,
      enqueuedAtMs: nowMs,
    };
  }
}

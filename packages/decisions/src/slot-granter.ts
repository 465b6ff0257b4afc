/** Grants permits for free slots, and preempts batch streams for online requests. */
import type { BurstReserve } from './burst-reserve.js';
import type { CrashSuspicions } from './crash-suspicions.js';
import { copyBudget } from './hedging.js';
import type { OrganisationLimits } from './organisation-limits.js';
import type { OrganisationQuotas } from './organisation-quotas.js';
import { PERMIT_LIFETIME_MS } from './permit-table.js';
import type { PoolSlots } from './pool-slots.js';
import type { Permit, PoolOutput, PoolPolicy, PoolReplica, SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import type { PrefixIndex } from './prefix-index.js';
import type { RetryBudget } from './retry-budget.js';
import type { WaitingRequests } from './waiting-requests.js';

/** The slot of a preempted stream counts as free for this long, and as occupied again if the permit is still held. */
const REVOKE_GRACE_MS = 300;
/** Batch streams that cannot be resumed, and so are never preempted, hold at most this fraction of the slots. */
const NON_RESUMABLE_BATCH_MAX_FRACTION = 0.25;

/** Where an online request runs. */
interface Placement {
  readonly replica: PoolReplica;
  /** The batch stream that is preempted for it; undefined when the replica has a free slot. */
  readonly victim?: Permit;
}

/** The parts of a pool between which `SlotGranter` decides. */
export interface GrantingParts {
  readonly slots: PoolSlots;
  readonly waiting: WaitingRequests;
  readonly limits: OrganisationLimits;
  readonly quotas: OrganisationQuotas;
  readonly reserve: BurstReserve;
  readonly prefixes: PrefixIndex;
  readonly crashes: CrashSuspicions;
  readonly output: PoolOutput;
  /** The policy that is configured now. */
  readonly policy: () => PoolPolicy;
  /** Unique to this granter, so that no permit id is granted twice. */
  readonly permitIdPrefix: string;
}

/** Decides which waiting request gets which slot. */
export class SlotGranter {
  private nextPermit = 1;
  private readonly copies: RetryBudget;

  constructor(private readonly parts: GrantingParts) {
    this.copies = copyBudget(parts.policy().maxCopyFraction ?? 0);
  }

  /** Advances the quarantine: stops the batch streams at the isolated replica, or starts the suspect there. */
  runQuarantine(nowMs: number): void {
    if (this.parts.waiting.quarantine.size === 0 && this.parts.waiting.quarantine.replicaId === undefined)
      return;
    const usable = this.parts.slots.replicas
      .all()
      .filter((replica) => !replica.leaving && replica.health.isAvailable(nowMs));
    const step = this.parts.waiting.quarantine.step(
      usable,
      (id) => this.parts.slots.permitTable.inFlight(id, nowMs),
      nowMs,
    );
    if (!step) return;
    if (step.grant) this.grant(step.grant, step.replica, nowMs);
    else this.revokeBatchAt(step.replica.replicaId, nowMs);
  }

  /**
   * Revokes the permits of all resumable batch streams at a replica. Their slots stay occupied until they are
   * released, because the replica must be empty before the suspect starts.
   */
  private revokeBatchAt(replicaId: string, nowMs: number): void {
    this.parts.slots.rankVictimsAt(replicaId, nowMs).forEach((permit) => {
      this.parts.slots.permitTable.revoke(permit, nowMs);
      this.parts.output.revoked(permit);
    });
  }

  /**
   * Preempts batch streams at replicas whose streams, including those that run without a permit of this owner,
   * exceed the limit. Otherwise the streams without a permit might wait in the replica's own queue.
   */
  preemptForUnknownStreams(nowMs: number): void {
    this.parts.slots.replicasWithUnknownStreams(nowMs).forEach((replica) => {
      const excess = this.parts.slots.occupied(replica, nowMs) - replica.limit.places;
      this.parts.slots
        .rankVictimsAt(replica.replicaId, nowMs)
        .slice(0, Math.max(0, excess))
        .forEach((permit) => this.revoke(permit, nowMs));
    });
  }

  /** Preempts a stream; its slot counts as free during the grace period. */
  private revoke(permit: Permit, nowMs: number): void {
    this.parts.slots.permitTable.revoke(permit, nowMs + REVOKE_GRACE_MS);
    this.parts.output.revoked(permit);
  }

  /**
   * Grants online requests the free slots, and then the slots of batch streams that it preempts. Resumed streams come
   * first: new ones can run at any version, and would take the slots of the only version that a resumed one can use.
   */
  grantOnline(nowMs: number): void {
    if (this.parts.waiting.online.boundVersions.length > 0)
      this.grantOnlineWhere(({ softwareVersion }) => softwareVersion !== undefined, nowMs);
    this.grantOnlineWhere(() => true, nowMs);
  }

  private grantOnlineWhere(isEligible: (request: SlotRequest) => boolean, nowMs: number): void {
    repeatWhile(() => {
      if (!this.parts.slots.mayHaveSlot(nowMs)) return false;
      const taken = this.parts.waiting.online.takeNextWith((candidate) =>
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
    if (!this.parts.limits.admits(request, this.parts.policy().limitsOf(request.organisation), nowMs))
      return undefined;
    const replica = this.pickFreeReplica(request, nowMs);
    if (replica) return { replica };
    const victim = this.parts.slots.pickVictim(
      request,
      this.parts.prefixes,
      this.parts.waiting.quarantine.replicaId,
      nowMs,
    );
    const occupied = victim && this.parts.slots.replicas.get(victim.replicaId);
    return occupied && { replica: occupied, victim };
  }

  /**
   * Grants batch requests the free slots beyond the burst reserve. It grants none while online requests wait and
   * no slot is free.
   */
  grantBatch(nowMs: number): void {
    if (
      this.parts.waiting.online.size > 0 &&
      this.parts.slots.freeSlots(this.parts.waiting.quarantine.replicaId, nowMs) <= 0
    )
      return;
    repeatWhile(() => {
      const spareSlots =
        this.parts.slots.freeSlots(this.parts.waiting.quarantine.replicaId, nowMs) -
        this.parts.reserve.places(
          this.parts.slots.total(nowMs),
          this.parts.policy().reserveMaxFraction,
          nowMs,
        );
      const hasSpareSlot = spareSlots > 0;
      if (!hasSpareSlot && !this.parts.slots.hasLimitedForBatch(nowMs)) return false;
      const taken = this.parts.waiting.batch.takeNextWith((candidate) =>
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
    if (!this.parts.limits.admits(request, this.parts.policy().limitsOf(request.organisation), nowMs))
      return undefined;
    if (!request.resumable && !this.nonResumableBatchFits(nowMs)) return undefined;
    return this.pickFreeReplica(request, nowMs, !hasSpareSlot);
  }

  private nonResumableBatchFits(nowMs: number): boolean {
    return (
      this.parts.slots.permitTable.nonResumableBatchStreams + 1 <=
      Math.max(1, this.parts.slots.total(nowMs) * NON_RESUMABLE_BATCH_MAX_FRACTION)
    );
  }

  /**
   * Grants a copy of a request that runs elsewhere a slot that nobody waits for, if there is one beyond the burst reserve and
   * the limit on copies and the quota of the organisation allow it.
   */
  tryGrantCopy(request: SlotRequest, nowMs: number): boolean {
    const { slots, waiting, reserve, quotas } = this.parts;
    const policy = this.parts.policy();
    const spareSlots =
      slots.freeSlots(waiting.quarantine.replicaId, nowMs) -
      reserve.places(slots.total(nowMs), policy.reserveMaxFraction, nowMs);
    const areAllowed = (policy.maxCopyFraction ?? 0) > 0;
    if (!areAllowed || waiting.online.size > 0 || spareSlots <= 0) return false;
    const quota = policy.quotaOf?.(request.organisation);
    if (quotas.waitMs(request.organisation, quota, 0, nowMs) > 0) return false;
    const replica = this.pickFreeReplica(request, nowMs);
    if (!replica || request.excludedReplicaIds.includes(replica.replicaId)) return false;
    if (replica.rate.requestsPerSecond !== undefined || !this.copies.tryRetry(nowMs)) return false;
    this.grant(request, replica, nowMs);
    return true;
  }

  private pickFreeReplica(request: SlotRequest, nowMs: number, onlyLimited = false): PoolReplica | undefined {
    const { replicaId } = this.parts.waiting.quarantine;
    return this.parts.slots.pickFreeReplica(request, this.parts.prefixes, replicaId, nowMs, onlyLimited);
  }

  private grant(request: SlotRequest, replica: PoolReplica, nowMs: number): void {
    const permit: Permit = {
      permitId: `${this.parts.permitIdPrefix}/${String(this.nextPermit)}`,
      request,
      replicaId: replica.replicaId,
      grantedAtMs: nowMs,
      reportsProgress: this.parts.crashes.isProbe(request, nowMs),
      expiresAtMs: nowMs + PERMIT_LIFETIME_MS,
    };
    this.nextPermit += 1;
    this.parts.slots.add(permit);
    this.parts.prefixes.add(request.prefixDigest, replica.replicaId, nowMs);
    if (request.workClass === WorkClass.online && !request.isCopy) this.copies.onRequest();
    if (request.workClass === WorkClass.online)
      this.parts.quotas.take(
        request.organisation,
        this.parts.policy().quotaOf?.(request.organisation),
        nowMs,
      );
    this.parts.limits.onStart(request, this.parts.policy().limitsOf(request.organisation), nowMs);
    this.parts.output.granted(permit, replica);
  }
}

function repeatWhile(step: () => boolean): void {
  while (step());
}

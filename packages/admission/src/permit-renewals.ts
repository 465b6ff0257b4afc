import type { Clock, Metrics, System } from '@fighub/core';
import { PERMIT_LIFETIME_MS } from '@fighub/decisions';
import type { HeldPermit, MembershipRunner, PeerNode } from '@fighub/peers';

import type { PoolHost } from './pool-host.js';

/** A permit with its pool. */
export interface PooledPermit {
  readonly poolId: string;
  readonly held: HeldPermit;
}

const PERIOD_MS = 1_000;
const TIMEOUT_MS = 300;
const RETRY_MS = 200;

/**
 * Tells the owners of pools which permits this instance has. Owners answer, so that a connection which swallows
 * messages is found and replaced; a release that was lost is made good by the next renewal.
 */
export class PermitRenewals implements System {
  readonly name = 'permit renewals';
  readonly busy = false;
  private nextMs = 0;
  private renewedVersion = 0;
  /** Pools whose owners may still count permits of ours, and until when. */
  private readonly heldUntilMs = new Map<string, number>();

  constructor(
    private readonly selfId: string,
    private readonly host: PoolHost,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly permits: () => readonly PooledPermit[],
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    node.onOutboundClosed(() => (this.nextMs = 0));
  }

  run(nowMs: number): void {
    if (nowMs >= this.nextMs) this.renewAll(nowMs);
    else this.renewIfMoved();
  }

  /** A new owner learns what its predecessor had granted before it is asked for more. */
  renewIfMoved(): void {
    if (this.host.ownershipVersion !== this.renewedVersion) this.renewAll(this.clock.monotonicMs());
  }

  private renewAll(nowMs: number): void {
    this.nextMs = nowMs + PERIOD_MS;
    this.renewedVersion = this.host.ownershipVersion;
    const permits = this.permits();
    permits.forEach(({ poolId }) => this.heldUntilMs.set(poolId, nowMs + PERMIT_LIFETIME_MS));
    [...this.heldUntilMs].forEach(([poolId, untilMs]) => {
      if (untilMs <= nowMs) this.heldUntilMs.delete(poolId);
      else
        void this.renewIn(
          poolId,
          permits.filter((permit) => permit.poolId === poolId),
        );
    });
  }

  private async renewIn(poolId: string, permits: readonly PooledPermit[]): Promise<void> {
    const body = { poolId, holder: this.selfId, permits: permits.map(({ held }) => held) };
    const ownerId = this.host.ownerOfPool(poolId);
    if (ownerId === this.selfId) {
      this.host.renew(body);
      return;
    }
    const owner = ownerId === undefined ? undefined : this.members().membership.get(ownerId);
    if (!owner) return;
    const answer = await this.node.request(owner.peerAddress, 'permit.renew', body, TIMEOUT_MS);
    if (answer.ok) return;
    this.metrics.count('permit_renewals_failed');
    this.nextMs = Math.min(this.nextMs, this.clock.monotonicMs() + RETRY_MS);
  }
}

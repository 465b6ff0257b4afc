import type { Clock, Metrics, System } from '@fighub/core';
import { PERMIT_LIFETIME_MS } from '@fighub/decisions';
import type { HeldPermit, MembershipRunner, PeerNode } from '@fighub/peers';

import type { PoolHost } from './pool-host.js';

/** A held permit and the pool that it belongs to. */
export interface PoolPermit {
  readonly poolId: string;
  readonly held: HeldPermit;
}

const RENEWAL_PERIOD_MS = 1_000;
const RENEWAL_TIMEOUT_MS = 300;
const RENEWAL_RETRY_MS = 200;

/**
 * Renews the permits of this instance at the owners of their pools. Renewals are requests to which owners
 * respond, so that a connection which drops messages silently is detected and replaced. A renewal lists all permits
 * that this instance holds in a pool, which corrects the owner when a release was lost.
 */
export class PermitRenewals implements System {
  readonly name = 'permit renewals';
  readonly busy = false;
  private nextRenewalMs = 0;
  private renewedOwnershipVersion = 0;
  /**
   * When the renewals for a pool end, by pool. They continue for the lifetime of a permit after the last permit was
   * released, since the owner may still count permits whose release was lost.
   */
  private readonly renewUntilMs = new Map<string, number>();

  constructor(
    private readonly selfId: string,
    private readonly host: PoolHost,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly permits: () => readonly PoolPermit[],
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    // Releases that were sent over the closed connection may be lost, so the next tick renews at once.
    node.onOutboundClosed(() => (this.nextRenewalMs = 0));
  }

  run(nowMs: number): void {
    if (nowMs >= this.nextRenewalMs) this.renewAll(nowMs);
    else this.renewIfOwnersChanged();
  }

  /**
   * Renews at once when owners may have changed, so that a new owner learns of the permits of its predecessor before it
   * receives requests for slots.
   */
  renewIfOwnersChanged(): void {
    if (this.host.ownershipVersion !== this.renewedOwnershipVersion) this.renewAll(this.clock.monotonicMs());
  }

  private renewAll(nowMs: number): void {
    this.nextRenewalMs = nowMs + RENEWAL_PERIOD_MS;
    this.renewedOwnershipVersion = this.host.ownershipVersion;
    const permits = this.permits();
    permits.forEach(({ poolId }) => this.renewUntilMs.set(poolId, nowMs + PERMIT_LIFETIME_MS));
    [...this.renewUntilMs].forEach(([poolId, untilMs]) => {
      if (untilMs <= nowMs) this.renewUntilMs.delete(poolId);
      else
        this.node.detach(
          'permit.renew',
          this.renewPool(
            poolId,
            permits.filter((permit) => permit.poolId === poolId),
          ),
        );
    });
  }

  private async renewPool(poolId: string, permits: readonly PoolPermit[]): Promise<void> {
    const body = { poolId, holder: this.selfId, permits: permits.map(({ held }) => held) };
    const ownerId = this.host.ownerOfPool(poolId);
    if (ownerId === this.selfId) {
      this.host.renew(body);
      return;
    }
    const owner = ownerId === undefined ? undefined : this.members().membership.get(ownerId);
    if (!owner) return;
    const answer = await this.node.request(owner.peerAddress, 'permit.renew', body, RENEWAL_TIMEOUT_MS);
    if (answer.ok) return;
    this.metrics.count('permit_renewals_failed');
    this.nextRenewalMs = Math.min(this.nextRenewalMs, this.clock.monotonicMs() + RENEWAL_RETRY_MS);
  }
}

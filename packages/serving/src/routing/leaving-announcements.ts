/**
 * Handles the statements of replicas, in their responses, that they are leaving. This instance sends such a replica
 * nothing more at once. The owner of the pool is told so that it grants no more slots there; it tells the coordinators,
 * whose pushed views bring it to all other instances.
 */
import type { Clock, DecisionLog, Metrics } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import { coordinatorsOf } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';

import type { FleetView } from './fleet-view.js';
import { poolIdOfService } from './service-pool-catalogue.js';

/** Records announcements in the fleet view and passes them on. */
export class LeavingAnnouncements {
  constructor(
    private readonly selfId: string,
    private readonly view: FleetView,
    private readonly ownerOfPool: (poolId: string) => string | undefined,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {
    node.onNotice('replica.leaving', ({ replicaId, passOn }) => {
      if (this.record(replicaId, passOn ? 'holder' : 'owner') && passOn) this.tellCoordinators(replicaId);
    });
  }

  /** Records that a response of a replica stated that it is leaving. */
  onResponse(replicaId: string): void {
    if (this.record(replicaId, 'response')) this.tellOwner(replicaId);
  }

  /**
   * Tells the owner again when it has granted a slot at a replica that this instance knows to be leaving. It may have
   * become the owner since.
   */
  onUnusableSlot(replicaId: string): void {
    if (this.view.hasAnnouncedLeaving(replicaId)) this.tellOwner(replicaId);
  }

  private record(replicaId: string, from: string): boolean {
    if (!this.view.announceLeaving(replicaId, this.clock.monotonicMs())) return false;
    this.metrics.count('replicas_announced_leaving');
    this.log.record(LogCategory.state, 'replica_announced_leaving', { replicaId, from });
    return true;
  }

  private tellOwner(replicaId: string): void {
    const service = this.view.replica(replicaId)?.service;
    const ownerId = service === undefined ? undefined : this.ownerOfPool(poolIdOfService(service));
    const owner = ownerId === undefined ? undefined : this.members().membership.get(ownerId);
    if (!owner || ownerId === this.selfId) this.tellCoordinators(replicaId);
    else this.node.notify(owner.peerAddress, 'replica.leaving', { replicaId, passOn: true });
  }

  private tellCoordinators(replicaId: string): void {
    const addresses = coordinatorsOf(this.members().owners())
      .filter((member) => member.instanceId !== this.selfId)
      .map((member) => member.peerAddress);
    this.node.notifyAll(addresses, 'replica.leaving', { replicaId, passOn: false });
  }
}

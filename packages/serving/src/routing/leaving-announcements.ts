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

/** Where an instance learned that a replica is leaving. The values appear in logs. */
export const AnnouncementSource = {
  /** The replica itself said so in a response to this instance. */
  response: 'response',
  holder: 'holder',
  owner: 'owner',
  relay: 'relay',
} as const;
export type AnnouncementSource = (typeof AnnouncementSource)[keyof typeof AnnouncementSource];

/** Records in the fleet view that a replica is leaving. Returns false if that was known. */
export function recordAnnouncement(
  replicaId: string,
  from: AnnouncementSource,
  { view, clock, metrics, log }: { view: FleetView; clock: Clock; metrics: Metrics; log: DecisionLog },
): boolean {
  if (!view.announceLeaving(replicaId, clock.monotonicMs())) return false;
  metrics.count('replicas_announced_leaving');
  log.record(LogCategory.state, 'replica_announced_leaving', { replicaId, from });
  return true;
}

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
      const from = passOn ? AnnouncementSource.holder : AnnouncementSource.owner;
      if (this.record(replicaId, from) && passOn) this.tellCoordinators(replicaId);
    });
  }

  /** Records that a response of a replica stated that it is leaving. */
  onResponse(replicaId: string): void {
    if (this.record(replicaId, AnnouncementSource.response)) this.tellOwner(replicaId);
  }

  /**
   * Tells the owner again when it has granted a slot at a replica that this instance knows to be leaving. It may have
   * become the owner since.
   */
  onUnusableSlot(replicaId: string): void {
    if (this.view.hasAnnouncedLeaving(replicaId)) this.tellOwner(replicaId);
  }

  private record(replicaId: string, from: AnnouncementSource): boolean {
    const { view, clock, metrics, log } = this;
    return recordAnnouncement(replicaId, from, { view, clock, metrics, log });
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

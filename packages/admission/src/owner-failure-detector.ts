import type { Clock, DecisionLog } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { Member } from '@fighub/decisions';
import { OwnerSuspicions, isCoordinator } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';

const OWNER_CHECK_TIMEOUT_MS = 300;

/** Detects owners of pools that do not respond, sooner than the membership protocol does. */
export class OwnerFailureDetector {
  /** Owners whose failure other instances are being asked to confirm. */
  private readonly confirming = new Set<string>();
  private readonly suspicions = new OwnerSuspicions();

  constructor(
    private readonly selfId: string,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly clock: Clock,
    private readonly log: DecisionLog | undefined,
    /** Called when an owner is suspected, here or by a peer. */
    private readonly onSuspected: () => void,
  ) {
    node.onNotice('owner.suspected', ({ instanceId }) => {
      this.logIfNew(instanceId, 'reported by a peer');
      this.onSuspected();
    });
  }

  /** Changes whenever the set of possible owners may have changed. */
  get version(): number {
    return this.members().membership.version + this.suspicions.version;
  }

  /** Live members that are not suspected, or all live members when every coordinator is suspected. */
  answeringMembers(): Member[] {
    const owners = this.members().owners();
    const answering = owners.filter((member) => !this.suspicions.isSuspected(member.instanceId));
    return answering.some(isCoordinator) ? answering : owners;
  }

  /** Records whether an owner responded to a request for a slot. */
  recordResponse(instanceId: string, answered: boolean): void {
    if (answered) this.suspicions.onAnswer(instanceId);
    else if (this.suspicions.onTimeout(instanceId))
      this.node.detach('swim.indirect', this.confirm(instanceId));
  }

  run(nowMs: number): void {
    this.suspicions.run(nowMs);
    this.suspicions
      .takeDueChecks(nowMs)
      .forEach((instanceId) => this.node.detach('pool.load', this.check(instanceId)));
  }

  /**
   * Suspects an owner only when other instances respond and do not reach it either. Otherwise this instance may be the
   * one that is cut off.
   */
  private async confirm(instanceId: string): Promise<void> {
    if (this.confirming.has(instanceId)) return;
    this.confirming.add(instanceId);
    try {
      const isReachedByOthers = await this.members().isReachedByOthers(instanceId);
      if (isReachedByOthers === false) this.suspect(instanceId);
    } finally {
      this.confirming.delete(instanceId);
    }
  }

  /**
   * Suspects an owner and notifies all instances, so that they switch to the next owner together and it learns of all
   * permits.
   */
  private suspect(instanceId: string): void {
    this.logIfNew(instanceId, 'it does not respond, and no other instance reaches it');
    this.suspicions.watch(instanceId, this.clock.monotonicMs());
    this.onSuspected();
    this.members()
      .owners()
      .filter((member) => member.instanceId !== this.selfId)
      .forEach((member) => this.node.notify(member.peerAddress, 'owner.suspected', { instanceId }));
  }

  private logIfNew(instanceId: string, reason: string): void {
    const isNew = this.suspicions.suspect(instanceId, this.clock.monotonicMs());
    if (isNew) this.log?.record(LogCategory.state, 'owner_suspected', { instanceId, reason });
  }

  /** Probes a suspected owner. The suspicion is renewed at all instances as long as no instance reaches the owner. */
  private async check(instanceId: string): Promise<void> {
    const { membership } = this.members();
    const member = membership.get(instanceId);
    if (!member || !membership.isLive(instanceId)) {
      this.suspicions.unwatch(instanceId);
      return;
    }
    const body = { poolIds: [] };
    const answer = await this.node.request(member.peerAddress, 'pool.load', body, OWNER_CHECK_TIMEOUT_MS);
    if (answer.ok) this.suspicions.unwatch(instanceId);
    else await this.confirm(instanceId);
  }
}

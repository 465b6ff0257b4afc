import type { Clock, DecisionLog } from '@fighub/core';
import { LogWeight } from '@fighub/core';
import type { Member } from '@fighub/decisions';
import { OwnerSuspicions, isCoordinator } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';

const CHECK_TIMEOUT_MS = 300;

/** Knows which owners of pools do not answer, before membership does. */
export class OwnerWatch {
  private readonly confirming = new Set<string>();
  private readonly suspicions = new OwnerSuspicions();

  constructor(
    private readonly selfId: string,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly clock: Clock,
    private readonly log: DecisionLog | undefined,
    /** Called when an owner begins to be suspected. */
    private readonly onSuspected: () => void,
  ) {
    node.onNotice('owner.suspected', ({ instanceId }) => {
      this.logIfNew(instanceId, 'told by a peer');
      this.onSuspected();
    });
  }

  /** Another number whenever other members may be owners. */
  get version(): number {
    return this.members().membership.version + this.suspicions.version;
  }

  /** Members that answer; all of them when no coordinator does. */
  answeringMembers(): Member[] {
    const owners = this.members().owners();
    const answering = owners.filter((member) => !this.suspicions.isSuspected(member.instanceId));
    return answering.some(isCoordinator) ? answering : owners;
  }

  /** Notes whether an owner has answered a request for a place. */
  note(instanceId: string, answered: boolean): void {
    if (answered) this.suspicions.onAnswer(instanceId);
    else if (this.suspicions.onTimeout(instanceId)) void this.confirm(instanceId);
  }

  run(nowMs: number): void {
    this.suspicions.run(nowMs);
    this.suspicions.takeDueChecks(nowMs).forEach((instanceId) => void this.check(instanceId));
  }

  /** An owner that others reach is not suspected: this instance may be the one that is cut off. */
  private async confirm(instanceId: string): Promise<void> {
    if (this.confirming.has(instanceId)) return;
    this.confirming.add(instanceId);
    const isReached = await this.members().isReachedByOthers(instanceId);
    this.confirming.delete(instanceId);
    if (isReached === false) this.suspect(instanceId);
  }

  /** All instances move together, so that the next owner learns of all permits. */
  private suspect(instanceId: string): void {
    this.logIfNew(instanceId, 'no answer');
    this.suspicions.watch(instanceId, this.clock.monotonicMs());
    this.onSuspected();
    this.members()
      .owners()
      .filter((member) => member.instanceId !== this.selfId)
      .forEach((member) => this.node.notify(member.peerAddress, 'owner.suspected', { instanceId }));
  }

  private logIfNew(instanceId: string, reason: string): void {
    const isNew = this.suspicions.suspect(instanceId, this.clock.monotonicMs());
    if (isNew) this.log?.record(LogWeight.state, 'owner_suspected', { instanceId, reason });
  }

  /** As long as an owner does not answer, all instances stay away from it. */
  private async check(instanceId: string): Promise<void> {
    const { membership } = this.members();
    const member = membership.get(instanceId);
    if (!member || !membership.isLive(instanceId)) {
      this.suspicions.unwatch(instanceId);
      return;
    }
    const body = { poolIds: [] };
    const answer = await this.node.request(member.peerAddress, 'pool.load', body, CHECK_TIMEOUT_MS);
    if (answer.ok) this.suspicions.unwatch(instanceId);
    else await this.confirm(instanceId);
  }
}

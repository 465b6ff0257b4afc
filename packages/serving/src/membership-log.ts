/** Logs state changes of the members that this instance knows. */
import type { DecisionLog, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { MembershipRunner } from '@fighub/peers';

/** Writes one log line for each member whose state has changed since the last run, such as from alive to suspect. */
export class MembershipLog implements System {
  readonly name = 'membership log';
  readonly busy = false;
  private seenVersion = -1;
  private states = new Map<string, string>();

  constructor(
    private readonly members: () => MembershipRunner,
    private readonly log: DecisionLog,
  ) {}

  run(): void {
    const { membership } = this.members();
    if (membership.version === this.seenVersion) return;
    this.seenVersion = membership.version;
    const states = new Map(membership.all().map((member) => [member.instanceId, member.state]));
    membership
      .all()
      .filter((member) => this.states.get(member.instanceId) !== member.state)
      .forEach(({ instanceId, state, incarnation }) =>
        this.log.record(LogCategory.state, 'member_changed', {
          instanceId,
          from: this.states.get(instanceId) ?? 'unknown',
          to: state,
          incarnation,
        }),
      );
    this.states = states;
  }
}

/** Registers this instance in the instance list of the hosting platform and reads the other instances from it. */
import type { UpstreamStates } from '@fighub/admission';
import type { BackgroundTasks, ManagedPart, Metrics } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { InstanceList, ListedState } from '@fighub/outside';

/**
 * Announces this instance in the list, and periodically passes the listed entry instances to the membership and the
 * whole list to the upstream states.
 */
export class InstanceListPoller implements ManagedPart {
  readonly name = 'instance list';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly list: InstanceList,
    private readonly readPeriodMs: number,
    private readonly self: MemberUpdate,
    private readonly membership: MembershipRunner,
    private readonly upstreams: UpstreamStates,
    private readonly tasks: BackgroundTasks,
    private readonly metrics: Metrics,
  ) {}

  async start(): Promise<void> {
    await this.announce('live');
    await this.read();
    this.timer = setInterval(() => this.tasks.run('instance list', () => this.read()), this.readPeriodMs);
  }

  async drain(): Promise<void> {
    await this.announce('leaving');
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async announce(state: ListedState): Promise<void> {
    await this.list.announce({
      instanceId: this.self.instanceId,
      kind: 'entry',
      failureDomain: this.self.failureDomain,
      address: this.self.peerAddress,
      state,
    });
  }

  private async read(): Promise<void> {
    const listed = await this.list.read();
    if (!listed.ok) {
      this.metrics.count('instance_list_errors');
      return;
    }
    this.upstreams.applyInstanceList(listed.value);
    const entries = listed.value.filter((item) => item.kind === 'entry' && item.state === 'live');
    await this.membership.seed(
      entries.map((item) => ({ instanceId: item.instanceId, peerAddress: item.address })),
    );
  }
}

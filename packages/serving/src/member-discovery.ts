/**
 * Discovers other instances from the hosting platform's instance list, and from the configured seed addresses in
 * case the list is unavailable.
 */
import type { DecisionLog, ManagedPart } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { InstanceList } from '@fighub/outside';

/** Interval between discovery rounds once another instance is known. */
const DISCOVERY_PERIOD_MS = 2_000;
/** Interval between discovery rounds until the first other instance is found. */
const ALONE_DISCOVERY_PERIOD_MS = 300;

/**
 * Periodically announces this instance in the instance list and seeds the membership with the instances it
 * finds.
 */
export class MemberDiscovery implements ManagedPart {
  readonly name = 'member discovery';
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private listReachable = true;

  constructor(
    private readonly list: InstanceList,
    private readonly seedAddresses: readonly string[],
    private readonly self: MemberUpdate,
    private readonly membership: MembershipRunner,
    private readonly log: DecisionLog,
  ) {}

  start(): void {
    void this.runRound();
  }

  /** Stops discovery and marks this instance as leaving in the instance list. */
  async drain(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    await this.announce('leaving');
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async runRound(): Promise<void> {
    await Promise.all([this.readList(), this.membership.seedAddresses(this.seedAddresses)]);
    if (this.stopped) return;
    const isAlone = this.membership.owners().length < 2;
    this.timer = setTimeout(
      () => void this.runRound(),
      isAlone ? ALONE_DISCOVERY_PERIOD_MS : DISCOVERY_PERIOD_MS,
    );
  }

  private async readList(): Promise<void> {
    await this.announce('live');
    const listed = await this.list.read();
    if (listed.ok !== this.listReachable) {
      this.listReachable = listed.ok;
      const detail = listed.ok ? '' : listed.error;
      this.log.record(LogCategory.state, listed.ok ? 'instance_list_regained' : 'instance_list_lost', {
        detail,
      });
    }
    if (!listed.ok) return;
    const live = listed.value.filter((instance) => instance.kind === 'entry' && instance.state === 'live');
    await this.membership.seed(
      live.map((instance) => ({ instanceId: instance.instanceId, peerAddress: instance.address })),
    );
  }

  private async announce(state: 'live' | 'leaving'): Promise<void> {
    await this.list.announce({
      instanceId: this.self.instanceId,
      kind: 'entry',
      failureDomain: this.self.failureDomain,
      address: this.self.peerAddress,
      state,
    });
  }
}

/**
 * Discovers other instances from the hosting platform's instance list, and from the configured seed addresses in
 * case the list is unavailable.
 */
import type { Clock, DecisionLog, ManagedPart } from '@fighub/core';
import { LogCategory, errorFields, isFatalError } from '@fighub/core';
import type { MembersKnown, MemberUpdate } from '@fighub/decisions';
import { isCoordinator, isListed, listReadPeriodMs } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import type { InstanceList } from '@fighub/outside';

/** Interval between rounds once another instance is known. Each round pings the seed addresses without a live member. */
const ROUND_PERIOD_MS = 2_000;
/** Interval between rounds until the first other instance is found. */
const ALONE_ROUND_PERIOD_MS = 300;

/**
 * Periodically seeds the membership from the seed addresses and the instance list, and keeps this instance listed while
 * others may have to find it there.
 */
export class MemberDiscovery implements ManagedPart {
  readonly name = 'member discovery';
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private listReachable = true;
  private nextReadMs = Number.NEGATIVE_INFINITY;
  /** Since when this instance has known no other coordinator; undefined while it knows one. */
  private withoutCoordinatorSinceMs: number | undefined;

  constructor(
    private readonly list: InstanceList,
    private readonly seedAddresses: readonly string[],
    private readonly self: MemberUpdate,
    private readonly membership: MembershipRunner,
    private readonly clock: Clock,
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
    await Promise.all(
      [this.useList(), this.membership.seedAddresses(this.seedAddresses)].map((work) =>
        work.catch((error: unknown) => this.onUnexpected(error)),
      ),
    );
    if (this.stopped) return;
    const { knowsOthers } = this.membersKnown();
    this.timer = setTimeout(
      () => void this.runRound(),
      knowsOthers ? ROUND_PERIOD_MS : ALONE_ROUND_PERIOD_MS,
    );
  }

  /** The response of an instance of another release may lack what is read from it. The next round is made as usual. */
  private onUnexpected(error: unknown): void {
    if (isFatalError(error)) throw error;
    this.log.record(LogCategory.failure, 'discovery_error', errorFields(error));
  }

  private membersKnown(): MembersKnown {
    const nowMs = this.clock.monotonicMs();
    const others = this.membership.owners().filter((member) => member.instanceId !== this.self.instanceId);
    const knowsCoordinator = others.some(isCoordinator);
    this.withoutCoordinatorSinceMs = knowsCoordinator ? undefined : (this.withoutCoordinatorSinceMs ?? nowMs);
    return {
      isCoordinator: isCoordinator(this.self),
      knowsOthers: others.length > 0,
      knowsCoordinator,
      withoutCoordinatorMs: nowMs - (this.withoutCoordinatorSinceMs ?? nowMs),
    };
  }

  /** Renews the entry of this instance, if it is to be listed, and reads the list when that is due. */
  private async useList(): Promise<void> {
    const known = this.membersKnown();
    if (isListed(known)) await this.announce('live');
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.nextReadMs) return;
    // Rounds are timed a little late, which must not delay a read by a whole round.
    this.nextReadMs = nowMs + listReadPeriodMs(known) - ALONE_ROUND_PERIOD_MS;
    await this.readList();
  }

  private async readList(): Promise<void> {
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

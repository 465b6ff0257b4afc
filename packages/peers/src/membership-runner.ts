/** Runs the SWIM membership protocol over the connections between instances. */
import type { Metrics } from '@fighub/core';
import { runWhenRead } from '@fighub/core';
import type { Member, MemberUpdate } from '@fighub/decisions';
import { MemberState, Membership, updateOf } from '@fighub/decisions';

import type { PeerNode } from './peer-node.js';
import type { PingBody, TableDigest } from './peer-messages.js';

/** Settings of the membership protocol. */
export interface MembershipOptions {
  /** Mean time between two probes; each interval varies by up to 25 %. */
  readonly probePeriodMs: number;
  readonly probeTimeoutMs: number;
  /** Time from the suspicion of a member until it is declared dead. */
  readonly suspicionMs: number;
  /** Number of other members that are asked to probe a member that did not respond. */
  readonly indirectProbes: number;
}

/** Provides the table digest that pings carry, and receives the digests of peers. */
export interface PiggybackSource {
  tableDigest(): TableDigest;
  /** Called with the digest in each received ping and in each response to a ping. */
  onPeerTable(peer: MemberUpdate, digest: TableDigest): void;
}

/** An instance to ping so that it may become a member. */
export interface SeedCandidate {
  /** Empty when only the address is known. */
  readonly instanceId: string;
  readonly peerAddress: string;
}

/** Number of members that are asked to confirm that an instance is unreachable. */
const CONFIRMATION_PROBES = 4;
/** After this many responses in a row from instances that know other live members, the next one's list is fetched. */
const MAX_DIFFERING_RESPONSES = 4;
/** Maximum number of listed instances that one call to `seed` pings. */
const SEEDS_PER_ROUND = 4;

/** Probes members periodically and disseminates changes of their states. */
export class MembershipRunner {
  readonly membership: Membership;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private lastDisseminatedVersion = 0;
  /** Responses to pings in a row whose sender knows other live members. */
  private differingResponses = 0;

  constructor(
    private readonly self: MemberUpdate,
    private readonly options: MembershipOptions,
    private readonly node: PeerNode,
    private readonly piggyback: PiggybackSource,
    private readonly metrics: Metrics,
    private readonly random: () => number,
  ) {
    this.membership = new Membership(self, options.suspicionMs, random);
    node.onRequest('swim.ping', (body) => this.onPing(body));
    node.onRequest('swim.indirect', async (body) => ({ reached: await this.ping(body.targetAddress) }));
    node.onRequest('swim.members', () => ({ members: this.membership.owners().map(updateOf) }));
    node.onNotice('swim.update', (body) => this.membership.merge(body.updates, performance.now()));
  }

  start(): void {
    this.stopped = false;
    this.scheduleProbe();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /** Announces that this instance leaves: to a few peers at once, and to the others with the following pings. */
  leave(): void {
    this.membership.leave(performance.now());
    this.disseminateEagerly();
  }

  /**
   * Pings a few random listed instances that this instance does not count as live. Those that respond become
   * members.
   */
  async seed(candidates: readonly SeedCandidate[]): Promise<void> {
    const absent = candidates
      .filter((candidate) => candidate.instanceId !== this.self.instanceId)
      .filter((candidate) => !this.membership.isLive(candidate.instanceId))
      .map((candidate) => ({ candidate, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .slice(0, SEEDS_PER_ROUND);
    await Promise.all(absent.map(({ candidate }) => this.join(candidate)));
  }

  /** Pings the addresses at which no live member is known. Instances that respond there become members. */
  async seedAddresses(addresses: readonly string[]): Promise<void> {
    const known = new Set(this.membership.owners().map((member) => member.peerAddress));
    const unknown = addresses.filter((address) => !known.has(address));
    await Promise.all(unknown.map((peerAddress) => this.join({ instanceId: '', peerAddress })));
  }

  /**
   * Pings an instance and applies its list of all live members, so that a joining instance learns them at once.
   */
  private async join(candidate: SeedCandidate): Promise<void> {
    const known = this.membership.get(candidate.instanceId);
    if (await this.ping(candidate.peerAddress, known)) await this.fetchMembers(candidate.peerAddress);
  }

  private async fetchMembers(address: string): Promise<void> {
    const timeoutMs = this.options.probeTimeoutMs * 2;
    const answer = await this.node.request(address, 'swim.members', {}, timeoutMs);
    if (answer.ok) this.membership.mergeSnapshot(answer.value.members, performance.now());
  }

  /** Live members, which are alive or suspect, including this instance. Coordinators among them may own pools. */
  owners(): Member[] {
    return this.membership.owners();
  }

  private scheduleProbe(): void {
    const periodMs = this.options.probePeriodMs * (0.75 + this.random() / 2);
    const dueAtMs = performance.now() + periodMs;
    this.timer = setTimeout(() => runWhenRead(dueAtMs, () => this.probeAgain()), periodMs);
  }

  private probeAgain(): void {
    if (this.stopped) return;
    this.node.detach('swim.ping', this.probeOnce());
    this.scheduleProbe();
  }

  private async probeOnce(): Promise<void> {
    const declaredDead = this.membership.run(performance.now());
    if (declaredDead > 0) this.metrics.count('members_declared_dead', declaredDead);
    this.disseminateEagerlyOnChange();
    const target = this.membership.nextProbe();
    if (!target || target.state === MemberState.leaving) return;
    if (await this.ping(target.peerAddress, target)) return;
    if (target.state !== MemberState.alive) return;
    const helpers = this.membership.randomAliveMembers(target.instanceId, this.options.indirectProbes);
    const answers = await Promise.all(helpers.map((helper) => this.requestIndirectProbe(helper, target)));
    // A timed-out ping closes a silent connection, so that the second ping uses a new one. This distinguishes a
    // stale connection from a dead member.
    if (answers.includes(true) || (await this.ping(target.peerAddress, target))) return;
    this.metrics.count('members_suspected');
    this.membership.suspect(target.instanceId, performance.now());
  }

  /**
   * Asks other members whether they reach an instance. Undefined when the instance is unknown, or when none of the
   * members responds, in which case this instance may itself be cut off.
   */
  async isReachedByOthers(instanceId: string): Promise<boolean | undefined> {
    const target = this.membership.get(instanceId);
    if (!target) return undefined;
    const helpers = this.membership.randomAliveMembers(instanceId, CONFIRMATION_PROBES);
    const answers = await Promise.all(helpers.map((helper) => this.requestIndirectProbe(helper, target)));
    if (answers.includes(true)) return true;
    return answers.includes(false) ? false : undefined;
  }

  /** Asks the helper whether it reaches the target; undefined when the helper does not respond. */
  private async requestIndirectProbe(helper: Member, target: Member): Promise<boolean | undefined> {
    const timeoutMs = this.options.probeTimeoutMs * 2;
    const body = { targetAddress: target.peerAddress };
    const answer = await this.node.request(helper.peerAddress, 'swim.indirect', body, timeoutMs);
    return answer.ok ? answer.value.reached : undefined;
  }

  /**
   * Pings an address. Returns whether the target responded there or, without a target, whether any instance did.
   */
  private async ping(address: string, target?: MemberUpdate): Promise<boolean> {
    const body = this.pingBody(target);
    const answer = await this.node.request(address, 'swim.ping', body, this.options.probeTimeoutMs);
    if (!answer.ok) return false;
    this.membership.recordAnswer(answer.value.from, performance.now());
    this.applyPing(answer.value);
    this.compareMembers(address, answer.value.liveDigest);
    return target === undefined || target.instanceId === answer.value.from.instanceId;
  }

  /**
   * Fetches the members of a peer when others are known there than here for longer than a change takes to spread. This
   * finds updates that were lost, also those of members that no instance probes.
   */
  private compareMembers(address: string, liveDigest: number | undefined): void {
    const differs = liveDigest !== undefined && liveDigest !== this.membership.liveDigest;
    this.differingResponses = differs ? this.differingResponses + 1 : 0;
    if (this.differingResponses < MAX_DIFFERING_RESPONSES) return;
    this.differingResponses = 0;
    this.metrics.count('member_lists_fetched');
    this.node.detach('swim.members', this.fetchMembers(address));
  }

  private onPing(body: PingBody): PingBody {
    this.applyPing(body);
    return this.pingBody(this.membership.get(body.from.instanceId));
  }

  /**
   * Builds a ping or the response to one. It always includes the state that this instance has recorded for the
   * receiver, so that the receiver can refute a suspicion.
   */
  private pingBody(receiver?: MemberUpdate): PingBody {
    const self = this.membership.get(this.self.instanceId) ?? this.self;
    const updates = this.membership.takeUpdatesToSend();
    return {
      from: updateOf(self),
      updates: receiver ? [...updates, updateOf(receiver)] : updates,
      table: this.piggyback.tableDigest(),
      liveDigest: this.membership.liveDigest,
    };
  }

  private applyPing(body: PingBody): void {
    const nowMs = performance.now();
    this.membership.merge([body.from, ...body.updates], nowMs);
    this.piggyback.onPeerTable(body.from, body.table);
    this.disseminateEagerlyOnChange();
  }

  private disseminateEagerlyOnChange(): void {
    if (this.membership.version === this.lastDisseminatedVersion) return;
    this.lastDisseminatedVersion = this.membership.version;
    this.disseminateEagerly();
  }

  private disseminateEagerly(): void {
    const updates = this.membership.takeUpdatesToSend();
    const addresses = this.membership.neighbours().map((peer) => peer.peerAddress);
    this.node.notifyAll(addresses, 'swim.update', { updates });
  }
}

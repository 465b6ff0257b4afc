/**
 * SWIM-style membership as a pure state machine: probe order, suspicion with incarnations, and dissemination. Unlike in
 * SWIM, an instance probes its neighbours on a ring in place of random members.
 */
import { MemberRing } from './member-ring.js';

/**
 * States of a member. Between updates of the same incarnation, a later state in this list takes precedence.
 */
export const MemberState = { alive: 'alive', suspect: 'suspect', leaving: 'leaving', dead: 'dead' } as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** What the messages between instances contain about a member. */
export interface MemberUpdate {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly state: MemberState;
  /** Incremented only by the member itself, to refute a suspicion or to announce that it leaves. */
  readonly incarnation: number;
  /** False for an instance that owns no pools. Absent in messages of older releases, which all own pools. */
  readonly schedules?: boolean;
}

/** A member with the state that only this instance keeps about it. */
export interface Member extends MemberUpdate {
  /** Monotonic time when a suspect is declared dead. */
  readonly suspectUntilMs?: number;
  /** Monotonic time when a dead or leaving member is removed. */
  readonly forgetAtMs?: number;
  /** Number of further messages that will carry this member's update. */
  readonly spreadLeft: number;
}

const PRECEDENCE: Record<MemberState, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };
/** An update is carried by this many messages times the base-2 logarithm of the number of members. */
const DISSEMINATION_FACTOR = 2;
const MAX_UPDATES_PER_MESSAGE = 12;
/** A dead or leaving member is kept this long, so that an outdated update does not add it again as alive. */
const FORGET_AFTER_MS = 60_000;

/** The members that one instance knows, itself included. All times are monotonic, in milliseconds. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private readonly ring: MemberRing;
  /** Value of `changes` for which `ring` holds the live members. */
  private ringVersion = -1;
  private probeOrder: string[] = [];
  /** Members whose state differs between this instance and a peer, to be probed before the neighbours. */
  private readonly doubtedIds = new Set<string>();
  private changes = 0;

  /** A suspect is declared dead after `suspicionMs`; `random` returns values in [0, 1). */
  constructor(
    private readonly self: MemberUpdate,
    private readonly suspicionMs: number,
    private readonly random: () => number,
  ) {
    this.members.set(self.instanceId, { ...self, spreadLeft: 1 });
    this.ring = new MemberRing(self.instanceId);
  }

  /** Incremented whenever the state of a member changes, since that may change ownership. */
  get version(): number {
    return this.changes;
  }

  /** All known members, this instance included. */
  all(): Member[] {
    return [...this.members.values()];
  }

  get(instanceId: string): Member | undefined {
    return this.members.get(instanceId);
  }

  /**
   * Live members, which are alive or suspect. Coordinators among them may own pools, relays and chunks, and a suspect
   * remains an owner until it is declared dead.
   */
  owners(): Member[] {
    return this.all().filter(
      (member) => member.state === MemberState.alive || member.state === MemberState.suspect,
    );
  }

  /** Applies updates from a message or from the instance list. */
  merge(updates: readonly MemberUpdate[], nowMs: number): void {
    updates.forEach((update) => this.mergeOne(update, nowMs));
  }

  /**
   * Applies the complete list of the live members of another member. Members learned from it are already known there,
   * so they are not disseminated further. Those that are live on one side only are probed next.
   */
  mergeSnapshot(updates: readonly MemberUpdate[], nowMs: number): void {
    const known = new Set(this.members.keys());
    const listed = new Set(updates.map((update) => update.instanceId));
    const missing = this.otherLiveIds().filter((id) => !listed.has(id));
    this.merge(updates, nowMs);
    this.all()
      .filter((member) => !known.has(member.instanceId))
      .forEach((member) => this.members.set(member.instanceId, { ...member, spreadLeft: 0 }));
    const dead = [...listed].filter((id) => this.members.get(id)?.state === MemberState.dead);
    // In random order, so that the instances that are given the same list do not all begin with the same member.
    this.shuffled([...dead, ...missing]).forEach((id) => this.doubtedIds.add(id));
  }

  /** A digest of the ids of the live members. Instances that know the same live members have the same one. */
  get liveDigest(): number {
    return this.currentRing().setDigest;
  }

  /** The live members that this instance probes and notifies itself, its neighbours on the ring. */
  neighbours(): Member[] {
    return this.currentRing().neighbourIds.flatMap((id) => this.members.get(id) ?? []);
  }

  /** Number of members whose update still has to be disseminated. */
  get pendingUpdateCount(): number {
    return this.all().filter((member) => member.spreadLeft > 0).length;
  }

  /** Marks an alive member as suspect after its probe and the indirect probes got no response. */
  suspect(instanceId: string, nowMs: number): void {
    const member = this.members.get(instanceId);
    if (member?.state !== MemberState.alive) return;
    this.apply({ ...member, state: MemberState.suspect }, nowMs);
  }

  /**
   * Records that the member in `update` responded at its address. Any other member with that address is
   * declared dead: its process was replaced by one that listens on the same port.
   */
  recordAnswer(update: MemberUpdate, nowMs: number): void {
    this.mergeOne(update, nowMs);
    this.all()
      .filter(
        (member) => member.peerAddress === update.peerAddress && member.instanceId !== update.instanceId,
      )
      .filter((member) => !isDeadOrLeaving(member.state))
      .forEach((member) => this.apply({ ...member, state: MemberState.dead }, nowMs));
  }

  /** Marks this instance as leaving, under a new incarnation. */
  leave(nowMs: number): void {
    const self = this.members.get(this.self.instanceId) ?? { ...this.self, spreadLeft: 0 };
    this.apply({ ...self, state: MemberState.leaving, incarnation: self.incarnation + 1 }, nowMs);
  }

  /**
   * Declares suspects dead whose suspicion time has passed, and removes members that have been dead or leaving for
   * `FORGET_AFTER_MS`. Returns the number of members declared dead.
   */
  run(nowMs: number): number {
    this.all()
      .filter((member) => member.forgetAtMs !== undefined && member.forgetAtMs <= nowMs)
      .forEach((member) => this.members.delete(member.instanceId));
    const expired = this.all().filter(
      (member) => member.state === MemberState.suspect && (member.suspectUntilMs ?? 0) <= nowMs,
    );
    expired.forEach((member) => this.apply({ ...member, state: MemberState.dead }, nowMs));
    return expired.length;
  }

  /**
   * The next member to probe, or undefined when there is none: one whose state is in doubt, otherwise a neighbour. Each
   * round probes every neighbour once, in random order.
   */
  nextProbe(): Member | undefined {
    const [doubtedId] = this.doubtedIds;
    if (doubtedId !== undefined) {
      this.doubtedIds.delete(doubtedId);
      return this.members.get(doubtedId);
    }
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffled(this.currentRing().neighbourIds);
    const id = this.probeOrder.pop();
    return id === undefined ? undefined : this.members.get(id);
  }

  /** Whether this instance counts the given one as live, that is, alive or suspect. */
  isLive(instanceId: string): boolean {
    const state = this.members.get(instanceId)?.state;
    return state === MemberState.alive || state === MemberState.suspect;
  }

  /** Up to `count` random alive members other than this instance and `exceptId`, for example for indirect probes. */
  randomAliveMembers(exceptId: string, count: number): Member[] {
    return this.shuffled(this.otherLiveIds())
      .filter((id) => id !== exceptId)
      .map((id) => this.members.get(id))
      .filter((member) => member?.state === MemberState.alive)
      .slice(0, count) as Member[];
  }

  /**
   * Updates for the next message: those with the highest `spreadLeft`, and always that of this instance.
   * Each returned update counts as carried by one more message.
   */
  takeUpdatesToSend(): MemberUpdate[] {
    const chosen = this.all()
      .filter((member) => member.spreadLeft > 0)
      .sort((a, b) => b.spreadLeft - a.spreadLeft)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    chosen.forEach((member) =>
      this.members.set(member.instanceId, { ...member, spreadLeft: member.spreadLeft - 1 }),
    );
    const self = this.members.get(this.self.instanceId);
    const withSelf =
      self && !chosen.some((m) => m.instanceId === self.instanceId) ? [self, ...chosen] : chosen;
    return withSelf.map(updateOf);
  }

  private mergeOne(update: MemberUpdate, nowMs: number): void {
    if (update.instanceId === this.self.instanceId) {
      this.refute(update, nowMs);
      return;
    }
    const known = this.members.get(update.instanceId);
    if (!known || supersedes(update, known)) this.apply(update, nowMs);
  }

  private refute(update: MemberUpdate, nowMs: number): void {
    const self = this.members.get(this.self.instanceId);
    if (!self || update.incarnation < self.incarnation) return;
    const agrees = update.state === self.state && update.incarnation === self.incarnation;
    if (agrees) return;
    this.apply({ ...self, incarnation: update.incarnation + 1 }, nowMs);
  }

  private apply(update: MemberUpdate, nowMs: number): void {
    const known = this.members.get(update.instanceId);
    this.members.set(update.instanceId, {
      ...updateOf(update),
      suspectUntilMs: update.state === MemberState.suspect ? nowMs + this.suspicionMs : undefined,
      forgetAtMs: isDeadOrLeaving(update.state) ? nowMs + FORGET_AFTER_MS : undefined,
      spreadLeft: DISSEMINATION_FACTOR * Math.ceil(Math.log2(this.members.size + 2)),
    });
    if (known?.state !== update.state) this.changes += 1;
  }

  private currentRing(): MemberRing {
    if (this.ringVersion !== this.changes) {
      this.ringVersion = this.changes;
      this.ring.setOthers(this.otherLiveIds());
    }
    return this.ring;
  }

  private otherLiveIds(): string[] {
    return this.all()
      .filter((member) => member.instanceId !== this.self.instanceId && !isDeadOrLeaving(member.state))
      .map((member) => member.instanceId);
  }

  private shuffled(ids: readonly string[]): string[] {
    return ids
      .map((id) => ({ id, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .map((entry) => entry.id);
  }
}

function isDeadOrLeaving(state: MemberState): boolean {
  return state === MemberState.dead || state === MemberState.leaving;
}

function supersedes(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return PRECEDENCE[update.state] > PRECEDENCE[known.state];
}

/** The update that describes a member, without the state that only this instance keeps about it. */
export function updateOf(member: MemberUpdate): MemberUpdate {
  return {
    instanceId: member.instanceId,
    failureDomain: member.failureDomain,
    peerAddress: member.peerAddress,
    state: member.state,
    incarnation: member.incarnation,
    schedules: member.schedules,
  };
}

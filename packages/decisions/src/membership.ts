/** SWIM-style membership as a pure state machine: probing, suspicion with incarnations, dissemination. */

/** States of a member, in order of precedence at one incarnation. */
export const MemberState = { alive: 'alive', suspect: 'suspect', leaving: 'leaving', dead: 'dead' } as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** What is told about a member. */
export interface MemberUpdate {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly state: MemberState;
  readonly incarnation: number;
  /** False for an instance that owns no pools. Absent in messages of older releases, which all own pools. */
  readonly schedules?: boolean;
}

/** A member as this instance knows it. */
export interface Member extends MemberUpdate {
  /** When a suspect is declared dead, monotonic time. */
  readonly suspectUntilMs?: number;
  /** When a dead or left member is forgotten, monotonic time. */
  readonly forgetAtMs?: number;
  /** How many more messages carry this member's update. */
  readonly spreadLeft: number;
}

const PRECEDENCE: Record<MemberState, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };
const SPREAD_FACTOR = 2;
const MAX_UPDATES_PER_MESSAGE = 12;
const FORGET_AFTER_MS = 60_000;

/** The members that one instance knows, itself included. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private probeOrder: string[] = [];
  private changes = 0;

  constructor(
    private readonly self: MemberUpdate,
    private readonly suspicionMs: number,
    private readonly random: () => number,
  ) {
    this.members.set(self.instanceId, { ...self, spreadLeft: 1 });
  }

  /** Rises with each change that matters for ownership. */
  get version(): number {
    return this.changes;
  }

  /** All members, itself included. */
  all(): Member[] {
    return [...this.members.values()];
  }

  get(instanceId: string): Member | undefined {
    return this.members.get(instanceId);
  }

  /** Members that may own pools, relays and chunks. A suspect still owns until it is declared dead. */
  owners(): Member[] {
    return this.all().filter(
      (member) => member.state === MemberState.alive || member.state === MemberState.suspect,
    );
  }

  /** Takes in updates from a message or from the instance list. */
  merge(updates: readonly MemberUpdate[], nowMs: number): void {
    updates.forEach((update) => this.mergeOne(update, nowMs));
  }

  /** Takes in the whole list of another member. It is no news there, so it is not spread further. */
  mergeAll(updates: readonly MemberUpdate[], nowMs: number): void {
    const known = new Set(this.members.keys());
    this.merge(updates, nowMs);
    this.all()
      .filter((member) => !known.has(member.instanceId))
      .forEach((member) => this.members.set(member.instanceId, { ...member, spreadLeft: 0 }));
  }

  /** Updates that are still to be spread. */
  get updatesLeftToSpread(): number {
    return this.all().filter((member) => member.spreadLeft > 0).length;
  }

  /** Notes that a probe and its indirect probes had no answer. */
  suspect(instanceId: string, nowMs: number): void {
    const member = this.members.get(instanceId);
    if (member?.state !== MemberState.alive) return;
    this.apply({ ...member, state: MemberState.suspect }, nowMs);
  }

  /**
   * Notes that `update` answered at its address. Another member with that address is gone: its process was
   * replaced by one that listens on the same port.
   */
  answeredAt(update: MemberUpdate, nowMs: number): void {
    this.mergeOne(update, nowMs);
    this.all()
      .filter(
        (member) => member.peerAddress === update.peerAddress && member.instanceId !== update.instanceId,
      )
      .filter((member) => !isGone(member.state))
      .forEach((member) => this.apply({ ...member, state: MemberState.dead }, nowMs));
  }

  /** Announces that this instance leaves. */
  leave(nowMs: number): void {
    const self = this.members.get(this.self.instanceId) ?? { ...this.self, spreadLeft: 0 };
    this.apply({ ...self, state: MemberState.leaving, incarnation: self.incarnation + 1 }, nowMs);
  }

  /** Declares suspects dead whose time has run out, and forgets members that are long gone. Returns the new dead. */
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

  /** The next member to probe: each live one is probed once in a random round. */
  nextProbe(): Member | undefined {
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffledOthers();
    const id = this.probeOrder.pop();
    return id === undefined ? undefined : this.members.get(id);
  }

  /** Whether the instance counts as live here. */
  isLive(instanceId: string): boolean {
    const state = this.members.get(instanceId)?.state;
    return state === MemberState.alive || state === MemberState.suspect;
  }

  /** Random live members other than `exceptId`, for indirect probes. */
  helpers(exceptId: string, count: number): Member[] {
    return this.shuffledOthers()
      .filter((id) => id !== exceptId)
      .map((id) => this.members.get(id))
      .filter((member) => member?.state === MemberState.alive)
      .slice(0, count) as Member[];
  }

  /** Updates to put on the next message: those spread least so far, and always our own state. */
  updatesToSpread(): MemberUpdate[] {
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
      forgetAtMs: isGone(update.state) ? nowMs + FORGET_AFTER_MS : undefined,
      spreadLeft: SPREAD_FACTOR * Math.ceil(Math.log2(this.members.size + 2)),
    });
    if (known?.state !== update.state) this.changes += 1;
  }

  private shuffledOthers(): string[] {
    return this.all()
      .filter((member) => member.instanceId !== this.self.instanceId && !isGone(member.state))
      .map((member) => ({ id: member.instanceId, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .map((entry) => entry.id);
  }
}

function isGone(state: MemberState): boolean {
  return state === MemberState.dead || state === MemberState.leaving;
}

function supersedes(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return PRECEDENCE[update.state] > PRECEDENCE[known.state];
}

/** What is told about a member, without what only this instance keeps. */
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

/**
 * Chooses the instances that relay requests to replicas. Load that it answers: most instances, or all of a failure domain,
 * lose their paths to the replicas at once, and the few that are left carry the requests of all. Each instance that needs
 * relays uses a few of them, by rendezvous hashing, so that what is asked grows with the number of instances cut off.
 */
import { rankMembers } from './rendezvous.js';

/** A member that may relay requests. */
export interface RelayCandidate {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** What an instance answers when it is asked whether it relays requests. */
export interface RelayState {
  readonly available: boolean;
  /** Calls that it relays now, for all instances. */
  readonly openCalls: number;
}

/** Relays that are kept available. */
const WANTED_RELAYS = 3;
/** Members that are asked at the same time while fewer are available. */
const ASKED_AT_ONCE = 6;
const REFRESH_PERIOD_MS = 500;
/** The answer of a relay is used for this long. */
const STATE_LIFETIME_MS = 1_500;
/** A member that does not relay is asked again after this time. */
const ASK_AGAIN_MS = 2_000;
/** A relay in another failure domain counts as if it had this many more open calls. */
const REMOTE_PENALTY_CALLS = 4;

/** The last answer of a member, or the lack of one. */
interface KnownState extends RelayState {
  readonly atMs: number;
}

/** The relays of one instance. */
export class RelayChoice {
  private readonly states = new Map<string, KnownState>();
  private ranked: { readonly version: number; readonly ids: readonly string[] } | undefined;
  private readonly domains = new Map<string, string>();

  constructor(
    private readonly selfId: string,
    private readonly failureDomain: string,
  ) {}

  /** Replaces the members; does nothing if `version` is that of the last call. Some members follow each other closely. */
  setMembers(version: number, members: () => readonly RelayCandidate[]): void {
    if (this.ranked?.version === version) return;
    const others = members().filter(({ instanceId }) => instanceId !== this.selfId);
    this.domains.clear();
    others.forEach(({ instanceId, failureDomain }) => this.domains.set(instanceId, failureDomain));
    [...this.states.keys()].filter((id) => !this.domains.has(id)).forEach((id) => this.states.delete(id));
    this.ranked = { version, ids: rankMembers(this.selfId, [...this.domains.keys()]) };
  }

  /** The members to ask now whether they relay requests. */
  toAsk(nowMs: number): string[] {
    const ids = this.ranked?.ids ?? [];
    const available = ids.filter((id) => this.isAvailable(id, nowMs));
    const isDue = (id: string): boolean => this.isDue(id, nowMs);
    const others = available.length < WANTED_RELAYS ? ids.filter((id) => !available.includes(id)) : [];
    return [
      ...available.slice(0, WANTED_RELAYS).filter(isDue),
      ...others.filter(isDue).slice(0, ASKED_AT_ONCE),
    ];
  }

  /** The available relay with the fewest calls, none of `triedIds`; undefined if there is none. */
  choose(triedIds: readonly string[], nowMs: number): string | undefined {
    const available = (this.ranked?.ids ?? []).filter(
      (id) => this.isAvailable(id, nowMs) && !triedIds.includes(id),
    );
    return available
      .slice(0, WANTED_RELAYS)
      .reduce<string | undefined>(
        (best, id) => (best === undefined || this.costOf(id) < this.costOf(best) ? id : best),
        undefined,
      );
  }

  /** Records the answer of a member; undefined if it did not answer. */
  onState(instanceId: string, state: RelayState | undefined, nowMs: number): void {
    this.states.set(instanceId, { ...(state ?? { available: false, openCalls: 0 }), atMs: nowMs });
  }

  /** Records that a relay was given one call, or that one has ended. */
  onCall(instanceId: string, change: 1 | -1): void {
    const state = this.states.get(instanceId);
    if (state) this.states.set(instanceId, { ...state, openCalls: Math.max(0, state.openCalls + change) });
  }

  private isAvailable(instanceId: string, nowMs: number): boolean {
    return (
      this.states.get(instanceId)?.available === true && this.ageOf(instanceId, nowMs) < STATE_LIFETIME_MS
    );
  }

  private isDue(instanceId: string, nowMs: number): boolean {
    const periodMs = this.states.get(instanceId)?.available ? REFRESH_PERIOD_MS : ASK_AGAIN_MS;
    return this.ageOf(instanceId, nowMs) >= periodMs;
  }

  private ageOf(instanceId: string, nowMs: number): number {
    return nowMs - (this.states.get(instanceId)?.atMs ?? Number.NEGATIVE_INFINITY);
  }

  private costOf(instanceId: string): number {
    const isRemote = this.domains.get(instanceId) !== this.failureDomain;
    return (this.states.get(instanceId)?.openCalls ?? 0) + (isRemote ? REMOTE_PENALTY_CALLS : 0);
  }
}

/**
 * Remembers where resumable streams began, so that a stream which its caller takes up at another instance goes on where
 * its events fit together. Some members keep a copy for the instance that began the stream, which may fail.
 */
import { coordinatorsOf } from './coordinators.js';
import { rankMembers } from './rendezvous.js';

/** Where the events of a stream come from. Only replicas of the same service and software version may continue it. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** Whether a stream that began at `began` may go on at `at`: texts of different software versions do not fit together. */
export function canContinue(began: StreamOrigin, at: StreamOrigin): boolean {
  return began.service === at.service && began.softwareVersion === at.softwareVersion;
}

interface KeptOrigin {
  readonly origin: StreamOrigin;
  readonly forgetAtMs: number;
}

/** The oldest origins are dropped beyond this number. */
export const MAX_KEPT_ORIGINS = 100_000;
/** Period in which expired origins are removed. */
const CLEANUP_PERIOD_MS = 1_000;
/** Number of members that keep the origin of a stream. */
const KEEPERS_PER_STREAM = 2;
/**
 * Number of members that are asked for the origin of a stream. It is larger than `KEEPERS_PER_STREAM`, since members may
 * have come and gone after the stream began.
 */
const ASKED_PER_STREAM = 4;

/** Origins by the id of the caller's attempt that brought the first event. Times are monotonic. */
export class StreamOrigins {
  private readonly kept = new Map<string, KeptOrigin>();
  private nextCleanupMs = 0;

  get size(): number {
    return this.kept.size;
  }

  /** Keeps an origin until `forgetAtMs`. */
  add(requestId: string, origin: StreamOrigin, forgetAtMs: number): void {
    this.kept.delete(requestId);
    this.kept.set(requestId, { origin, forgetAtMs });
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAX_KEPT_ORIGINS && oldest !== undefined) this.kept.delete(oldest);
  }

  /** The origin of a stream, or undefined when it is not known, or no longer. */
  find(requestId: string, nowMs: number): StreamOrigin | undefined {
    const kept = this.kept.get(requestId);
    return kept && nowMs < kept.forgetAtMs ? kept.origin : undefined;
  }

  /** Removes expired origins, at most once per period. */
  run(nowMs: number): void {
    if (nowMs < this.nextCleanupMs) return;
    this.nextCleanupMs = nowMs + CLEANUP_PERIOD_MS;
    this.kept.forEach(({ forgetAtMs }, requestId) => {
      if (forgetAtMs <= nowMs) this.kept.delete(requestId);
    });
  }
}

/** A member of the fleet that may keep origins. */
interface Candidate {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly schedules?: boolean;
}

/** Ids of the members that keep the origin of a stream. */
export function keepersOf(requestId: string, members: readonly Candidate[]): string[] {
  return ranked(requestId, members).slice(0, KEEPERS_PER_STREAM);
}

/** Ids of the members to ask for the origin of a stream. */
export function membersToAsk(requestId: string, members: readonly Candidate[]): string[] {
  return ranked(requestId, members).slice(0, ASKED_PER_STREAM);
}

/**
 * Coordinators by their preference for a stream; all members when there is no coordinator. They are ranked by their addresses,
 * so that the keepers of a stream are the same after a restart, when they have the records of their earlier processes.
 */
function ranked(requestId: string, members: readonly Candidate[]): string[] {
  const coordinators = coordinatorsOf(members);
  const candidates = coordinators.length > 0 ? coordinators : members;
  const idByAddress = new Map(candidates.map(({ peerAddress, instanceId }) => [peerAddress, instanceId]));
  return rankMembers(requestId, [...idByAddress.keys()]).flatMap((address) => idByAddress.get(address) ?? []);
}

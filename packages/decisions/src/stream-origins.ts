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

/** A stream that a caller takes up. */
export interface ResumedStream {
  /** Id of the caller's attempt that brought the first event, if the caller names it. */
  readonly requestId?: string;
  /** Identifies what the caller asks for; see `requestDigest` in the serving package. */
  readonly requestDigest: string;
}

/** A stream that has begun. */
export interface BegunStream {
  readonly requestId: string;
  /** Absent in messages of older releases. */
  readonly requestDigest?: string;
  readonly origin: StreamOrigin;
}

/** What an instance knows about where a stream began. */
export interface KnownOrigin {
  /** Undefined if it is not known. */
  readonly origin?: StreamOrigin;
  /** Set if streams of the same request have begun at different origins, so that it is not certain which one is meant. */
  readonly isAmbiguous?: true;
}

interface KeptOrigin extends KnownOrigin {
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

/**
 * Origins by the attempt that brought the first event, and by what was asked for: not all callers name the attempt. Times are
 * monotonic.
 */
export class StreamOrigins {
  private readonly byAttempt = new Map<string, KeptOrigin>();
  private readonly byContent = new Map<string, KeptOrigin>();
  private nextCleanupMs = 0;

  /** Number of streams whose origins are kept. */
  get size(): number {
    return this.byAttempt.size;
  }

  /** Keeps an origin until `forgetAtMs`. */
  add({ requestId, requestDigest, origin }: BegunStream, forgetAtMs: number, nowMs: number): void {
    put(this.byAttempt, requestId, { origin, forgetAtMs });
    if (requestDigest === undefined) return;
    const other = valid(this.byContent.get(requestDigest), nowMs);
    put(this.byContent, requestDigest, {
      ...combineOrigins([{ origin }, other ?? {}]),
      forgetAtMs: Math.max(forgetAtMs, other?.forgetAtMs ?? 0),
    });
  }

  /** Where a stream began, as far as it is known here and its caller still waits. */
  find({ requestId, requestDigest }: ResumedStream, nowMs: number): KnownOrigin {
    const kept = requestId === undefined ? this.byContent.get(requestDigest) : this.byAttempt.get(requestId);
    const { origin, isAmbiguous } = valid(kept, nowMs) ?? {};
    return { origin, isAmbiguous };
  }

  /** Removes expired origins, at most once per period. */
  run(nowMs: number): void {
    if (nowMs < this.nextCleanupMs) return;
    this.nextCleanupMs = nowMs + CLEANUP_PERIOD_MS;
    [this.byAttempt, this.byContent].forEach((kept) =>
      kept.forEach(({ forgetAtMs }, key) => {
        if (forgetAtMs <= nowMs) kept.delete(key);
      }),
    );
  }
}

/** What several instances know together. None may have heard of all streams of a request. */
export function combineOrigins(known: readonly KnownOrigin[]): KnownOrigin {
  const [first, ...others] = known.flatMap(({ origin }) => origin ?? []);
  const isAmbiguous =
    known.some((each) => each.isAmbiguous) || others.some((other) => first && !canContinue(first, other));
  return isAmbiguous ? { isAmbiguous } : { origin: first };
}

function put(origins: Map<string, KeptOrigin>, key: string, kept: KeptOrigin): void {
  origins.delete(key);
  origins.set(key, kept);
  const [oldest] = origins.keys();
  if (origins.size > MAX_KEPT_ORIGINS && oldest !== undefined) origins.delete(oldest);
}

function valid(kept: KeptOrigin | undefined, nowMs: number): KeptOrigin | undefined {
  return kept && nowMs < kept.forgetAtMs ? kept : undefined;
}

/** A member of the fleet that may keep origins. */
interface Candidate {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly schedules?: boolean;
}

/** Ids of the members that keep the origin of a stream, by the digest of its request. */
export function keepersOf(requestDigest: string, members: readonly Candidate[]): string[] {
  return ranked(requestDigest, members).slice(0, KEEPERS_PER_STREAM);
}

/** Ids of the members to ask for the origin of a stream, by the digest of its request. */
export function membersToAsk(requestDigest: string, members: readonly Candidate[]): string[] {
  return ranked(requestDigest, members).slice(0, ASKED_PER_STREAM);
}

/**
 * Coordinators by their preference for a stream; all members when there is no coordinator. They are ranked by their addresses,
 * so that the keepers of a stream are the same after a restart, when they have the records of their earlier processes.
 */
function ranked(requestDigest: string, members: readonly Candidate[]): string[] {
  const coordinators = coordinatorsOf(members);
  const candidates = coordinators.length > 0 ? coordinators : members;
  const idByAddress = new Map(candidates.map(({ peerAddress, instanceId }) => [peerAddress, instanceId]));
  return rankMembers(requestDigest, [...idByAddress.keys()]).flatMap(
    (address) => idByAddress.get(address) ?? [],
  );
}

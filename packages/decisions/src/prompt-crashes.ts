/**
 * Finds the prompts that crash replicas. Load that it answers: requests that share one part of their prompts arrive
 * through all instances, and each replica that begins to respond to one of them crashes, with all of its streams.
 */
import type { BlockedPrompt, BlockedPrompts, JudgedRequest } from './blocked-prompts.js';

/** A request for a slot, as far as it tells about its prompt. */
export interface PromptedRequest extends JudgedRequest {
  readonly requestId: string;
}

/** What became known of a prompt. The values appear in logs. */
export const PromptFinding = {
  /** A replica crashed under a request with it. Requests with it run one at a time. */
  suspected: 'suspected',
  /** Requests with it are refused. */
  blocked: 'blocked',
} as const;
export type PromptFinding = (typeof PromptFinding)[keyof typeof PromptFinding];

/** Is told when a prompt is suspected or blocked. */
export type PromptReporter = (
  finding: PromptFinding,
  prompt: Omit<BlockedPrompt, 'untilMs'> & {
    readonly untilMs?: number;
    readonly replicaIds: readonly string[];
  },
) => void;

/** A stream that has brought this many events has shown that its prompt does not crash its replica. */
export const EVENTS_OF_SOUND_PROMPT = 8;

/** A part with which a request has run within this time is not suspected, unless replicas have crashed since. */
const SOUND_FOR_MS = 60_000;
/** A part is suspected again after this many crashes since a request with it has run, and this time without one. */
const CRASHES_DESPITE_SOUND = 3;
const QUIET_DESPITE_SOUND_MS = 2_000;
/** Crashed replicas after which a prompt is blocked, and how many of them ran its only request at that time. */
const REPLICAS_TO_BLOCK = 3;
const PROBES_TO_BLOCK = 2;
/** Different requests among those that crashed the replicas. One that comes again may crash them by itself. */
const REQUESTS_TO_BLOCK = 2;
/** A suspicion without another crash ends after this time. */
const SUSPICION_MS = 60_000;
/** Bounds of the memory, for callers that send ever different parts. */
const MAX_KNOWN_PARTS = 20_000;
const MAX_SUSPICIONS = 1_000;

/** What is known of a part with which a request has run. */
interface SoundPart {
  readonly soundAtMs: number;
  /** Replicas that have crashed under a request with it since then. */
  readonly crashedReplicaIds: Set<string>;
}

/** Parts of which one, or all together, may crash replicas. */
interface Suspicion {
  partIds: readonly string[];
  readonly replicaIds: Set<string>;
  /** Those of the replicas that crashed under a request that was let through as the only one. */
  readonly probeReplicaIds: Set<string>;
  /** The requests under which they crashed, by what their repeats share. */
  readonly requests: Set<string>;
  lastCrashAtMs: number;
  /** The request that is let through, until it has ended. */
  probeId: string | undefined;
  isBlocked: boolean;
}

/**
 * Relates crashes of replicas to the parts of the prompts that they ran. After a crash, the parts with which no request
 * has run lately are suspected together. Of the requests with a suspected part one at a time is let through: if it runs,
 * its parts are cleared; if it crashes another replica, only the parts that it shares with the earlier ones stay
 * suspected. After some such crashes, prompts with all parts that are left are blocked.
 */
export class PromptCrashes {
  private readonly soundParts = new Map<string, SoundPart>();
  private readonly suspicions = new Map<string, Suspicion>();
  private suspected = 0;

  constructor(
    private readonly blocked: BlockedPrompts,
    private readonly report: PromptReporter,
  ) {}

  /** Increases when prompts become suspected or blocked, here or at another instance. */
  get version(): number {
    return this.suspected + this.blocked.version;
  }

  /** Whether a request with these parts is refused. */
  isBlocked(sharedPartIds: readonly string[], nowMs: number): boolean {
    return this.blocked.find(sharedPartIds, nowMs) !== undefined;
  }

  /**
   * Lets the request through if it has no suspected part, or if no other request with one of them is pending; it is then the
   * only one until it has ended. `isPending` tells whether an earlier request still waits for a slot or runs.
   */
  tryStart(
    { requestId, sharedPartIds }: PromptedRequest,
    isPending: (requestId: string) => boolean,
    nowMs: number,
  ): boolean {
    const suspicions = this.suspicionsOf(sharedPartIds, nowMs);
    const isFree = ({ probeId }: Suspicion): boolean =>
      probeId === undefined || probeId === requestId || !isPending(probeId);
    if (!suspicions.every(isFree)) return false;
    suspicions.forEach((suspicion) => (suspicion.probeId = requestId));
    return true;
  }

  /** The requests that are let through and share a suspected part with this prompt. */
  probeIdsOf(sharedPartIds: readonly string[], nowMs: number): string[] {
    return this.suspicionsOf(sharedPartIds, nowMs).flatMap(({ probeId }) => probeId ?? []);
  }

  /** Whether the request is let through as the only one with a suspected part. */
  isProbe({ requestId, sharedPartIds }: PromptedRequest, nowMs: number): boolean {
    return this.suspicionsOf(sharedPartIds, nowMs).some(({ probeId }) => probeId === requestId);
  }

  /** Records that a request with these parts has run without a crash. */
  onSound(sharedPartIds: readonly string[], nowMs: number): void {
    const cleared = this.suspicionsOf(sharedPartIds, nowMs);
    sharedPartIds.forEach((partId) => this.recordSound(partId, nowMs));
    cleared.forEach((suspicion) => {
      const left = suspicion.partIds.filter((partId) => !sharedPartIds.includes(partId));
      this.narrow(suspicion, left, nowMs);
    });
    this.blocked.remove(sharedPartIds, nowMs);
  }

  /** Records that a replica crashed when it began to respond to the request. */
  onCrash(
    { requestId, requestDigest, sharedPartIds }: PromptedRequest,
    replicaId: string,
    nowMs: number,
  ): void {
    sharedPartIds.forEach((partId) => this.soundParts.get(partId)?.crashedReplicaIds.add(replicaId));
    const candidates = sharedPartIds.filter((partId) => !this.isSound(partId, nowMs));
    if (candidates.length === 0) return;
    const earlier = this.suspicionsOf(candidates, nowMs);
    const suspicion = earlier.length === 0 ? this.suspect(candidates, nowMs) : this.merge(earlier);
    const shared = suspicion.partIds.filter((partId) => candidates.includes(partId));
    if (!suspicion.replicaIds.has(replicaId) && suspicion.probeId === requestId)
      suspicion.probeReplicaIds.add(replicaId);
    suspicion.replicaIds.add(replicaId);
    suspicion.requests.add(requestDigest ?? requestId);
    suspicion.lastCrashAtMs = nowMs;
    this.narrow(suspicion, shared, nowMs);
    if (earlier.length === 0) this.announce(PromptFinding.suspected, suspicion);
    this.blockIfProven(suspicion, nowMs);
  }

  /** Records that a replica serves on after a connection to it broke, so that it has not crashed. */
  onReplicaServes(replicaId: string): void {
    this.soundParts.forEach(({ crashedReplicaIds }) => crashedReplicaIds.delete(replicaId));
    new Set(this.suspicions.values()).forEach((suspicion) => {
      suspicion.probeReplicaIds.delete(replicaId);
      if (!suspicion.replicaIds.delete(replicaId)) return;
      if (suspicion.replicaIds.size === 0 && !suspicion.isBlocked) this.drop(suspicion);
    });
  }

  /** State for the dump. */
  dump(nowMs: number): Record<string, unknown> {
    return {
      suspected: [...new Set(this.suspicions.values())].map(
        ({ replicaIds, probeReplicaIds, requests, ...suspicion }) => ({
          ...suspicion,
          replicaIds: [...replicaIds],
          probeReplicaIds: [...probeReplicaIds],
          requests: [...requests],
        }),
      ),
      blocked: this.blocked.active(nowMs),
    };
  }

  private isSound(partId: string, nowMs: number): boolean {
    const sound = this.soundParts.get(partId);
    if (!sound) return false;
    const quietMs = nowMs - sound.soundAtMs;
    if (sound.crashedReplicaIds.size >= CRASHES_DESPITE_SOUND) return quietMs < QUIET_DESPITE_SOUND_MS;
    return quietMs < SOUND_FOR_MS;
  }

  private recordSound(partId: string, nowMs: number): void {
    // Deleted first, so that the map stays in the order of the last use.
    this.soundParts.delete(partId);
    this.soundParts.set(partId, { soundAtMs: nowMs, crashedReplicaIds: new Set() });
    if (this.soundParts.size <= MAX_KNOWN_PARTS) return;
    const [leastRecent] = this.soundParts.keys();
    if (leastRecent !== undefined) this.soundParts.delete(leastRecent);
  }

  private suspicionsOf(partIds: readonly string[], nowMs: number): Suspicion[] {
    this.suspectBlocked(partIds, nowMs);
    if (this.suspicions.size === 0) return [];
    const found = new Set(partIds.flatMap((partId) => this.suspicions.get(partId) ?? []));
    const ended = [...found].filter((suspicion) => this.hasEnded(suspicion, nowMs));
    ended.forEach((suspicion) => {
      this.drop(suspicion);
      found.delete(suspicion);
    });
    return [...found];
  }

  /**
   * Suspects the parts of blocks, which another instance may have found: prompts with some of the parts may crash replicas
   * too, as may those with all of them when a block has ended.
   */
  private suspectBlocked(partIds: readonly string[], nowMs: number): void {
    this.blocked
      .sharing(partIds, nowMs)
      .filter((block) => !block.partIds.some((partId) => this.suspicions.has(partId)))
      .forEach((block) => {
        this.suspect(block.partIds, nowMs).isBlocked = true;
      });
  }

  private hasEnded({ isBlocked, partIds, lastCrashAtMs }: Suspicion, nowMs: number): boolean {
    if (isBlocked) return this.blocked.sharing(partIds, nowMs).length === 0;
    return nowMs - lastCrashAtMs >= SUSPICION_MS;
  }

  private suspect(partIds: readonly string[], nowMs: number): Suspicion {
    const suspicion: Suspicion = {
      partIds,
      replicaIds: new Set(),
      probeReplicaIds: new Set(),
      requests: new Set(),
      lastCrashAtMs: nowMs,
      probeId: undefined,
      isBlocked: false,
    };
    partIds.forEach((partId) => this.suspicions.set(partId, suspicion));
    if (this.suspicions.size > MAX_SUSPICIONS) this.dropLeastRecent();
    this.suspected += 1;
    return suspicion;
  }

  /** Joins suspicions that one request shares, since any of their parts may have caused its crash. */
  private merge(suspicions: readonly Suspicion[]): Suspicion {
    const [first, ...others] = suspicions as [Suspicion, ...Suspicion[]];
    others.forEach((other) => {
      first.partIds = [...first.partIds, ...other.partIds];
      other.probeReplicaIds.forEach((replicaId) => first.probeReplicaIds.add(replicaId));
      other.requests.forEach((request) => first.requests.add(request));
      first.probeId ??= other.probeId;
      other.replicaIds.forEach((replicaId) => first.replicaIds.add(replicaId));
      other.partIds.forEach((partId) => this.suspicions.set(partId, first));
    });
    return first;
  }

  private narrow(suspicion: Suspicion, partIds: readonly string[], nowMs: number): void {
    if (partIds.length === suspicion.partIds.length) return;
    const wasBlocked = this.isBlocked(suspicion.partIds, nowMs);
    suspicion.partIds
      .filter((partId) => !partIds.includes(partId))
      .forEach((partId) => this.suspicions.delete(partId));
    suspicion.partIds = partIds;
    if (wasBlocked && partIds.length > 0) this.block(suspicion, nowMs);
  }

  private blockIfProven(suspicion: Suspicion, nowMs: number): void {
    if (this.blocked.find(suspicion.partIds, nowMs)) return;
    const isProven =
      suspicion.replicaIds.size >= REPLICAS_TO_BLOCK &&
      suspicion.probeReplicaIds.size >= PROBES_TO_BLOCK &&
      suspicion.requests.size >= REQUESTS_TO_BLOCK;
    if (isProven || this.blocked.findEnded(suspicion.partIds, nowMs)) this.block(suspicion, nowMs);
  }

  private block(suspicion: Suspicion, nowMs: number): void {
    suspicion.isBlocked = true;
    const block = this.blocked.block(suspicion.partIds, nowMs);
    if (block) this.announce(PromptFinding.blocked, suspicion, block);
  }

  private announce(
    finding: PromptFinding,
    { partIds, replicaIds }: Suspicion,
    { untilMs, blockCount }: { untilMs?: number; blockCount: number } = { blockCount: 0 },
  ): void {
    this.report(finding, { partIds, replicaIds: [...replicaIds], untilMs, blockCount });
  }

  private drop(suspicion: Suspicion): void {
    suspicion.partIds.forEach((partId) => this.suspicions.delete(partId));
  }

  private dropLeastRecent(): void {
    const leastRecent = [...this.suspicions.values()].reduce((a, b) =>
      b.lastCrashAtMs < a.lastCrashAtMs ? b : a,
    );
    this.drop(leastRecent);
  }
}

/**
 * Finds single requests that crash replicas. Load that it answers: one caller sends the same request again and again, at
 * any instance, and each replica that runs it crashes, at its first event or at a later one. Sound requests share the
 * parts of its prompt, so that these say nothing.
 */
import type { BlockedPrompts } from './blocked-prompts.js';
import { partIdOfRequest } from './blocked-prompts.js';
import type { PromptReporter } from './prompt-crashes.js';
import { PromptFinding } from './prompt-crashes.js';

/** The run of a request under which its replica crashed. */
export interface CrashedRun {
  /** The same for all repeats of the request. */
  readonly requestDigest: string;
  readonly replicaId: string;
  /** When the slot was granted, in monotonic time. */
  readonly startedAtMs: number;
}

/** Crashes under repeats of a request after which they run one at a time, and after which they are refused. */
const CRASHES_TO_HOLD = 2;
const CRASHES_TO_BLOCK = 3;
/** A request that has not crashed another replica for this long is forgotten. */
const SUSPICION_MS = 3_600_000;
/** Bounds the memory when replicas crash under ever different requests. */
const MAX_SUSPECTS = 4_000;

/** A request under which replicas have crashed and that has not been completed since. */
interface Suspect {
  /**
   * The replicas, without those whose run began before an earlier crash was known: when several replicas are lost at the
   * same moment, with all their streams, only one counts.
   */
  readonly replicaIds: Set<string>;
  lastCrashAtMs: number;
  /** The repeat that is let through, until it has ended. */
  probeId: string | undefined;
}

/**
 * Counts the replicas that crash under repeats of a request, one after the other. Only a completed repeat clears it, since
 * a request may crash its replica at any event. Nothing is kept of requests under which no replica has crashed.
 */
export class RequestCrashes {
  /** The suspects, by digest, in the order of their last crashes. */
  private readonly suspects = new Map<string, Suspect>();

  constructor(
    private readonly blocked: BlockedPrompts,
    private readonly report: PromptReporter,
  ) {}

  /** Whether the repeat may run now: it is not suspected, or no other repeat of it is pending. */
  mayStart(
    requestDigest: string | undefined,
    requestId: string,
    isPending: (requestId: string) => boolean,
    nowMs: number,
  ): boolean {
    const probeId = this.heldSuspect(requestDigest, nowMs)?.probeId;
    return probeId === undefined || probeId === requestId || !isPending(probeId);
  }

  /** Lets the repeat through; further ones are held until it has ended if the request is suspected. */
  start(requestDigest: string | undefined, requestId: string, nowMs: number): void {
    const suspect = this.heldSuspect(requestDigest, nowMs);
    if (suspect) suspect.probeId = requestId;
  }

  /** Records that a repeat was completed. */
  onCompleted(requestDigest: string, nowMs: number): void {
    this.suspects.delete(requestDigest);
    this.blocked.remove([partIdOfRequest(requestDigest)], nowMs);
  }

  /** Records that a replica crashed while it ran the request. */
  onCrash({ requestDigest, replicaId, startedAtMs }: CrashedRun, nowMs: number): void {
    const known = this.suspectOf(requestDigest, nowMs);
    const suspect = known ?? { replicaIds: new Set<string>(), lastCrashAtMs: nowMs, probeId: undefined };
    if (known && (startedAtMs < known.lastCrashAtMs || known.replicaIds.has(replicaId))) return;
    suspect.replicaIds.add(replicaId);
    suspect.lastCrashAtMs = nowMs;
    // Deleted first, so that the map stays in the order of the last crashes.
    this.suspects.delete(requestDigest);
    this.suspects.set(requestDigest, suspect);
    if (this.suspects.size > MAX_SUSPECTS) this.dropLeastRecent();
    this.blockIfProven(requestDigest, suspect, nowMs);
  }

  /** Records that a replica serves on after a connection to it broke, so that it has not crashed. */
  onReplicaServes(replicaId: string): void {
    this.suspects.forEach(({ replicaIds }, requestDigest) => {
      if (replicaIds.delete(replicaId) && replicaIds.size === 0) this.suspects.delete(requestDigest);
    });
  }

  /** State for the dump: the requests under which more than one replica has crashed. */
  dump(): Record<string, unknown>[] {
    return [...this.suspects]
      .filter(([, { replicaIds }]) => replicaIds.size >= CRASHES_TO_HOLD)
      .map(([requestDigest, { replicaIds, ...suspect }]) => ({
        requestDigest,
        ...suspect,
        replicaIds: [...replicaIds],
      }));
  }

  private suspectOf(requestDigest: string, nowMs: number): Suspect | undefined {
    const suspect = this.suspects.get(requestDigest);
    if (!suspect || nowMs - suspect.lastCrashAtMs < SUSPICION_MS) return suspect;
    this.suspects.delete(requestDigest);
    return undefined;
  }

  private heldSuspect(requestDigest: string | undefined, nowMs: number): Suspect | undefined {
    if (requestDigest === undefined || this.suspects.size === 0) return undefined;
    const suspect = this.suspectOf(requestDigest, nowMs);
    return suspect && suspect.replicaIds.size >= CRASHES_TO_HOLD ? suspect : undefined;
  }

  /** A request whose block has ended is blocked again after one more crash. */
  private blockIfProven(requestDigest: string, { replicaIds }: Suspect, nowMs: number): void {
    const partIds = [partIdOfRequest(requestDigest)];
    const isProven = replicaIds.size >= CRASHES_TO_BLOCK || this.blocked.findEnded(partIds, nowMs);
    const block = isProven ? this.blocked.block(partIds, nowMs) : undefined;
    if (block || replicaIds.size === CRASHES_TO_HOLD)
      this.report(block ? PromptFinding.blocked : PromptFinding.suspected, {
        partIds,
        replicaIds: [...replicaIds],
        untilMs: block?.untilMs,
        blockCount: block?.blockCount ?? 0,
      });
  }

  private dropLeastRecent(): void {
    const [leastRecent] = this.suspects.keys();
    if (leastRecent !== undefined) this.suspects.delete(leastRecent);
  }
}

/**
 * Judges by the ends of attempts which requests crash replicas: those with one part in their prompts (`PromptCrashes`), and
 * single ones that come again (`RequestCrashes`). One crash makes both suspects.
 */
import type { BlockedPrompts, JudgedRequest } from './blocked-prompts.js';
import type { PromptReporter, PromptedRequest } from './prompt-crashes.js';
import { EVENTS_OF_SOUND_PROMPT, PromptCrashes } from './prompt-crashes.js';
import { AttemptEnd } from './replica-health.js';
import { RequestCrashes } from './request-crashes.js';

/** The end of one attempt at a replica. */
export interface EndedAttempt {
  readonly request: PromptedRequest;
  readonly replicaId: string;
  /** When the slot was granted, in monotonic time. */
  readonly startedAtMs: number;
  readonly end: AttemptEnd;
  /** Events that the attempt brought. */
  readonly events: number;
  /** Whether the replica had broken a connection before the attempt, and completed nothing that it started later. */
  readonly wasReplicaBroken: boolean;
}

/**
 * Reports of a replica's streams arrive from several instances. One that a stream was completed may have been on its way
 * when the replica crashed, but not for this long.
 */
const REPORT_DELAY_MS = 200;
/** Replicas with broken connections that are watched for signs that they serve on. */
const MAX_WATCHED_REPLICAS = 500;

/** What the owner of a pool concludes from crashes of its replicas. */
export class CrashSuspicions {
  private readonly prompts: PromptCrashes;
  private readonly requests: RequestCrashes;
  /** Replicas to which a connection broke, with the time of the last break. */
  private readonly brokenAtMs = new Map<string, number>();

  constructor(
    private readonly blocked: BlockedPrompts,
    report: PromptReporter,
  ) {
    this.prompts = new PromptCrashes(blocked, report);
    this.requests = new RequestCrashes(blocked, report);
  }

  /** Increases when prompts become suspected or blocked, here or at another instance. */
  get version(): number {
    return this.prompts.version;
  }

  /** Whether a request is refused. */
  isBlocked(request: JudgedRequest, nowMs: number): boolean {
    return this.blocked.refuses(request, nowMs);
  }

  /**
   * Lets the request through if nothing about it is suspected, or if no other request with the same suspicion is pending;
   * it is then the only one until it has ended. `isPending` tells whether an earlier request waits for a slot or runs.
   */
  tryStart(request: PromptedRequest, isPending: (requestId: string) => boolean, nowMs: number): boolean {
    const { requestId, requestDigest } = request;
    if (!this.requests.mayStart(requestDigest, requestId, isPending, nowMs)) return false;
    if (!this.prompts.tryStart(request, isPending, nowMs)) return false;
    this.requests.start(requestDigest, requestId, nowMs);
    return true;
  }

  /** The requests that are let through and share a suspected part with this prompt. */
  probeIdsOf(sharedPartIds: readonly string[], nowMs: number): string[] {
    return this.prompts.probeIdsOf(sharedPartIds, nowMs);
  }

  /** Whether the request is let through as the only one with a suspected part. */
  isProbe(request: PromptedRequest, nowMs: number): boolean {
    return this.prompts.isProbe(request, nowMs);
  }

  /** Records that a stream has brought enough events to show that the parts of its prompt are sound. */
  onProgress({ sharedPartIds }: PromptedRequest, nowMs: number): void {
    this.prompts.onSound(sharedPartIds, nowMs);
  }

  /**
   * Records how an attempt ended. Only a connection that broke is a sign that the request crashed the replica, and only at a
   * replica that did not break the connections of others before.
   */
  onEnd(attempt: EndedAttempt, nowMs: number): void {
    const { request, replicaId, end, events } = attempt;
    const { sharedPartIds, requestDigest } = request;
    const isCompleted = end === AttemptEnd.completed;
    const isBroken = end === AttemptEnd.broken;
    const isCrash = isBroken && !attempt.wasReplicaBroken;
    if (isCompleted) this.onReplicaServes(replicaId, nowMs);
    if (isBroken) this.watch(replicaId, nowMs);
    if (sharedPartIds.length > 0) {
      if (isCompleted || events >= EVENTS_OF_SOUND_PROMPT) this.prompts.onSound(sharedPartIds, nowMs);
      else if (isCrash) this.prompts.onCrash(request, replicaId, nowMs);
    }
    if (requestDigest === undefined) return;
    if (isCompleted) this.requests.onCompleted(requestDigest, nowMs);
    else if (isCrash) this.requests.onCrash({ ...attempt, requestDigest }, nowMs);
  }

  /** State for the dump. */
  dump(nowMs: number): Record<string, unknown> {
    return { ...this.prompts.dump(nowMs), suspectedRequests: this.requests.dump() };
  }

  /** Takes back what was concluded from a broken connection when its replica completes a request later. */
  private onReplicaServes(replicaId: string, nowMs: number): void {
    const brokenAtMs = this.brokenAtMs.get(replicaId);
    if (brokenAtMs === undefined || nowMs - brokenAtMs < REPORT_DELAY_MS) return;
    this.brokenAtMs.delete(replicaId);
    this.prompts.onReplicaServes(replicaId);
    this.requests.onReplicaServes(replicaId);
  }

  private watch(replicaId: string, nowMs: number): void {
    // Deleted first, so that the map stays in the order of the last breaks.
    this.brokenAtMs.delete(replicaId);
    this.brokenAtMs.set(replicaId, nowMs);
    if (this.brokenAtMs.size <= MAX_WATCHED_REPLICAS) return;
    const [leastRecent] = this.brokenAtMs.keys();
    if (leastRecent !== undefined) this.brokenAtMs.delete(leastRecent);
  }
}

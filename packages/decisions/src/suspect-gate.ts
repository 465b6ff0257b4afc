/**
 * Lets requests that may crash replicas run one at a time, and refuses those that do. Answers requests with a part, or single
 * ones, that end each replica that runs them.
 */
import type { Problem } from '@fighub/core';
import { notRun } from '@fighub/core';

import { PROMPT_BLOCKED } from './blocked-prompts.js';
import type { CrashSuspicions } from './crash-suspicions.js';
import type { SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import type { WaitingRequests } from './waiting-requests.js';

/** Refuses a request, which has not run. */
export type RefuseRequest = (request: SlotRequest, problem: Problem) => void;

/** Holds suspected requests in `WaitingRequests.suspects`. */
export class SuspectGate {
  /** Version of the suspicions by which the waiting requests were last checked. */
  private checkedVersion = 0;

  constructor(
    private readonly crashes: CrashSuspicions,
    private readonly waiting: WaitingRequests,
    /** Whether a request has a permit. */
    private readonly isRunning: (requestId: string) => boolean,
    private readonly refuse: RefuseRequest,
  ) {}

  /**
   * Whether the request may be queued; if it, or a part of its prompt, is suspected, it is then the only one that waits or
   * runs. An online request takes the place of a batch item that still waits for a slot.
   */
  tryStart(request: SlotRequest, nowMs: number): boolean {
    const isPending = (requestId: string): boolean =>
      this.waiting.isQueued(requestId) || this.isRunning(requestId);
    if (this.crashes.tryStart(request, isPending, nowMs)) return true;
    if (request.workClass === WorkClass.batch) return false;
    this.crashes
      .probeIdsOf(request.sharedPartIds, nowMs)
      .map((requestId) => this.waiting.batch.remove(requestId))
      .filter((item) => item !== undefined)
      .forEach((item) => this.waiting.suspects.push(item));
    return this.crashes.tryStart(request, isPending, nowMs);
  }

  /** After a crash, refuses the waiting requests that are blocked now, and holds those that are suspected. */
  checkWaiting(nowMs: number): void {
    if (this.crashes.version === this.checkedVersion) return;
    this.checkedVersion = this.crashes.version;
    const isAffected = (request: SlotRequest): boolean =>
      this.crashes.isBlocked(request, nowMs) || !this.tryStart(request, nowMs);
    const affected = [
      ...this.waiting.suspects.takeWhere(() => true),
      ...this.waiting.online.removeWhere(isAffected),
      ...this.waiting.batch.removeWhere(isAffected),
    ];
    affected.forEach((request) => {
      if (this.crashes.isBlocked(request, nowMs)) this.refuse(request, PROMPT_BLOCKED);
      else this.waiting.suspects.push(request);
    });
  }

  /** Refuses the held requests that would start too late, and removes and returns the next one that may be queued now. */
  takeNext(nowMs: number): SlotRequest | undefined {
    const { suspects } = this.waiting;
    if (suspects.size === 0) return undefined;
    const isOverdue = ({ workClass, startByMs, deadlineMs }: SlotRequest): boolean =>
      workClass === WorkClass.online && nowMs > (startByMs ?? deadlineMs);
    const detail = 'requests that may crash replicas run one at a time';
    suspects
      .takeWhere(isOverdue)
      .forEach((request) => this.refuse(request, notRun('deadline_unreachable', detail)));
    return suspects.takeFirst((request) => this.tryStart(request, nowMs));
  }
}

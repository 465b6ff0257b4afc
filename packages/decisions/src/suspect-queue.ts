/** Requests that wait until another one has shown whether a part of their prompts crashes replicas. */
import type { SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';

/** Waiting requests in the order of their arrival, online requests first. */
export class SuspectQueue {
  private waiting: SlotRequest[] = [];

  get size(): number {
    return this.waiting.length;
  }

  /** Number of waiting requests of a class of work. */
  sizeOf(workClass: WorkClass): number {
    return this.waiting.filter((request) => request.workClass === workClass).length;
  }

  has(requestId: string): boolean {
    return this.waiting.some((request) => request.requestId === requestId);
  }

  push(request: SlotRequest): void {
    if (request.workClass !== WorkClass.online) {
      this.waiting.push(request);
      return;
    }
    const at = this.waiting.findIndex((other) => other.workClass !== WorkClass.online);
    this.waiting.splice(at < 0 ? this.waiting.length : at, 0, request);
  }

  /** Removes and returns the first request that `matches` selects; undefined if there is none. */
  takeFirst(matches: (request: SlotRequest) => boolean): SlotRequest | undefined {
    const index = this.waiting.findIndex(matches);
    return index < 0 ? undefined : this.waiting.splice(index, 1)[0];
  }

  /** Removes and returns the requests that `matches` selects. */
  takeWhere(matches: (request: SlotRequest) => boolean): SlotRequest[] {
    if (this.waiting.length === 0) return [];
    const taken = new Set(this.waiting.filter(matches));
    if (taken.size > 0) this.waiting = this.waiting.filter((request) => !taken.has(request));
    return [...taken];
  }
}

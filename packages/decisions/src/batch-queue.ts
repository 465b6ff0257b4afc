/**
 * Batch items in the order of their due times. Items that can no longer be in time wait behind all others: when
 * more is due than fits, finishing some in time is worth more than finishing all late.
 */
import type { QueuedRequest } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';

/** A batch item that waits. */
export interface QueuedItem extends QueuedRequest {
  /** How long the rest of the item is expected to run, in milliseconds. */
  readonly expectedRunMs?: number;
}

/** Whether an item that starts now cannot be finished by its due time. */
export function isTooLate(item: QueuedItem, nowMs: number): boolean {
  return nowMs + (item.expectedRunMs ?? 0) > item.deadlineMs;
}

/** Two fair queues: items that can be in time, and those that are late. */
export class BatchQueue<T extends QueuedItem> {
  private readonly timely = new FairQueue<T>();
  private readonly late = new FairQueue<T>();
  private readonly weights = new Map<string, number>();

  get size(): number {
    return this.timely.size + this.late.size;
  }

  has(requestId: string): boolean {
    return this.timely.has(requestId) || this.late.has(requestId);
  }

  push(item: T, weight: number, nowMs: number): void {
    this.weights.set(item.organisation, weight);
    (isTooLate(item, nowMs) ? this.late : this.timely).push(item, weight);
  }

  /** Takes the next item that `admits` accepts, a late one only when no timely one is accepted. */
  takeNext(admits: (item: T) => boolean, nowMs: number): T | undefined {
    this.demote(nowMs);
    return this.timely.takeNext(admits) ?? this.late.takeNext(admits);
  }

  correct(organisation: string, deltaTokens: number): void {
    this.timely.correct(organisation, deltaTokens);
  }

  remove(requestId: string): T | undefined {
    return this.timely.remove(requestId) ?? this.late.remove(requestId);
  }

  removeWhere(matches: (item: T) => boolean): T[] {
    return [...this.timely.removeWhere(matches), ...this.late.removeWhere(matches)];
  }

  depths(): { organisation: string; waiting: number; servedVirtualTokens: number }[] {
    return [...this.timely.depths(), ...this.late.depths()];
  }

  private demote(nowMs: number): void {
    this.timely
      .removeWhere((item) => isTooLate(item, nowMs))
      .forEach((item) => this.late.push(item, this.weights.get(item.organisation) ?? 1));
  }
}

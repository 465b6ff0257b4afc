/**
 * Queue of batch items by deadline, in which overdue items wait behind all others. When there are more jobs than the
 * capacity allows, overdue items would otherwise take the slots of items that can still meet their deadlines.
 */
import type { QueuedRequest } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';

/** Two fair queues: one for items whose deadline is ahead, one for overdue items. */
export class BatchQueue<T extends QueuedRequest> {
  private readonly timely = new FairQueue<T>();
  private readonly overdue = new FairQueue<T>();
  private readonly weights = new Map<string, number>();

  /** Number of waiting items. */
  get size(): number {
    return this.timely.size + this.overdue.size;
  }

  /** Whether the item is in the queue. */
  has(requestId: string): boolean {
    return this.timely.has(requestId) || this.overdue.has(requestId);
  }

  /** Adds an item. `weight` is the current weight of its organisation. */
  push(item: T, weight: number): void {
    this.weights.set(item.organisation, weight);
    this.timely.push(item, weight);
  }

  /** Moves the items whose deadline has passed to the queue of overdue items, behind all others. */
  moveOverdue(nowMs: number): void {
    this.timely
      .removeWhere((item) => item.deadlineMs <= nowMs)
      .forEach((item) => this.overdue.push(item, this.weights.get(item.organisation) ?? 1));
  }

  /** Removes and returns the next item that `admits` accepts; an overdue one only when no other item is accepted. */
  takeNext(admits: (item: T) => boolean): T | undefined {
    return this.timely.takeNext(admits) ?? this.overdue.takeNext(admits);
  }

  /** Adjusts the charge of an organisation, in the queue of items that are not overdue. */
  correctCharge(organisation: string, deltaTokens: number): void {
    this.timely.correctCharge(organisation, deltaTokens);
  }

  /** Removes an item without charging its organisation; undefined when it is not in the queue. */
  remove(requestId: string): T | undefined {
    return this.timely.remove(requestId) ?? this.overdue.remove(requestId);
  }

  /** Removes and returns all items that `matches` selects. */
  removeWhere(matches: (item: T) => boolean): T[] {
    return [...this.timely.removeWhere(matches), ...this.overdue.removeWhere(matches)];
  }

  /** Number of waiting items and virtual time of each organisation; an organisation may be listed once per queue. */
  depths(): ReturnType<FairQueue<T>['depths']> {
    return [...this.timely.depths(), ...this.overdue.depths()];
  }
}

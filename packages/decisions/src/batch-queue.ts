/**
 * Queue of batch items, in which started items go before the others and late ones wait behind all others. When there
 * are more jobs than the capacity allows, progress would otherwise be spread over all items, so that they finish
 * together after their deadlines, and late items would take the slots of items that can still meet theirs.
 */
import type { QueuedRequest, Taken } from './fair-queue.js';
import { FairQueue, byDeadline } from './fair-queue.js';

/** A batch item that waits for a slot. */
export interface QueuedItem extends QueuedRequest {
  /** Tokens of the output that earlier runs have received; undefined when the item was not started. */
  readonly receivedTokens?: number;
}

/** The item with the most tokens received first; among items that were not started, the earliest deadline first. */
function byProgress(a: QueuedItem, b: QueuedItem): number {
  return (b.receivedTokens ?? 0) - (a.receivedTokens ?? 0) || byDeadline(a, b);
}

/** Two fair queues: one for items that are expected to meet their deadline, one for those that are left to be late. */
export class BatchQueue<T extends QueuedItem> {
  private readonly timely = new FairQueue<T>(byProgress);
  private readonly late = new FairQueue<T>(byProgress);
  private readonly weights = new Map<string, number>();

  /** Number of waiting items. */
  get size(): number {
    return this.timely.size + this.late.size;
  }

  /** Whether the item is in the queue. */
  has(requestId: string): boolean {
    return this.timely.has(requestId) || this.late.has(requestId);
  }

  /** Adds an item. `weight` is the current weight of its organisation. */
  push(item: T, weight: number): void {
    this.weights.set(item.organisation, weight);
    this.timely.push(item, weight);
  }

  /** Puts the items that `isLate` selects behind all others, and the others back. */
  setLate(isLate: (item: T) => boolean): void {
    const late = this.timely.removeWhere(isLate);
    const timely = this.late.removeWhere((item) => !isLate(item));
    late.forEach((item) => this.late.push(item, this.weightOf(item)));
    timely.forEach((item) => this.timely.push(item, this.weightOf(item)));
  }

  /** All waiting items. */
  all(): T[] {
    return [...this.timely.all(), ...this.late.all()];
  }

  /** As `takeNextWith`, for a decision without a result. */
  takeNext(admits: (item: T) => boolean): T | undefined {
    return this.timely.takeNext(admits) ?? this.late.takeNext(admits);
  }

  /**
   * Removes and returns the next item for which `choose` returns a result, with that result; a late one only when there
   * is none for any other item.
   */
  takeNextWith<C>(choose: (item: T) => C | undefined): Taken<T, C> | undefined {
    return this.timely.takeNextWith(choose) ?? this.late.takeNextWith(choose);
  }

  /** Adjusts the charge of an organisation, in the queue of items that are not late. */
  correctCharge(organisation: string, deltaTokens: number): void {
    this.timely.correctCharge(organisation, deltaTokens);
  }

  /** Removes an item without charging its organisation; undefined when it is not in the queue. */
  remove(requestId: string): T | undefined {
    return this.timely.remove(requestId) ?? this.late.remove(requestId);
  }

  /** Removes and returns all items that `matches` selects. */
  removeWhere(matches: (item: T) => boolean): T[] {
    return [...this.timely.removeWhere(matches), ...this.late.removeWhere(matches)];
  }

  /** Number of waiting items and virtual time of each organisation; an organisation may be listed once per queue. */
  depths(): ReturnType<FairQueue<T>['depths']> {
    return [...this.timely.depths(), ...this.late.depths()];
  }

  private weightOf({ organisation }: T): number {
    return this.weights.get(organisation) ?? 1;
  }
}

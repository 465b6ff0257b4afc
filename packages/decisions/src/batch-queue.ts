/**
 * Queue of batch items by deadline, in which late items wait behind all others. When there are more jobs than the
 * capacity allows, items that are late anyway would otherwise take the slots of items that can still meet their
 * deadlines, and all would finish a little late together.
 */
import type { QueuedRequest, Taken } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';

/** Two fair queues: one for items that may meet their deadline, one for items that cannot. */
export class BatchQueue<T extends QueuedRequest> {
  private readonly timely = new FairQueue<T>();
  private readonly late = new FairQueue<T>();
  private readonly weights = new Map<string, number>();

  /** Number of waiting items. */
  get size(): number {
    return this.timely.size + this.late.size;
  }

  /** The software versions that waiting items are bound to. */
  get boundVersions(): string[] {
    return [...new Set([...this.timely.boundVersions, ...this.late.boundVersions])];
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

  /** Moves the items that cannot meet their deadline behind all others. */
  moveLate(isLate: (item: T) => boolean): void {
    this.timely
      .removeWhere(isLate)
      .forEach((item) => this.late.push(item, this.weights.get(item.organisation) ?? 1));
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
}

/**
 * Batch items in the order of their due times; items that are overdue wait behind all others. Answers heaps of jobs
 * that are more than fits: overdue items would hold the places of those that can still be in time.
 */
import type { QueuedRequest } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';

/** Two fair queues: items that are not yet due, and overdue ones. */
export class BatchQueue<T extends QueuedRequest> {
  private readonly timely = new FairQueue<T>();
  private readonly overdue = new FairQueue<T>();
  private readonly weights = new Map<string, number>();

  get size(): number {
    return this.timely.size + this.overdue.size;
  }

  has(requestId: string): boolean {
    return this.timely.has(requestId) || this.overdue.has(requestId);
  }

  push(item: T, weight: number): void {
    this.weights.set(item.organisation, weight);
    this.timely.push(item, weight);
  }

  /** Moves items whose due time has passed behind the others. */
  moveOverdue(nowMs: number): void {
    this.timely
      .removeWhere((item) => item.deadlineMs <= nowMs)
      .forEach((item) => this.overdue.push(item, this.weights.get(item.organisation) ?? 1));
  }

  /** Takes the next item that `admits` accepts, an overdue one only when no other is accepted. */
  takeNext(admits: (item: T) => boolean): T | undefined {
    return this.timely.takeNext(admits) ?? this.overdue.takeNext(admits);
  }

  /** Corrects the estimate of what an organisation was served. */
  correct(organisation: string, deltaTokens: number): void {
    this.timely.correct(organisation, deltaTokens);
  }

  remove(requestId: string): T | undefined {
    return this.timely.remove(requestId) ?? this.overdue.remove(requestId);
  }

  removeWhere(matches: (item: T) => boolean): T[] {
    return [...this.timely.removeWhere(matches), ...this.overdue.removeWhere(matches)];
  }

  depths(): ReturnType<FairQueue<T>['depths']> {
    return [...this.timely.depths(), ...this.overdue.depths()];
  }
}

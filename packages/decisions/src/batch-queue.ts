/** Batch items in the order of their due times; items that are left to be late wait behind all others. */
import type { QueuedRequest } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';

/** A batch item that waits. */
export interface QueuedItem extends QueuedRequest {
  /** How long the rest of the item runs, in milliseconds. */
  readonly expectedRunMs?: number;
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

  push(item: T, weight: number): void {
    this.weights.set(item.organisation, weight);
    this.timely.push(item, weight);
  }

  /** Takes the next item that `admits` accepts, a late one only when no timely one is accepted. */
  takeNext(admits: (item: T) => boolean): T | undefined {
    return this.timely.takeNext(admits) ?? this.late.takeNext(admits);
  }

  /** Moves items between the queues so that exactly those in `late` wait behind. */
  setLate(late: ReadonlySet<string>): void {
    const back = this.late.removeWhere((item) => !late.has(item.requestId));
    const behind = this.timely.removeWhere((item) => late.has(item.requestId));
    back.forEach((item) => this.timely.push(item, this.weightOf(item)));
    behind.forEach((item) => this.late.push(item, this.weightOf(item)));
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

  all(): T[] {
    return [...this.timely.all(), ...this.late.all()];
  }

  depths(): { organisation: string; waiting: number; servedVirtualTokens: number }[] {
    return [...this.timely.depths(), ...this.late.depths()];
  }

  private weightOf(item: T): number {
    return this.weights.get(item.organisation) ?? 1;
  }
}

/**
 * Chooses which batch items are left to be late when more is due than fits. Answers jobs that come faster than the
 * slots beside online requests allow, for example after replicas were lost: in the order of deadlines alone all items
 * would finish a little late.
 */
import { orderedMap } from './ordered-map.js';
import { hashOf } from './string-hash.js';

/** A batch item that waits or runs. Times are monotonic milliseconds. */
export interface PlannedItem {
  readonly requestId: string;
  readonly deadlineMs: number;
  /** Expected time for which the rest of the item runs, without interruptions. */
  readonly expectedRunMs: number;
  /** A time that the rest of the item rarely exceeds. */
  readonly longRunMs: number;
}

/** Key of an item in the order of the remaining run times. */
interface LengthKey {
  readonly expectedRunMs: number;
  /** Pseudo-random, so that items of the same length are left out evenly over the jobs. */
  readonly draw: number;
  readonly position: number;
}

function compareLengths(a: LengthKey, b: LengthKey): number {
  return a.expectedRunMs - b.expectedRunMs || a.draw - b.draw || a.position - b.position;
}

/**
 * Ids of the items that are better late (the algorithm of Moore and Hodgson): in the order of deadlines, whenever the
 * work so far does not fit before a deadline, the longest item so far is left out. Among equals, as items that have not
 * started are, the choice is spread over the jobs and stays the same from call to call. An item that is not expected to finish in time by itself is left out at once. `slots` is the mean number of
 * slots that batch items get.
 */
export function chooseLateItems(
  items: readonly PlannedItem[],
  slots: number,
  nowMs: number,
): ReadonlySet<string> {
  const late = new Set<string>();
  const kept = orderedMap<LengthKey, PlannedItem>(compareLengths);
  let workMs = 0;
  [...items]
    .sort((a, b) => a.deadlineMs - b.deadlineMs)
    .forEach((item, position) => {
      const leftMs = item.deadlineMs - nowMs;
      if (item.longRunMs > leftMs) {
        late.add(item.requestId);
        return;
      }
      kept.set({ expectedRunMs: item.expectedRunMs, draw: hashOf(item.requestId), position }, item);
      workMs += item.expectedRunMs;
      if (workMs <= slots * leftMs) return;
      const longest = kept.maxKey();
      const leftOut = longest && kept.get(longest);
      if (!longest || !leftOut) return;
      kept.delete(longest);
      workMs -= leftOut.expectedRunMs;
      late.add(leftOut.requestId);
    });
  return late;
}

/** Time constant of the mean number of streams; several cycles of traffic that changes within seconds. */
const MEAN_TIME_CONSTANT_MS = 6_000;

/** Exponential moving average of a number of streams over time. */
export class MeanStreams {
  private mean: number | undefined;
  private latest = 0;
  private observedAtMs = 0;

  /** Records the present number of streams. */
  observe(streams: number, nowMs: number): void {
    this.mean = this.at(nowMs) ?? streams;
    this.latest = streams;
    this.observedAtMs = nowMs;
  }

  /** The mean at `nowMs`; undefined before the first observation. */
  at(nowMs: number): number | undefined {
    if (this.mean === undefined) return undefined;
    const weight = 1 - Math.exp((this.observedAtMs - nowMs) / MEAN_TIME_CONSTANT_MS);
    return this.mean + weight * (this.latest - this.mean);
  }
}

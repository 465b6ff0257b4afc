/**
 * Chooses which batch items are left to be late when more is due than fits. Answers heaps of jobs that come at
 * once beside bursts of online traffic: in plain due order every item of the heap ends a little late.
 */

/** A batch item that waits or runs. */
export interface PlannedItem {
  readonly requestId: string;
  readonly dueMs: number;
  /** How long the rest of it runs, in milliseconds. */
  readonly runMs: number;
}

/**
 * The items that are better late (Moore and Hodgson's rule): in due order, whenever the work so far does not fit
 * before the due time, the longest item so far is left out. `places` is the mean number of batch streams.
 */
export function chooseLateItems(
  items: readonly PlannedItem[],
  places: number,
  nowMs: number,
): ReadonlySet<string> {
  const late = new Set<string>();
  const kept: PlannedItem[] = [];
  let workMs = 0;
  const leaveOut = (item: PlannedItem): void => {
    late.add(item.requestId);
    workMs -= item.runMs;
    kept.splice(kept.indexOf(item), 1);
  };
  [...items]
    .sort((a, b) => a.dueMs - b.dueMs)
    .forEach((item) => {
      const leftMs = item.dueMs - nowMs;
      kept.push(item);
      workMs += item.runMs;
      if (item.runMs > leftMs) leaveOut(item);
      else if (workMs > leftMs * Math.max(1, places)) leaveOut(longest(kept));
    });
  return late;
}

function longest(items: readonly PlannedItem[]): PlannedItem {
  return items.reduce((best, item) => (item.runMs > best.runMs ? item : best));
}

const SMOOTHING_MS = 5_000;

/** Mean number of places that batch streams have while batch items wait. */
export class BatchPlaces {
  private mean: number | undefined;
  private updatedAtMs = 0;

  /** Takes in the present number of batch streams. */
  observe(streams: number, nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    if (this.mean === undefined) this.mean = streams;
    else this.mean += (streams - this.mean) * Math.min(1, elapsedMs / SMOOTHING_MS);
  }

  /** The mean, or `fallback` before the first observation. */
  meanOr(fallback: number): number {
    return this.mean ?? fallback;
  }
}

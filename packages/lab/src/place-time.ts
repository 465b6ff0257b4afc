/** How long the places of replicas were used, from what the replicas saw. */
import type { JournalEntry } from '@fighub/standins';

/** Place time by class of work, in milliseconds. */
export interface PlaceTime {
  readonly onlineMs: number;
  readonly batchMs: number;
  readonly totalMs: number;
}

/** Adds up the place time between two moments. */
export function placeTime(
  journal: readonly JournalEntry[],
  places: number,
  fromUnixMs: number,
  toUnixMs: number,
): PlaceTime {
  const usedMs = (isBatch: boolean): number =>
    journal
      .filter(
        (entry) => entry.requestId.startsWith('job-') === isBatch && entry.startedAtUnixMs !== undefined,
      )
      .reduce((sum, entry) => {
        const start = Math.max(fromUnixMs, entry.startedAtUnixMs ?? 0);
        const end = Math.min(toUnixMs, entry.endedAtUnixMs ?? toUnixMs);
        return sum + Math.max(0, end - start);
      }, 0);
  return { onlineMs: usedMs(false), batchMs: usedMs(true), totalMs: places * (toUnixMs - fromUnixMs) };
}

/** The part of the places that online work left free which batch work used. */
export function batchShareOfIdle(time: PlaceTime): number {
  return time.batchMs / Math.max(1, time.totalMs - time.onlineMs);
}

/** How long the places of replicas were used, from what the replicas saw. */
import type { JournalEntry } from '@fighub/standins';

import { percentile } from './online-load.js';

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

/** What the replicas saw of the online requests since a moment. */
export interface OnlineAtReplicas {
  /** Percentile 99 of the wait for a place inside the replica, in milliseconds. */
  readonly placeWaitP99Ms: number;
  readonly cachedFraction: number;
}

/** Sums up the online requests that the replicas received since `fromUnixMs`. */
export function onlineAtReplicas(journal: readonly JournalEntry[], fromUnixMs: number): OnlineAtReplicas {
  const online = journal.filter((e) => !e.requestId.startsWith('job-') && e.receivedAtUnixMs >= fromUnixMs);
  const waits = online
    .flatMap((entry) =>
      entry.startedAtUnixMs === undefined ? [] : [entry.startedAtUnixMs - entry.receivedAtUnixMs],
    )
    .sort((a, b) => a - b);
  return {
    placeWaitP99Ms: percentile(waits, 99),
    cachedFraction: online.filter((entry) => entry.cached).length / Math.max(1, online.length),
  };
}

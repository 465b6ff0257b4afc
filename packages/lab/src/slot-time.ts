/** Use of the slots of replicas, computed from the replicas' journals. */
import type { JournalEntry } from '@fighub/standins';

import { percentile } from './online-load.js';

/**
 * Slot time, summed over all slots, in milliseconds: how long online and batch work used slots, and how long all slots
 * together were available.
 */
export interface SlotTime {
  readonly onlineMs: number;
  readonly batchMs: number;
  readonly totalMs: number;
}

/** Sums the slot time between two points in time; `slots` is the number of slots of all replicas. */
export function measureSlotTime(
  journal: readonly JournalEntry[],
  slots: number,
  fromUnixMs: number,
  toUnixMs: number,
): SlotTime {
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
  return { onlineMs: usedMs(false), batchMs: usedMs(true), totalMs: slots * (toUnixMs - fromUnixMs) };
}

/** Fraction that batch work used of the slot time left over by online work. */
export function batchShareOfIdle(time: SlotTime): number {
  return time.batchMs / Math.max(1, time.totalMs - time.onlineMs);
}

/** Statistics of online requests, measured at the replicas. */
export interface OnlineReplicaStats {
  /** 99th percentile of the wait for a slot inside the replica, in milliseconds. */
  readonly slotWaitP99Ms: number;
  /** Fraction of the requests whose prompt prefix was in the replica's cache. */
  readonly cachedFraction: number;
}

/** Computes the statistics of the online requests that the replicas have received since `fromUnixMs`. */
export function onlineReplicaStats(journal: readonly JournalEntry[], fromUnixMs: number): OnlineReplicaStats {
  const online = journal.filter((e) => !e.requestId.startsWith('job-') && e.receivedAtUnixMs >= fromUnixMs);
  const waits = online
    .flatMap((entry) =>
      entry.startedAtUnixMs === undefined ? [] : [entry.startedAtUnixMs - entry.receivedAtUnixMs],
    )
    .sort((a, b) => a - b);
  return {
    slotWaitP99Ms: percentile(waits, 99),
    cachedFraction: online.filter((entry) => entry.cached).length / Math.max(1, online.length),
  };
}

/** Resource usage of an entry, read from its diagnostic dump. */
import type { Fleet, FleetEntry } from './fleet.js';

/**
 * Totals since the start of an entry, except `memoryBytes`, which is the present value, and `atMs`, which is the
 * monotonic time of the reading.
 */
export interface EntryUsage {
  /** Bytes sent to and received from peers. */
  readonly bytes: number;
  /** Messages sent to and received from peers. */
  readonly messages: number;
  readonly processorTimeMs: number;
  readonly memoryBytes: number;
  /** Reads and writes at the key-value service. */
  readonly serviceCalls: number;
  readonly atMs: number;
}

/** Reads the usage of one entry. Throws when its dump cannot be read. */
export async function readEntryUsage(fleet: Fleet, entry: FleetEntry): Promise<EntryUsage> {
  const dump = await fleet.admin(entry).dump();
  if (!dump.ok) throw new Error(dump.error.detail);
  const { counters } = dump.value.metrics as { counters: Record<string, number> };
  const { traffic } = dump.value.peers as { traffic: { bytesSent: number; bytesReceived: number } };
  const count = (name: string): number => counters[name] ?? 0;
  return {
    bytes: traffic.bytesSent + traffic.bytesReceived,
    messages: count('peer_messages_sent') + count('peer_messages_received'),
    processorTimeMs: dump.value.processorTimeMs as number,
    memoryBytes: dump.value.memoryBytes as number,
    serviceCalls: count('store_reads') + count('store_writes'),
    atMs: performance.now(),
  };
}

/** Increase of one total between two readings, summed over all entries. */
export function usageIncrease(
  before: readonly EntryUsage[],
  after: readonly EntryUsage[],
  pick: (reading: EntryUsage) => number,
): number {
  const sum = (readings: readonly EntryUsage[]): number => readings.reduce((total, r) => total + pick(r), 0);
  return sum(after) - sum(before);
}

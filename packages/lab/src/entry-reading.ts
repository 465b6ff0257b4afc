/** What an entry has spent, read from its dump. */
import type { Fleet, FleetEntry } from './fleet.js';

/** Totals since the start of an entry. */
export interface EntryReading {
  readonly bytes: number;
  readonly messages: number;
  readonly processorTimeMs: number;
  readonly memoryBytes: number;
  readonly serviceCalls: number;
  readonly atMs: number;
}

/** Reads one entry. */
export async function readEntry(fleet: Fleet, entry: FleetEntry): Promise<EntryReading> {
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

/** The difference of a total over all entries. */
export function spent(
  before: readonly EntryReading[],
  after: readonly EntryReading[],
  pick: (reading: EntryReading) => number,
): number {
  const sum = (readings: readonly EntryReading[]): number =>
    readings.reduce((total, r) => total + pick(r), 0);
  return sum(after) - sum(before);
}

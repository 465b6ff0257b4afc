/** Reconstructs the number of streams at each replica over time from log lines of many processes. */
import type { TraceLine } from './trace.js';

/** Numbers of streams in progress at one time. */
export interface Occupancy {
  readonly timeUnixMs: number;
  /** Number of streams by replica id. */
  readonly byReplica: ReadonlyMap<string, number>;
  /**
   * Number of streams by the owner that granted the slot, `direct` for instances that chose the replica themselves, or
   * an empty string if the log line holds no permit id.
   */
  readonly byGranter: ReadonlyMap<string, number>;
}

/** Numbers of streams over time. */
export interface OccupancyReport {
  readonly steps: readonly Occupancy[];
  /**
   * Number of log lines that the processes omitted to limit their log rate; the streams of these lines are not
   * counted.
   */
  readonly linesLeftOut: number;
}

interface Stream {
  readonly fromUnixMs: number;
  readonly toUnixMs: number;
  readonly replicaId: string;
  readonly granter: string;
}

/** Log events about ended streams. */
const STREAM_EVENTS: ReadonlySet<string> = new Set(['sent', 'send_failed', 'item_run']);
/** Second segment of the id of a permit that an instance has granted to itself. */
const DIRECT = 'direct';

/**
 * Counts the streams every `stepMs`, from the start of the first stream to the end of the last one. A log line about
 * an ended stream holds its duration, from which its start follows.
 */
export function occupancyOf(lines: readonly TraceLine[], stepMs: number): OccupancyReport {
  const streams = lines.filter((line) => STREAM_EVENTS.has(line.event)).flatMap(toStream);
  const linesLeftOut = lines.reduce((sum, line) => sum + numberOf(line.fields['leftOut']), 0);
  if (streams.length === 0) return { steps: [], linesLeftOut };
  const fromUnixMs = streams.reduce((least, stream) => Math.min(least, stream.fromUnixMs), Infinity);
  const toUnixMs = streams.reduce((most, stream) => Math.max(most, stream.toUnixMs), 0);
  const count = Math.ceil((toUnixMs - fromUnixMs) / stepMs);
  const steps = Array.from({ length: count }, (_, index) => sample(streams, fromUnixMs + index * stepMs));
  return { steps, linesLeftOut };
}

/** Formats one step as a line of text, with its time relative to `firstUnixMs`. */
export function formatOccupancy(step: Occupancy, firstUnixMs: number): string {
  const total = [...step.byReplica.values()].reduce((sum, streams) => sum + streams, 0);
  const at = `+${String(step.timeUnixMs - firstUnixMs)} ms`.padStart(10);
  return `${at}  ${String(total).padStart(4)} streams  ${listOf(step.byReplica)}  granted by ${listOf(step.byGranter)}`;
}

function toStream(line: TraceLine): Stream[] {
  const { replicaId, permitId, ranMs } = line.fields;
  if (typeof replicaId !== 'string' || typeof ranMs !== 'number') return [];
  const granter = typeof permitId === 'string' ? granterOf(permitId) : '';
  return [{ fromUnixMs: line.timeUnixMs - ranMs, toUnixMs: line.timeUnixMs, replicaId, granter }];
}

function granterOf(permitId: string): string {
  const [granter = '', kind] = permitId.split('/');
  return kind === DIRECT ? DIRECT : granter;
}

function sample(streams: readonly Stream[], timeUnixMs: number): Occupancy {
  const inProgress = streams.filter(
    (stream) => stream.fromUnixMs <= timeUnixMs && timeUnixMs < stream.toUnixMs,
  );
  return {
    timeUnixMs,
    byReplica: countBy(inProgress.map((stream) => stream.replicaId)),
    byGranter: countBy(inProgress.map((stream) => stream.granter)),
  };
}

function countBy(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  [...names].sort().forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}

function listOf(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name}=${String(count)}`).join(' ');
}

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}

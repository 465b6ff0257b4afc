/** Counts the streams at each replica over time from the lines about ended streams of many processes. */
import type { TraceLine } from './trace.js';

/** Streams at one time. */
export interface Occupancy {
  readonly timeUnixMs: number;
  /** By replica. */
  readonly byReplica: ReadonlyMap<string, number>;
  /** By who granted the place: an owner, or `direct` for instances that placed their requests alone. */
  readonly byGranter: ReadonlyMap<string, number>;
}

/** Streams over time, with what is missing. */
export interface OccupancyReport {
  readonly steps: readonly Occupancy[];
  /** Lines that the processes left out for their budget: streams that are not counted here. */
  readonly linesLeftOut: number;
}

interface Stream {
  readonly fromUnixMs: number;
  readonly toUnixMs: number;
  readonly replicaId: string;
  readonly granter: string;
}

const STREAM_EVENTS: ReadonlySet<string> = new Set(['sent', 'send_failed', 'item_run']);
const DIRECT = 'direct';

/** Samples the streams every `stepMs` from the first to the last line. */
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

/** One line of text for people. */
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
  const present = streams.filter((stream) => stream.fromUnixMs <= timeUnixMs && timeUnixMs < stream.toUnixMs);
  return {
    timeUnixMs,
    byReplica: countBy(present.map((stream) => stream.replicaId)),
    byGranter: countBy(present.map((stream) => stream.granter)),
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

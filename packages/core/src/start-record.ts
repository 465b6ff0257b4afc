/** What outlives a process: how often it was started, and how the processes before it ended. */
import { z } from 'zod';

import type { ProcessEnd } from './process-life.js';
import { EndReason, ProcessPhase } from './process-life.js';

const storedEnd = z.object({
  reason: z.string(),
  phase: z.string(),
  exitStatus: z.number().optional(),
  ranMs: z.number().optional(),
  atUnixMs: z.number().optional(),
});

/** The stored record of an instance name. Fields of other builds are dropped, and missing ones have defaults. */
export const startRecordSchema = z.object({
  /** Processes that were started under this name and recorded. */
  starts: z.number().int().nonnegative().default(0),
  /** Start of the last process, in Unix milliseconds. */
  startedUnixMs: z.number().default(0),
  /** Whether the last process has recorded its end. */
  hasEnded: z.boolean().default(false),
  /** Phase in which the last process wrote the record. */
  phase: z.string().default(ProcessPhase.loading),
  /** Number of ends by their reason. */
  ends: z.record(z.string(), z.number()).default({}),
  lastEnd: storedEnd.optional(),
  /** Lease under which the record is stored. */
  lease: z.union([z.number(), z.string()]).optional(),
});
export type StartRecord = z.output<typeof startRecordSchema>;

/** How an earlier process ended, as it is stored. */
export type StoredEnd = z.output<typeof storedEnd>;

/** Returns the record in `text`; undefined if there is none or it cannot be read. */
export function parseStartRecord(text: string | undefined): StartRecord | undefined {
  if (text === undefined) return undefined;
  try {
    return startRecordSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/**
 * The record of a process that has started, after the record of the one before. A process that has not recorded its end was killed, or
 * ended without being able to.
 */
export function recordOfStart(
  previous: StartRecord | undefined,
  startedUnixMs: number,
  phase: ProcessPhase,
): StartRecord {
  const isEndUnknown = previous !== undefined && !previous.hasEnded;
  const lastEnd = isEndUnknown ? { reason: EndReason.unknown, phase: previous.phase } : previous?.lastEnd;
  const ends = previous?.ends ?? {};
  return {
    starts: (previous?.starts ?? 0) + 1,
    startedUnixMs,
    hasEnded: false,
    phase,
    ends: isEndUnknown ? withEnd(ends, EndReason.unknown) : ends,
    ...(lastEnd ? { lastEnd } : {}),
  };
}

/** The record of a process that ends. */
export function recordOfEnd(record: StartRecord, end: ProcessEnd, atUnixMs: number): StartRecord {
  const { reason, phase, exitStatus, ranMs } = end;
  return {
    ...record,
    hasEnded: true,
    phase,
    ends: withEnd(record.ends, reason),
    lastEnd: { reason, phase, exitStatus, ranMs, atUnixMs },
  };
}

function withEnd(ends: Readonly<Record<string, number>>, reason: string): Record<string, number> {
  return { ...ends, [reason]: (ends[reason] ?? 0) + 1 };
}

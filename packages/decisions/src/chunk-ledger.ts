/**
 * State transitions of a chunk's ledger. They are pure: the caller writes the new ledger by compare-and-swap.
 */
import type { ChunkLedger, ItemAttempts, ItemResult } from '@fighub/core';
import { InvariantName, ItemStatus, checkInvariant } from '@fighub/core';

/** The initial ledger of a chunk that has never been leased. */
export function emptyLedger(itemCount: number): ChunkLedger {
  return {
    epoch: 0,
    holder: '',
    sequence: 0,
    itemCount,
    doneBitmap: Buffer.alloc(Math.ceil(itemCount / 8)).toString('base64'),
    doneCount: 0,
    failedCount: 0,
    attempts: [],
    startedOffsets: [],
    segments: [],
    released: true,
  };
}

/** Assigns the lease to `holder` under the next epoch. */
export function takeLease(ledger: ChunkLedger, holder: string): ChunkLedger {
  return { ...ledger, epoch: ledger.epoch + 1, holder, sequence: ledger.sequence + 1, released: false };
}

/** Extends the lease by advancing the sequence number; nothing else changes. */
export function renewLease(ledger: ChunkLedger): ChunkLedger {
  return { ...ledger, sequence: ledger.sequence + 1 };
}

/** Releases the lease, so that another instance can acquire it without waiting for it to expire. */
export function releaseLease(ledger: ChunkLedger): ChunkLedger {
  return { ...ledger, sequence: ledger.sequence + 1, released: true };
}

/** Records non-idempotent items as started. This is written before they are dispatched. */
export function markStarted(ledger: ChunkLedger, offsets: readonly number[]): ChunkLedger {
  return {
    ...ledger,
    sequence: ledger.sequence + 1,
    startedOffsets: [...new Set([...ledger.startedOffsets, ...offsets])],
  };
}

/** One commit: the results of a segment and the changed attempt counts of items that have not ended. */
export interface LedgerCommit {
  /** Index within the job of the chunk's first item. */
  readonly firstIndex: number;
  readonly results: readonly ItemResult[];
  /** Key of the segment that holds the results; absent when no segment is written. */
  readonly segment?: string;
  readonly attempts: readonly ItemAttempts[];
}

/** Applies a commit. Throws `InvariantError` when an item that has already ended is committed again. */
export function applyCommit(ledger: ChunkLedger, commit: LedgerCommit): ChunkLedger {
  const bitmap = Buffer.from(ledger.doneBitmap, 'base64');
  commit.results.forEach((result) => {
    const offset = result.index - commit.firstIndex;
    checkInvariant(InvariantName.itemCommittedOnce, !bitAt(bitmap, offset), () => ({ ledger, offset }));
    setBit(bitmap, offset);
  });
  const ended = new Set(commit.results.map((result) => result.index - commit.firstIndex));
  const changed = new Set(commit.attempts.map((entry) => entry.offset));
  const next: ChunkLedger = {
    ...ledger,
    sequence: ledger.sequence + 1,
    doneBitmap: bitmap.toString('base64'),
    doneCount: ledger.doneCount + commit.results.length,
    failedCount: ledger.failedCount + commit.results.filter((r) => r.status !== ItemStatus.succeeded).length,
    attempts: [...ledger.attempts.filter((entry) => !changed.has(entry.offset)), ...commit.attempts].filter(
      (entry) => !ended.has(entry.offset),
    ),
    startedOffsets: ledger.startedOffsets.filter((offset) => !ended.has(offset)),
    segments: commit.segment ? [...ledger.segments, commit.segment] : ledger.segments,
  };
  checkInvariant(InvariantName.countsAddUp, next.doneCount === countBits(bitmap), () => ({ ledger: next }));
  return next;
}

/** Offsets within the chunk of the items that have not ended. */
export function openOffsets(ledger: ChunkLedger): number[] {
  const bitmap = Buffer.from(ledger.doneBitmap, 'base64');
  return Array.from({ length: ledger.itemCount }, (_, offset) => offset).filter(
    (offset) => !bitAt(bitmap, offset),
  );
}

/** Whether all items of the chunk have ended. */
export function isComplete(ledger: ChunkLedger): boolean {
  return ledger.doneCount === ledger.itemCount;
}

function bitAt(bitmap: Buffer, offset: number): boolean {
  return ((bitmap[offset >> 3] ?? 0) & (1 << (offset & 7))) !== 0;
}

function setBit(bitmap: Buffer, offset: number): void {
  bitmap[offset >> 3] = (bitmap[offset >> 3] ?? 0) | (1 << (offset & 7));
}

function countBits(bitmap: Buffer): number {
  return Array.from({ length: bitmap.length * 8 }, (_, offset) => offset).filter((o) => bitAt(bitmap, o))
    .length;
}

/** Transitions of a chunk's ledger. Pure: the caller writes the result by compare-and-swap. */
import type { ChunkLedger, ItemAttempts, ItemResult } from '@fighub/core';
import { InvariantName, ItemStatus, checkInvariant } from '@fighub/core';

/** A ledger before its first lease. */
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

/** Takes the lease for `holder` with the next epoch. */
export function takeLease(ledger: ChunkLedger, holder: string): ChunkLedger {
  return { ...ledger, epoch: ledger.epoch + 1, holder, sequence: ledger.sequence + 1, released: false };
}

/** Extends the lease without other changes. */
export function renewLease(ledger: ChunkLedger): ChunkLedger {
  return { ...ledger, sequence: ledger.sequence + 1 };
}

/** Gives the lease back, so that another instance need not wait for it to lapse. */
export function releaseLease(ledger: ChunkLedger): ChunkLedger {
  return { ...ledger, sequence: ledger.sequence + 1, released: true };
}

/** Marks non-idempotent items as started before they are dispatched. */
export function markStarted(ledger: ChunkLedger, offsets: readonly number[]): ChunkLedger {
  return {
    ...ledger,
    sequence: ledger.sequence + 1,
    startedOffsets: [...new Set([...ledger.startedOffsets, ...offsets])],
  };
}

/** One commit: the results of a segment and the attempts that changed. */
export interface LedgerCommit {
  readonly firstIndex: number;
  readonly results: readonly ItemResult[];
  readonly segment?: string;
  readonly attempts: readonly ItemAttempts[];
}

/** Applies a commit. Each item may end only once. */
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

/** Offsets of items that have not ended. */
export function openOffsets(ledger: ChunkLedger): number[] {
  const bitmap = Buffer.from(ledger.doneBitmap, 'base64');
  return Array.from({ length: ledger.itemCount }, (_, offset) => offset).filter(
    (offset) => !bitAt(bitmap, offset),
  );
}

/** Whether all items have ended. */
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

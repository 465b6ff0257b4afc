/** Writes the records of several batch jobs in as few transactions as possible. */
import type { Outcome } from '@fighub/core';
import type { WriteSize } from '@fighub/decisions';
import { groupWrites } from '@fighub/decisions';
import type { RecordChange, RecordStore, TransactionError, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** Outcome of the transaction that contained a write; the records that it wrote, by key. */
export type JobWriteOutcome = Outcome<ReadonlyMap<string, Versioned<unknown>>, TransactionError>;

/** Changes of the records of one job, which are applied together. */
export interface JobWrite extends WriteSize {
  readonly changes: readonly RecordChange[];
  /** Called once, when it is known whether the changes were applied. */
  settle(outcome: JobWriteOutcome): void;
}

/** Errors of a transaction that may be due to only one of its writes. */
const ERRORS_OF_ONE_WRITE: ReadonlySet<StoreErrorKind> = new Set([
  StoreErrorKind.conflict,
  StoreErrorKind.tooLarge,
]);

/**
 * Makes all writes and settles each of them. If a transaction fails because of one write, its writes are repeated one by
 * one, so that jobs do not depend on each other.
 */
export async function writeTogether(store: RecordStore, writes: readonly JobWrite[]): Promise<void> {
  await Promise.all(groupWrites(writes).map((group) => writeGroup(store, group)));
}

async function writeGroup(store: RecordStore, group: readonly JobWrite[]): Promise<void> {
  const outcome = await store.transact(group.flatMap((write) => write.changes));
  if (group.length > 1 && !outcome.ok && ERRORS_OF_ONE_WRITE.has(outcome.error.kind)) {
    await Promise.all(group.map((write) => writeGroup(store, [write])));
    return;
  }
  group.forEach((write) => write.settle(outcome));
}

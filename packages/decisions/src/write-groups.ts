/**
 * Groups the writes of several batch jobs into transactions. Answers many small jobs at one holder, each of which would
 * otherwise commit single results and show by itself that its holder is active.
 */

/** What decides how many writes fit into one transaction. */
export interface WriteSize {
  /** Number of keys that the write changes. */
  readonly keys: number;
  /** Size of the values in bytes, roughly. */
  readonly bytes: number;
}

/** Maximum keys of a transaction. The store accepts 32 entries, and each changed key also has an expected revision. */
const MAX_KEYS = 16;
/** Maximum bytes of the values of a transaction with several writes. */
const MAX_BYTES = 1_000_000;

/** Splits writes into groups that each fit into one transaction. A write that is too large for any has its own. */
export function groupWrites<T extends WriteSize>(writes: readonly T[]): T[][] {
  const groups: T[][] = [];
  writes.forEach((write) => {
    const last = groups[groups.length - 1];
    if (last && fits([...last, write])) last.push(write);
    else groups.push([write]);
  });
  return groups;
}

function fits(writes: readonly WriteSize[]): boolean {
  const keys = writes.reduce((sum, write) => sum + write.keys, 0);
  const bytes = writes.reduce((sum, write) => sum + write.bytes, 0);
  return keys <= MAX_KEYS && bytes <= MAX_BYTES;
}

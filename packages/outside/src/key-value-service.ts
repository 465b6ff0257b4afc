/** The interface to the platform's key-value service. */
import type { Outcome } from '@fighub/core';

/** How a call to the service failed. */
export const StoreErrorKind = {
  /** The compare did not hold; `present` is what is stored. */
  conflict: 'conflict',
  /** The call had no effect. */
  unavailable: 'unavailable',
  /** A write whose answer was lost: it may have taken effect, or may still do so. */
  unknown: 'unknown',
  /** The value is larger than the service takes. */
  tooLarge: 'too_large',
} as const;
export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

/** One stored value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Rises with each change of any key; identifies this version of the value. */
  readonly revision: number;
}

/** A failed call. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  readonly present?: KeyValueEntry;
  /** For a transaction: all of its keys that exist. */
  readonly presentEntries?: readonly KeyValueEntry[];
}

/** One key of a transaction. */
export interface KeyChange {
  readonly key: string;
  /** The transaction has an effect only if each key is at its expected revision. */
  readonly expectedRevision: number;
  /** The new value; undefined deletes the key. */
  readonly value?: string;
  /** Set when the key is only compared. */
  readonly compareOnly?: boolean;
}

/** A change seen by a watch. `value` is undefined for a delete. */
export interface WatchEvent {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

/** A watch that runs until it is closed. */
export interface WatchHandle {
  close(): void;
}

/** Receives the events of a watch. */
export interface WatchListener {
  onEvent(event: WatchEvent): void;
  /** The watch ended: events may be missing until the keys are read again. */
  onEnd(): void;
}

/** Compare-and-swap storage with watches. Revision 0 stands for an absent key. */
export interface KeyValueService {
  get(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>>;
  /** Entries whose key starts with `prefix`, in key order, after `afterKey`, at most `limit`. */
  list(prefix: string, limit: number, afterKey?: string): Promise<Outcome<KeyValueEntry[], StoreError>>;
  /** Writes if the key's revision is `expectedRevision`. Returns the new revision. */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<Outcome<number, StoreError>>;
  /** Deletes if the key's revision is `expectedRevision`. */
  compareAndDelete(key: string, expectedRevision: number): Promise<Outcome<void, StoreError>>;
  /** Applies all changes or none. Returns the new revision of the written keys. */
  transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>>;
  watch(prefix: string, listener: WatchListener): WatchHandle;
}

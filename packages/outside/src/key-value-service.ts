/** The interface to the hosting platform's key-value service. */
import type { Outcome } from '@fighub/core';

/** Kind of failure of a call to the service. */
export const StoreErrorKind = {
  /** A key was not at its expected revision. `present` of the error is the stored entry. */
  conflict: 'conflict',
  /** The call had no effect. */
  unavailable: 'unavailable',
  /** No definite response to a write was received: the write may have taken effect, or may still do so. */
  unknown: 'unknown',
  /** The value is larger than the service accepts. */
  tooLarge: 'too_large',
} as const;
export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

/** A stored key with its value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Identifies this version of the value. The revision of the store increases with each change of any key. */
  readonly revision: number;
}

/** Error of a failed call. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  /** For conflicts: the stored entry of the key; absent when the key does not exist. */
  readonly present?: KeyValueEntry;
  /** For conflicts of a transaction: the stored entries of those of its keys that exist. */
  readonly presentEntries?: readonly KeyValueEntry[];
}

/** Condition and change of one key in a transaction. */
export interface KeyChange {
  readonly key: string;
  /**
   * Revision at which the key must be; 0 when it must be absent. The transaction takes effect only if this holds for
   * all of its keys.
   */
  readonly expectedRevision: number;
  /** The new value; undefined deletes the key. */
  readonly value?: string;
  /** True when the key is only compared and not changed. */
  readonly compareOnly?: boolean;
}

/** A change of a key that a watch reports. `value` is undefined when the key was deleted. */
export interface WatchEvent {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

/** Handle of a running watch. */
export interface WatchHandle {
  /** Ends the watch; `onEnd` is not called for it. */
  close(): void;
}

/** Receives the events of a watch. */
export interface WatchListener {
  onEvent(event: WatchEvent): void;
  /** The watch has ended without `close`. Events may be missing, so the receiver has to read the keys again. */
  onEnd(): void;
}

/** Compare-and-swap storage with watches. Revision 0 stands for an absent key. */
export interface KeyValueService {
  /** Reads one key; the value is undefined when the key is absent. */
  get(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>>;
  /** Reads the entries whose key starts with `prefix` and follows `afterKey`, in key order, at most `limit`. */
  list(prefix: string, limit: number, afterKey?: string): Promise<Outcome<KeyValueEntry[], StoreError>>;
  /** Writes `value` if the key's revision is `expectedRevision`. Returns the new revision. */
  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<Outcome<number, StoreError>>;
  /** Deletes the key if its revision is `expectedRevision`. */
  compareAndDelete(key: string, expectedRevision: number): Promise<Outcome<void, StoreError>>;
  /** Applies all changes or none. Returns the new revision, which all written keys have in common. */
  transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>>;
  /** Reports the changes of all keys that start with `prefix`, from now on. */
  watch(prefix: string, listener: WatchListener): WatchHandle;
}

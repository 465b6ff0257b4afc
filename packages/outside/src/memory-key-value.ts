/** An in-memory key-value service for tests, with faults that tests can set. */
import type { Outcome } from '@fighub/core';
import { fail, ok } from '@fighub/core';

import type {
  KeyChange,
  KeyValueEntry,
  KeyValueService,
  StoreError,
  WatchHandle,
  WatchListener,
} from './key-value-service.js';
import { StoreErrorKind } from './key-value-service.js';

interface Watcher {
  readonly prefix: string;
  readonly listener: WatchListener;
}

/** `KeyValueService` that keeps its entries in a map and injects the faults that are set in its fields. */
export class MemoryKeyValueService implements KeyValueService {
  private readonly entries = new Map<string, KeyValueEntry>();
  private readonly watchers = new Set<Watcher>();
  private revision = 0;
  /** While true, every call fails as unavailable and has no effect. */
  down = false;
  /** Number of upcoming writes that are applied but return `unknown`, as if the response had been lost. */
  responsesToLose = 0;
  /** Number of upcoming writes that return `unknown` and are applied only when `applyDelayed` is called. */
  writesToDelay = 0;
  /** Keys of all writes that were applied, in order. A transaction also adds the keys that it only compares. */
  readonly writtenKeys: string[] = [];
  private readonly delayedWrites: (() => void)[] = [];

  get(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>> {
    return Promise.resolve(this.down ? fail(unavailable()) : ok(this.entries.get(key)));
  }

  list(prefix: string, limit: number, afterKey = ''): Promise<Outcome<KeyValueEntry[], StoreError>> {
    if (this.down) return Promise.resolve(fail(unavailable()));
    const found = [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix) && entry.key > afterKey)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return Promise.resolve(ok(found.slice(0, limit)));
  }

  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<Outcome<number, StoreError>> {
    return Promise.resolve(
      this.write(new Map([[key, expectedRevision]]), () => {
        this.entries.set(key, { key, value, revision: this.revision });
        this.notify(key, value);
      }),
    );
  }

  transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>> {
    const expected = new Map(changes.map((change) => [change.key, change.expectedRevision]));
    const apply = (): void =>
      changes
        .filter((change) => !change.compareOnly)
        .forEach(({ key, value }) => {
          if (value === undefined) this.entries.delete(key);
          else this.entries.set(key, { key, value, revision: this.revision });
          this.notify(key, value);
        });
    return Promise.resolve(this.write(expected, apply));
  }

  async compareAndDelete(key: string, expectedRevision: number): Promise<Outcome<void, StoreError>> {
    const outcome = await Promise.resolve(
      this.write(new Map([[key, expectedRevision]]), () => {
        this.entries.delete(key);
        this.notify(key, undefined);
      }),
    );
    return outcome.ok ? ok(undefined) : outcome;
  }

  watch(prefix: string, listener: WatchListener): WatchHandle {
    const watcher = { prefix, listener };
    this.watchers.add(watcher);
    return { close: () => this.watchers.delete(watcher) };
  }

  /** Applies the delayed writes, except those whose keys are no longer at the expected revision. */
  applyDelayed(): void {
    this.delayedWrites.splice(0).forEach((apply) => apply());
  }

  private write(expected: ReadonlyMap<string, number>, apply: () => void): Outcome<number, StoreError> {
    if (this.down) return fail(unavailable());
    if (this.writesToDelay > 0) {
      this.writesToDelay -= 1;
      this.delayedWrites.push(() => this.applyIfUnchanged(expected, apply));
      return fail({ kind: StoreErrorKind.unknown, detail: 'no response to the write was received' });
    }
    const outcome = this.applyIfUnchanged(expected, apply);
    if (outcome.ok && this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      return fail({ kind: StoreErrorKind.unknown, detail: 'no response to the write was received' });
    }
    return outcome;
  }

  private applyIfUnchanged(
    expected: ReadonlyMap<string, number>,
    apply: () => void,
  ): Outcome<number, StoreError> {
    const changed = [...expected].find(([key, revision]) => this.revisionOf(key) !== revision);
    if (changed) {
      const presentEntries = [...expected.keys()].flatMap((key) => this.entries.get(key) ?? []);
      const present = this.entries.get(changed[0]);
      const detail = `${changed[0]} is not at its expected revision`;
      return fail({ kind: StoreErrorKind.conflict, detail, present, presentEntries });
    }
    this.revision += 1;
    this.writtenKeys.push(...expected.keys());
    apply();
    return ok(this.revision);
  }

  private revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  private notify(key: string, value: string | undefined): void {
    [...this.watchers]
      .filter((watcher) => key.startsWith(watcher.prefix))
      .forEach((watcher) => watcher.listener.onEvent({ key, value, revision: this.revision }));
  }
}

function unavailable(): StoreError {
  return { kind: StoreErrorKind.unavailable, detail: 'the key-value service is down' };
}

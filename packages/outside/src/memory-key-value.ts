/** A key-value service in memory, with faults that tests switch on. */
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

/** Keeps entries in a map. */
export class MemoryKeyValueService implements KeyValueService {
  private readonly entries = new Map<string, KeyValueEntry>();
  private readonly watchers = new Set<Watcher>();
  private revision = 0;
  /** While true every call fails without effect. */
  down = false;
  /** The next writes that take effect and whose answers are lost. */
  loseAnswers = 0;
  /** The next writes that are delayed: answered as unknown, applied when `applyDelayed` is called. */
  delayWrites = 0;
  readonly writtenKeys: string[] = [];
  private readonly delayed: (() => void)[] = [];

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

  /** Applies the delayed writes whose compare still holds. */
  applyDelayed(): void {
    this.delayed.splice(0).forEach((apply) => apply());
  }

  private write(expected: ReadonlyMap<string, number>, apply: () => void): Outcome<number, StoreError> {
    if (this.down) return fail(unavailable());
    if (this.delayWrites > 0) {
      this.delayWrites -= 1;
      this.delayed.push(() => this.applyIfUnchanged(expected, apply));
      return fail({ kind: StoreErrorKind.unknown, detail: 'the answer was lost' });
    }
    const outcome = this.applyIfUnchanged(expected, apply);
    if (outcome.ok && this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return fail({ kind: StoreErrorKind.unknown, detail: 'the answer was lost' });
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
      const detail = `${changed[0]} has changed`;
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
  return { kind: StoreErrorKind.unavailable, detail: 'the service is down' };
}

/**
 * Typed records in the key-value service: one client an instance with a budget of calls, a breaker and the
 * rule for lost answers. Each record carries the ids of its last writes, so that a write whose answer was
 * lost can be settled by reading back, even after others have written on top of it.
 */
import type { Clock, Metrics, Outcome } from '@fighub/core';
import { fail, newId, ok, sleep } from '@fighub/core';

import { CallGuard } from './call-guard.js';
import type {
  KeyChange,
  KeyValueEntry,
  KeyValueService,
  StoreError,
  WatchHandle,
  WatchListener,
} from './key-value-service.js';
import { StoreErrorKind } from './key-value-service.js';
import { CallBudget } from './call-budget.js';

/** A record with the revision that identifies this version of it. */
export interface Versioned<T> {
  readonly key: string;
  readonly revision: number;
  readonly value: T;
}

interface Envelope<T> {
  readonly writeIds: readonly string[];
  readonly value: T;
}

/** A refused or failed call. `present` is set for conflicts when the key exists. */
export interface RecordError<T> {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  readonly present?: Versioned<T>;
  /** The write took effect and was overwritten by another one before its answer was settled. */
  readonly appliedThenChanged?: boolean;
}

/** One record of a transaction. */
export interface RecordChange {
  readonly key: string;
  /** The record as it was read; undefined when it must not exist. */
  readonly previous?: Versioned<unknown>;
  /** The new value; undefined deletes the record. */
  readonly value?: unknown;
}

/** A transaction that was refused, or that may have been applied. */
export interface TransactionError {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  /** For conflicts: the records of the transaction that exist. */
  readonly present: readonly Versioned<unknown>[];
}

/** Settings of the store's client. */
export interface RecordStoreOptions {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** How long a call may take with retries, in milliseconds. */
  readonly deadlineMs: number;
}

/** Largest value that the service takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;
const KEPT_WRITE_IDS = 8;
const RETRY_PAUSE_MS = 50;
const FAILURES_TO_OPEN = 4;

/** The instance's only client of the key-value service. */
export class RecordStore {
  private readonly guard: CallGuard;
  private readonly reads: CallBudget;
  private readonly writes: CallBudget;
  private readonly pendingReads = new Map<string, Promise<Outcome<KeyValueEntry | undefined, StoreError>>>();
  private lastSuccessMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly service: KeyValueService,
    private readonly options: RecordStoreOptions,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly random: () => number = Math.random,
  ) {
    this.guard = new CallGuard(FAILURES_TO_OPEN, random);
    this.reads = new CallBudget(options.readsPerSecond, clock);
    this.writes = new CallBudget(options.writesPerSecond, clock);
  }

  /** Reads one record. Concurrent reads of a key share one call. */
  async read<T>(key: string): Promise<Outcome<Versioned<T> | undefined, StoreError>> {
    const shared = this.pendingReads.get(key) ?? this.startRead(key);
    const answer = await shared;
    if (!answer.ok) return answer;
    return ok(answer.value && toVersioned<T>(answer.value));
  }

  /** Reads records by key prefix, in key order. */
  async list<T>(
    prefix: string,
    limit: number,
    afterKey?: string,
  ): Promise<Outcome<Versioned<T>[], StoreError>> {
    const answer = await this.guarded('reads', this.reads, () => this.service.list(prefix, limit, afterKey));
    return answer.ok ? ok(answer.value.map((entry) => toVersioned<T>(entry))) : answer;
  }

  /** Reads all records by key prefix, page by page. */
  async listAll<T>(prefix: string, pageSize: number): Promise<Outcome<Versioned<T>[], StoreError>> {
    const collected: Versioned<T>[] = [];
    let page = await this.list<T>(prefix, pageSize);
    while (page.ok && page.value.length > 0) {
      collected.push(...page.value);
      if (page.value.length < pageSize) break;
      page = await this.list<T>(prefix, pageSize, page.value[page.value.length - 1]?.key);
    }
    return page.ok ? ok(collected) : page;
  }

  /**
   * Writes `value` if the record is still `previous` (undefined: absent). An unknown outcome is settled by
   * repeating the same compare and reading back the write id; `unknown` is returned only past the deadline.
   */
  async write<T>(
    key: string,
    previous: Versioned<T> | undefined,
    value: T,
  ): Promise<Outcome<Versioned<T>, RecordError<T>>> {
    const writeId = newId('w');
    const envelope = JSON.stringify({ writeIds: this.writeIdsFor(previous, writeId), value });
    if (Buffer.byteLength(envelope) > MAX_VALUE_BYTES) {
      return fail({ kind: StoreErrorKind.tooLarge, detail: `${key} is larger than the service takes` });
    }
    const deadlineMs = this.clock.monotonicMs() + this.options.deadlineMs;
    return this.writeSettled<T>(key, previous?.revision ?? 0, envelope, writeId, value, deadlineMs, false);
  }

  /**
   * Applies all changes or none. Lost answers are settled as in `write`: the same transaction is repeated, and
   * a conflict with our own write id means that it was applied. At least one change must have a value.
   */
  async transact(
    changes: readonly RecordChange[],
  ): Promise<Outcome<ReadonlyMap<string, Versioned<unknown>>, TransactionError>> {
    const writeId = newId('w');
    const encoded = changes.map((change) => this.toKeyChange(change, writeId));
    const deadlineMs = this.clock.monotonicMs() + this.options.deadlineMs;
    let unsettled = false;
    for (;;) {
      const outcome = await this.guarded('writes', this.writes, () => this.service.transact(encoded));
      if (outcome.ok) return ok(writtenRecords(changes, encoded, outcome.value));
      const { kind, detail } = outcome.error;
      if (kind === StoreErrorKind.conflict)
        return settleTransaction(outcome.error, changes, encoded, writeId);
      if (kind === StoreErrorKind.tooLarge) return fail({ kind, detail, present: [] });
      unsettled ||= kind === StoreErrorKind.unknown;
      if (kind === StoreErrorKind.unknown) this.metrics.count('store_answers_lost');
      if (this.clock.monotonicMs() + RETRY_PAUSE_MS >= deadlineMs) {
        const last = unsettled ? StoreErrorKind.unknown : StoreErrorKind.unavailable;
        return fail({ kind: last, detail, present: [] });
      }
      await sleep(RETRY_PAUSE_MS * (1 + this.random()));
    }
  }

  /** Deletes a record if it is still `previous`. A lost answer is repeated; an absent record is success. */
  async remove<T>(previous: Versioned<T>): Promise<Outcome<void, RecordError<T>>> {
    const outcome = await this.guarded('writes', this.writes, () =>
      this.service.compareAndDelete(previous.key, previous.revision),
    );
    if (outcome.ok) return ok(undefined);
    if (outcome.error.kind === StoreErrorKind.conflict && !outcome.error.present) return ok(undefined);
    return fail(toRecordError<T>(outcome.error));
  }

  /** Watches a prefix. The caller reads again after `onEnd`. */
  watch(prefix: string, listener: WatchListener): WatchHandle {
    this.metrics.count('store_watches');
    return this.service.watch(prefix, listener);
  }

  /** Parses the value of a watch event. */
  static parse<T>(key: string, value: string, revision: number): Versioned<T> {
    return toVersioned<T>({ key, value, revision });
  }

  /** State for the dump. */
  dump(): Record<string, unknown> {
    return { breaker: this.guard.dump(), lastAnsweredMs: this.lastSuccessMs, ...this.options };
  }

  private async writeSettled<T>(
    key: string,
    expectedRevision: number,
    envelope: string,
    writeId: string,
    value: T,
    deadlineMs: number,
    unsettled: boolean,
  ): Promise<Outcome<Versioned<T>, RecordError<T>>> {
    const outcome = await this.guarded('writes', this.writes, () =>
      this.service.compareAndSwap(key, expectedRevision, envelope),
    );
    if (outcome.ok) return ok(written(key, outcome.value, value, envelope));
    const error = outcome.error;
    if (error.kind === StoreErrorKind.conflict)
      return this.settleConflict(key, writeId, error, value, unsettled);
    if (error.kind === StoreErrorKind.tooLarge) return fail(toRecordError<T>(error));
    const nowUnsettled = unsettled || error.kind === StoreErrorKind.unknown;
    if (this.clock.monotonicMs() + RETRY_PAUSE_MS >= deadlineMs) {
      const kind = nowUnsettled ? StoreErrorKind.unknown : StoreErrorKind.unavailable;
      return fail({ kind, detail: error.detail });
    }
    if (error.kind === StoreErrorKind.unknown) this.metrics.count('store_answers_lost');
    await sleep(RETRY_PAUSE_MS * (1 + this.random()));
    return this.writeSettled(key, expectedRevision, envelope, writeId, value, deadlineMs, nowUnsettled);
  }

  private settleConflict<T>(
    key: string,
    writeId: string,
    error: StoreError,
    value: T,
    unsettled: boolean,
  ): Outcome<Versioned<T>, RecordError<T>> {
    const present = error.present;
    const position = present ? parseEnvelope<T>(present.value).writeIds.indexOf(writeId) : -1;
    if (present && position === 0) {
      this.metrics.count('store_answers_settled');
      return ok(written(key, present.revision, value, present.value));
    }
    if (position > 0) {
      const detail = `${key} was written and has changed since`;
      return fail({ ...toRecordError<T>(error), detail, appliedThenChanged: true });
    }
    if (unsettled) this.metrics.count('store_answers_settled');
    return fail(toRecordError<T>(error));
  }

  private toKeyChange(change: RecordChange, writeId: string): KeyChange {
    const { key, previous, value } = change;
    const expectedRevision = previous?.revision ?? 0;
    if (value === undefined) return { key, expectedRevision };
    const writeIds = this.writeIdsFor(previous, writeId);
    return { key, expectedRevision, value: JSON.stringify({ writeIds, value }) };
  }

  private writeIdsFor<T>(previous: Versioned<T> | undefined, writeId: string): string[] {
    const known = previous ? (writeIdsOf.get(previous) ?? []) : [];
    return [writeId, ...known].slice(0, KEPT_WRITE_IDS);
  }

  private startRead(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>> {
    const started = this.guarded('reads', this.reads, () => this.service.get(key)).finally(() =>
      this.pendingReads.delete(key),
    );
    this.pendingReads.set(key, started);
    return started;
  }

  private async guarded<T>(
    kind: 'reads' | 'writes',
    budget: CallBudget,
    call: () => Promise<Outcome<T, StoreError>>,
  ): Promise<Outcome<T, StoreError>> {
    if (!this.guard.admits(this.clock.monotonicMs())) {
      this.metrics.count('store_refused_by_breaker');
      return fail({ kind: StoreErrorKind.unavailable, detail: 'the breaker to the service is open' });
    }
    const admitted = await budget.take(this.options.deadlineMs);
    if (!admitted) {
      this.guard.observe(true, this.clock.monotonicMs());
      this.metrics.count('store_refused_by_budget');
      return fail({ kind: StoreErrorKind.unavailable, detail: 'the budget of calls is used up' });
    }
    this.metrics.count(`store_${kind}`);
    const startedMs = this.clock.monotonicMs();
    const outcome = await call();
    this.metrics.sample(`store_${kind}_ms`, this.clock.monotonicMs() - startedMs);
    const answered = outcome.ok || outcome.error.kind === StoreErrorKind.conflict;
    this.guard.observe(answered, this.clock.monotonicMs());
    if (answered) this.lastSuccessMs = this.clock.monotonicMs();
    else this.metrics.count('store_errors');
    return outcome;
  }
}

/** Write ids of records that were read, kept beside the record and not in it. */
const writeIdsOf = new WeakMap<object, readonly string[]>();

function parseEnvelope<T>(text: string): Envelope<T> {
  return JSON.parse(text) as Envelope<T>;
}

function written<T>(key: string, revision: number, value: T, envelope: string): Versioned<T> {
  const versioned = { key, revision, value };
  writeIdsOf.set(versioned, parseEnvelope<T>(envelope).writeIds);
  return versioned;
}

function toVersioned<T>(entry: KeyValueEntry): Versioned<T> {
  const envelope = parseEnvelope<T>(entry.value);
  const versioned = { key: entry.key, revision: entry.revision, value: envelope.value };
  writeIdsOf.set(versioned, envelope.writeIds);
  return versioned;
}

function writtenRecords(
  changes: readonly RecordChange[],
  encoded: readonly KeyChange[],
  revision: number,
): ReadonlyMap<string, Versioned<unknown>> {
  return new Map(
    changes.flatMap(({ key, value }, index) => {
      const envelope = encoded[index]?.value;
      return envelope === undefined ? [] : [[key, written(key, revision, value, envelope)] as const];
    }),
  );
}

function settleTransaction(
  error: StoreError,
  changes: readonly RecordChange[],
  encoded: readonly KeyChange[],
  writeId: string,
): Outcome<ReadonlyMap<string, Versioned<unknown>>, TransactionError> {
  const entries = error.presentEntries ?? [];
  const own = entries.find((entry) => parseEnvelope(entry.value).writeIds[0] === writeId);
  if (own) return ok(writtenRecords(changes, encoded, own.revision));
  const present = entries.map((entry) => toVersioned<unknown>(entry));
  return fail({ kind: StoreErrorKind.conflict, detail: error.detail, present });
}

function toRecordError<T>(error: StoreError): RecordError<T> {
  return {
    kind: error.kind,
    detail: error.detail,
    present: error.present && toVersioned<T>(error.present),
  };
}

/**
 * Typed records in the key-value service. Each instance has one client, with rate limits and a circuit breaker. Each
 * record carries the ids of its last writes. When the response to a write is lost, they show whether the write was
 * applied, even after another client has written a newer version.
 */
import type { Clock, Metrics, Outcome } from '@fighub/core';
import { fail, newId, ok, sleep } from '@fighub/core';

import { CircuitBreaker } from './circuit-breaker.js';
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
import { parseJson } from './json.js';

/** A record with the revision that identifies this version of it. */
export interface Versioned<T> {
  readonly key: string;
  readonly revision: number;
  readonly value: T;
}

/** The stored form of a record. */
interface Envelope<T> {
  /** Ids of the last writes, the newest first. */
  readonly writeIds: readonly string[];
  readonly value: T;
}

/** Error of a refused or failed call. `present` is set for conflicts when the key exists. */
export interface RecordError<T> {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  readonly present?: Versioned<T>;
  /** True when the write was applied, but another write replaced its value before the outcome was known. */
  readonly appliedThenChanged?: boolean;
}

/** Change of one record in a transaction. */
export interface RecordChange {
  readonly key: string;
  /** The version that must still be stored; undefined when the record must not exist. */
  readonly previous?: Versioned<unknown>;
  /** The new value; undefined deletes the record. */
  readonly value?: unknown;
}

/** Error of a failed transaction. When `kind` is `unknown`, it may have been applied. */
export interface TransactionError {
  readonly kind: StoreErrorKind;
  readonly detail: string;
  /** For conflicts: the records of the transaction that exist. */
  readonly present: readonly Versioned<unknown>[];
  /** True when the transaction was applied, but all of its records were replaced before the outcome was known. */
  readonly appliedThenChanged?: boolean;
}

/** Settings of the client. */
export interface RecordStoreOptions {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** Time after which a failed write is not retried, and longest wait of a call for the rate limit, in milliseconds. */
  readonly deadlineMs: number;
}

/** Largest value that the service accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;
/**
 * Number of write ids that each record keeps. After this many newer writes, a write whose response was lost can no
 * longer be recognised as applied.
 */
const KEPT_WRITE_IDS = 8;
const RETRY_PAUSE_MS = 50;
const BREAKER_FAILURE_THRESHOLD = 4;

/** Client of the key-value service. */
export class RecordStore {
  private readonly breaker: CircuitBreaker;
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
    this.breaker = new CircuitBreaker(BREAKER_FAILURE_THRESHOLD, random);
    this.reads = new CallBudget(options.readsPerSecond, clock);
    this.writes = new CallBudget(options.writesPerSecond, clock);
  }

  /**
   * Reads one record; the value is undefined when it is absent. Concurrent reads of a key share one call. Fails as `unavailable` when the
   * record is malformed.
   */
  async read<T>(key: string): Promise<Outcome<Versioned<T> | undefined, StoreError>> {
    const shared = this.pendingReads.get(key) ?? this.startRead(key);
    const outcome = await shared;
    if (!outcome.ok) return outcome;
    if (!outcome.value) return ok(undefined);
    const record = parseRecord<T>(outcome.value);
    if (record) return ok(record);
    this.metrics.count('store_records_malformed');
    return fail({ kind: StoreErrorKind.unavailable, detail: `the record ${key} is malformed` });
  }

  /**
   * Reads at most `limit` records whose key starts with `prefix` and follows `afterKey`, in key order. Those whose value is malformed are
   * left out.
   */
  async list<T>(
    prefix: string,
    limit: number,
    afterKey?: string,
  ): Promise<Outcome<Versioned<T>[], StoreError>> {
    const page = await this.listEntries(prefix, limit, afterKey);
    return page.ok ? ok(this.toRecords<T>(page.value)) : page;
  }

  /** Reads all records whose key starts with `prefix`, in pages of `pageSize` records. Malformed ones are left out. */
  async listAll<T>(prefix: string, pageSize: number): Promise<Outcome<Versioned<T>[], StoreError>> {
    const collected: KeyValueEntry[] = [];
    let page = await this.listEntries(prefix, pageSize);
    while (page.ok && page.value.length > 0) {
      collected.push(...page.value);
      if (page.value.length < pageSize) break;
      page = await this.listEntries(prefix, pageSize, page.value[page.value.length - 1]?.key);
    }
    return page.ok ? ok(this.toRecords<T>(collected)) : page;
  }

  private listEntries(
    prefix: string,
    limit: number,
    afterKey?: string,
  ): Promise<Outcome<KeyValueEntry[], StoreError>> {
    return this.callService('reads', this.reads, () => this.service.list(prefix, limit, afterKey));
  }

  private toRecords<T>(entries: readonly KeyValueEntry[]): Versioned<T>[] {
    const records = entries.flatMap((entry) => parseRecord<T>(entry) ?? []);
    if (records.length < entries.length)
      this.metrics.count('store_records_malformed', entries.length - records.length);
    return records;
  }

  /**
   * Writes `value` if the record is still at the version `previous`, or absent when `previous` is undefined. When the
   * outcome is unknown, the same compare-and-swap is retried; if it then conflicts, the write id in the stored record
   * shows whether the write was applied. `unknown` is returned only when the deadline has passed.
   */
  async write<T>(
    key: string,
    previous: Versioned<T> | undefined,
    value: T,
  ): Promise<Outcome<Versioned<T>, RecordError<T>>> {
    const writeId = newId('w');
    const envelope = JSON.stringify({ writeIds: this.writeIdsFor(previous, writeId), value });
    if (Buffer.byteLength(envelope) > MAX_VALUE_BYTES) {
      return fail({
        kind: StoreErrorKind.tooLarge,
        detail: `the record ${key} is larger than the key-value service accepts`,
      });
    }
    const deadlineMs = this.clock.monotonicMs() + this.options.deadlineMs;
    return this.writeUntilSettled<T>(
      key,
      previous?.revision ?? 0,
      envelope,
      writeId,
      value,
      deadlineMs,
      false,
    );
  }

  /**
   * Applies all changes or none. A lost response is handled as in `write`: the same transaction is retried, and a
   * conflict with a record whose newest write id is that of this transaction means that it was applied. When other
   * writes have replaced all of its records since, the error says `appliedThenChanged`. A transaction that only deletes
   * records leaves no write id, so that after a lost response it can be reported as a conflict although it was applied.
   */
  async transact(
    changes: readonly RecordChange[],
  ): Promise<Outcome<ReadonlyMap<string, Versioned<unknown>>, TransactionError>> {
    const writeId = newId('w');
    const encoded = changes.map((change) => this.toKeyChange(change, writeId));
    const deadlineMs = this.clock.monotonicMs() + this.options.deadlineMs;
    let unsettled = false;
    for (;;) {
      const outcome = await this.callService('writes', this.writes, () => this.service.transact(encoded));
      if (outcome.ok) return ok(toWrittenRecords(changes, encoded, outcome.value));
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

  /**
   * Deletes a record if it is still at the version `previous`. An absent record counts as success, so a call whose
   * response was lost can be retried.
   */
  async remove<T>(previous: Versioned<T>): Promise<Outcome<void, RecordError<T>>> {
    const outcome = await this.callService('writes', this.writes, () =>
      this.service.compareAndDelete(previous.key, previous.revision),
    );
    if (outcome.ok) return ok(undefined);
    if (outcome.error.kind === StoreErrorKind.conflict && !outcome.error.present) return ok(undefined);
    return fail(toRecordError<T>(outcome.error));
  }

  /** Watches the keys that start with `prefix`. The caller has to read them again after `onEnd`. */
  watch(prefix: string, listener: WatchListener): WatchHandle {
    this.metrics.count('store_watches');
    return this.service.watch(prefix, listener);
  }

  /** Parses the value of a watch event into a record. */
  static parse<T>(key: string, value: string, revision: number): Versioned<T> {
    return toVersioned<T>({ key, value, revision });
  }

  /** Returns the state for the state dump. */
  dump(): Record<string, unknown> {
    return { breaker: this.breaker.dump(), lastAnsweredMs: this.lastSuccessMs, ...this.options };
  }

  private async writeUntilSettled<T>(
    key: string,
    expectedRevision: number,
    envelope: string,
    writeId: string,
    value: T,
    deadlineMs: number,
    unsettled: boolean,
  ): Promise<Outcome<Versioned<T>, RecordError<T>>> {
    const outcome = await this.callService('writes', this.writes, () =>
      this.service.compareAndSwap(key, expectedRevision, envelope),
    );
    if (outcome.ok) return ok(toWrittenRecord(key, outcome.value, value, envelope));
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
    return this.writeUntilSettled(key, expectedRevision, envelope, writeId, value, deadlineMs, nowUnsettled);
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
      return ok(toWrittenRecord(key, present.revision, value, present.value));
    }
    if (position > 0) {
      const detail = `the write of ${key} was applied, and the record has changed since`;
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
    const started = this.callService('reads', this.reads, () => this.service.get(key)).finally(() =>
      this.pendingReads.delete(key),
    );
    this.pendingReads.set(key, started);
    return started;
  }

  private async callService<T>(
    kind: 'reads' | 'writes',
    budget: CallBudget,
    call: () => Promise<Outcome<T, StoreError>>,
  ): Promise<Outcome<T, StoreError>> {
    if (!this.breaker.admits(this.clock.monotonicMs())) {
      this.metrics.count('store_refused_by_breaker');
      return fail({
        kind: StoreErrorKind.unavailable,
        detail: 'the circuit breaker of the key-value service is open',
      });
    }
    const admitted = await budget.take(this.options.deadlineMs);
    if (!admitted) {
      this.breaker.observe(true, this.clock.monotonicMs());
      this.metrics.count('store_refused_by_budget');
      return fail({
        kind: StoreErrorKind.unavailable,
        detail: 'the rate limit of calls to the key-value service is reached',
      });
    }
    this.metrics.count(`store_${kind}`);
    const startedMs = this.clock.monotonicMs();
    const outcome = await call();
    this.metrics.sample(`store_${kind}_ms`, this.clock.monotonicMs() - startedMs);
    const answered = outcome.ok || outcome.error.kind === StoreErrorKind.conflict;
    this.breaker.observe(answered, this.clock.monotonicMs());
    if (answered) this.lastSuccessMs = this.clock.monotonicMs();
    else this.metrics.count('store_errors');
    return outcome;
  }
}

/** Write ids of the records that were read or written, kept here so that the records have no field for them. */
const writeIdsOf = new WeakMap<object, readonly string[]>();

function parseEnvelope<T>(text: string): Envelope<T> {
  return JSON.parse(text) as Envelope<T>;
}

function toWrittenRecord<T>(key: string, revision: number, value: T, envelope: string): Versioned<T> {
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

/** The record of an entry; undefined if another writer has left a value there that is none. */
function parseRecord<T>(entry: KeyValueEntry): Versioned<T> | undefined {
  const envelope = parseJson(entry.value) as Partial<Envelope<T>> | null | undefined;
  if (!Array.isArray(envelope?.writeIds) || envelope.value === undefined) return undefined;
  const versioned = { key: entry.key, revision: entry.revision, value: envelope.value };
  writeIdsOf.set(versioned, envelope.writeIds as readonly string[]);
  return versioned;
}

function toWrittenRecords(
  changes: readonly RecordChange[],
  encoded: readonly KeyChange[],
  revision: number,
): ReadonlyMap<string, Versioned<unknown>> {
  return new Map(
    changes.flatMap(({ key, value }, index) => {
      const envelope = encoded[index]?.value;
      return envelope === undefined ? [] : [[key, toWrittenRecord(key, revision, value, envelope)] as const];
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
  const ownEntry = entries.find((entry) => parseEnvelope(entry.value).writeIds[0] === writeId);
  if (ownEntry) return ok(toWrittenRecords(changes, encoded, ownEntry.revision));
  const present = entries.map((entry) => toVersioned<unknown>(entry));
  const kind = StoreErrorKind.conflict;
  if (entries.some((entry) => parseEnvelope(entry.value).writeIds.includes(writeId))) {
    const detail = `the transaction was applied, and its records have changed since: ${error.detail}`;
    return fail({ kind, detail, present, appliedThenChanged: true });
  }
  return fail({ kind, detail: error.detail, present });
}

function toRecordError<T>(error: StoreError): RecordError<T> {
  return {
    kind: error.kind,
    detail: error.detail,
    present: error.present && toVersioned<T>(error.present),
  };
}

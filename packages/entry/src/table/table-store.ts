/** This instance's copy of the operators' table, and edits of it. */
import type { Metrics, Outcome, Problem, StoredRow, TableBucket } from '@fighub/core';
import {
  InvariantName,
  checkInvariant,
  digestNumber,
  fail,
  isRowKey,
  mayHaveRun,
  notRun,
  ok,
  rowKindOf,
  rowSchemas,
} from '@fighub/core';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import { TableView } from './table-view.js';

/** Number of values over which the rows are spread. */
export const BUCKET_COUNT = 64;
const MAX_EDIT_TRIES = 8;
const HISTORY_TRIES = 4;
/** Changes that are kept for each bucket. */
const HISTORY_LENGTH = 100;

/** One change of a row, asked for by an operator. */
export interface RowEdit {
  readonly key: string;
  /** New value; undefined deletes the row. */
  readonly value: unknown;
  /** Revision of the row that the operator saw; undefined for any, 0 for a row that must not exist. */
  readonly expectedRevision?: number;
  readonly changedBy: string;
}

/** Key of a bucket in the key-value service. */
export function bucketKey(bucket: number): string {
  return `table/${String(bucket).padStart(3, '0')}`;
}

/** Key of the last changes in a bucket. */
function historyKey(bucket: number): string {
  return `table-history/${String(bucket).padStart(3, '0')}`;
}

/** The bucket that holds a row. */
export function bucketOf(rowKey: string): number {
  return digestNumber('row', rowKey) % BUCKET_COUNT;
}

/** Holds buckets by revision, upwards only, and tells listeners about changes. */
export class TableStore {
  private readonly buckets = new Map<number, TableBucket>();
  private readonly listeners: ((bucket: TableBucket) => void)[] = [];
  private currentView = new TableView([]);

  constructor(
    private readonly store: RecordStore,
    private readonly metrics: Metrics,
    private readonly nowUnixMs: () => number,
  ) {}

  /** The rows as typed look-ups. */
  get view(): TableView {
    return this.currentView;
  }

  /** Called after a bucket was replaced by a newer one. */
  onChange(listener: (bucket: TableBucket) => void): void {
    this.listeners.push(listener);
  }

  /** Revisions of all buckets in order; 0 for one that is not known. */
  revisions(): number[] {
    return Array.from({ length: BUCKET_COUNT }, (_, index) => this.buckets.get(index)?.revision ?? 0);
  }

  /** Buckets by number, for a peer that asks. */
  bucketsFor(numbers: readonly number[]): TableBucket[] {
    return numbers.map((number) => this.buckets.get(number)).filter((bucket) => bucket !== undefined);
  }

  /** All rows, deleted ones included. */
  rows(): StoredRow[] {
    return [...this.buckets.values()].flatMap((bucket) => bucket.rows);
  }

  row(key: string): StoredRow | undefined {
    return this.buckets.get(bucketOf(key))?.rows.find((row) => row.key === key);
  }

  /** Takes in a bucket from the service or from a peer if it is newer than ours. */
  apply(bucket: TableBucket): void {
    const known = this.buckets.get(bucket.bucket);
    if (known && known.revision >= bucket.revision) return;
    checkInvariant(InvariantName.revisionNeverFalls, noRowFalls(known, bucket), () => ({ known, bucket }));
    this.buckets.set(bucket.bucket, bucket);
    this.currentView = new TableView(this.rows());
    this.metrics.count('table_buckets_applied');
    this.listeners.forEach((listener) => listener(bucket));
  }

  /** Reads all buckets from the service. */
  async readAll(): Promise<boolean> {
    const answer = await this.store.listAll<TableBucket>('table/', BUCKET_COUNT);
    if (!answer.ok) return false;
    answer.value.forEach((entry) => this.apply(entry.value));
    return true;
  }

  /** Changes one row by compare-and-swap on its bucket. Edits of other rows in the bucket are kept. */
  async edit(edit: RowEdit): Promise<Outcome<StoredRow, Problem>> {
    const checked = checkEdit(edit);
    if (!checked.ok) return checked;
    const edited = await this.tryEdit({ ...edit, value: checked.value }, MAX_EDIT_TRIES);
    if (edited.ok) void this.keepHistory(edited.value, HISTORY_TRIES);
    return edited;
  }

  /** Earlier versions of a row, the newest first. The history may miss changes; the table never does. */
  async history(key: string): Promise<Outcome<StoredRow[], Problem>> {
    const found = await this.store.read<StoredRow[]>(historyKey(bucketOf(key)));
    if (!found.ok) return fail(notRun('store_unavailable', found.error.detail, 1_000));
    return ok((found.value?.value ?? []).filter((row) => row.key === key));
  }

  private async keepHistory(row: StoredRow, triesLeft: number): Promise<void> {
    const key = historyKey(bucketOf(row.key));
    const present = await this.store.read<StoredRow[]>(key);
    if (!present.ok) return;
    const next = [row, ...(present.value?.value ?? [])].slice(0, HISTORY_LENGTH);
    const written = await this.store.write(key, present.value, next);
    if (!written.ok && written.error.kind === StoreErrorKind.conflict && triesLeft > 1) {
      await this.keepHistory(row, triesLeft - 1);
    }
  }

  private async tryEdit(edit: RowEdit, triesLeft: number): Promise<Outcome<StoredRow, Problem>> {
    const number = bucketOf(edit.key);
    const present = await this.store.read<TableBucket>(bucketKey(number));
    if (!present.ok) return fail(notRun('store_unavailable', present.error.detail, 1_000));
    const row = present.value?.value.rows.find((candidate) => candidate.key === edit.key);
    if (edit.expectedRevision !== undefined && edit.expectedRevision !== liveRevision(row)) {
      if (present.value) this.apply(present.value.value);
      return fail({ ...notRun('row_changed', `the row ${edit.key} has changed`), present: row ?? null });
    }
    const changed = this.changedRow(edit, row);
    const bucket = withRow(number, present.value?.value, changed);
    const written = await this.store.write<TableBucket>(bucketKey(number), present.value, bucket);
    if (written.ok) {
      this.apply(written.value.value);
      return ok(changed);
    }
    return this.afterFailedWrite(edit, changed, written.error, triesLeft);
  }

  private async afterFailedWrite(
    edit: RowEdit,
    changed: StoredRow,
    error: { kind: string; detail: string; present?: Versioned<TableBucket>; appliedThenChanged?: boolean },
    triesLeft: number,
  ): Promise<Outcome<StoredRow, Problem>> {
    if (error.present) this.apply(error.present.value);
    if (error.appliedThenChanged) return ok(changed);
    if (error.kind === StoreErrorKind.conflict && triesLeft > 1) return this.tryEdit(edit, triesLeft - 1);
    if (error.kind === StoreErrorKind.unknown) {
      return fail(mayHaveRun('outcome_unknown', 'the change may or may not be in force; read the row'));
    }
    if (error.kind === StoreErrorKind.tooLarge) return fail(notRun('body_too_large', error.detail));
    return fail(notRun('store_unavailable', error.detail, 1_000));
  }

  private changedRow(edit: RowEdit, row: StoredRow | undefined): StoredRow {
    return {
      key: edit.key,
      revision: (row?.revision ?? 0) + 1,
      value: edit.value ?? null,
      deleted: edit.value === undefined,
      changedAtUnixMs: this.nowUnixMs(),
      changedBy: edit.changedBy,
    };
  }
}

/** The revision as operators see it: a deleted row counts as absent. */
export function liveRevision(row: StoredRow | undefined): number {
  return row === undefined || row.deleted ? 0 : row.revision;
}

function checkEdit(edit: RowEdit): Outcome<unknown, Problem> {
  if (!isRowKey(edit.key)) {
    return fail(
      notRun('bad_request', `${edit.key} is not a row; use <kind>/<name> or share/<organisation>/<model>`),
    );
  }
  if (edit.value === undefined) return ok(undefined);
  const parsed = rowSchemas[rowKindOf(edit.key)].safeParse(edit.value);
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues
    .map((issue) => `${issue.path.join('.') || '(row)'}: ${issue.message}`)
    .join('; ');
  return fail(notRun('bad_request', detail));
}

function withRow(number: number, bucket: TableBucket | undefined, row: StoredRow): TableBucket {
  const others = (bucket?.rows ?? []).filter((other) => other.key !== row.key);
  return { bucket: number, revision: (bucket?.revision ?? 0) + 1, rows: [...others, row] };
}

function noRowFalls(known: TableBucket | undefined, next: TableBucket): boolean {
  const revisions = new Map(next.rows.map((row) => [row.key, row.revision]));
  return (known?.rows ?? []).every((row) => (revisions.get(row.key) ?? 0) >= row.revision);
}

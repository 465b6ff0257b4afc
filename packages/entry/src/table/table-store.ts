/** The local copy of the operators' table, and edits of the table in the key-value service. */
import type { BackgroundTasks, Metrics, Outcome, Problem, StoredRow, TableBucket } from '@fighub/core';
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

/** Number of buckets into which the rows are hashed. Each bucket is one value in the key-value service. */
export const BUCKET_COUNT = 64;
/** Number of times that an edit is tried when other edits of its bucket conflict with it. */
const MAX_EDIT_TRIES = 8;
const MAX_HISTORY_TRIES = 4;
const MAX_HISTORY_CHANGES_PER_BUCKET = 100;

/** A change of one row that an operator requests. */
export interface RowEdit {
  readonly key: string;
  /** The new value; undefined deletes the row. */
  readonly value: unknown;
  /** The edit is refused unless the row has this revision; 0 for a row that must not exist, undefined for any. */
  readonly expectedRevision?: number;
  /** Organisation of the operator. */
  readonly changedBy: string;
}

/** Returns the key of a bucket in the key-value service. */
export function bucketKey(bucket: number): string {
  return `table/${String(bucket).padStart(3, '0')}`;
}

/** Returns the key under which the latest changes of a bucket are stored. */
function historyKey(bucket: number): string {
  return `table-history/${String(bucket).padStart(3, '0')}`;
}

/** Returns the number of the bucket that holds a row. */
export function bucketOf(rowKey: string): number {
  return digestNumber('row', rowKey) % BUCKET_COUNT;
}

/** Holds the newest known revision of each bucket; older ones never replace it. Notifies listeners of changes. */
export class TableStore {
  private readonly buckets = new Map<number, TableBucket>();
  private readonly listeners: ((bucket: TableBucket) => void)[] = [];
  private currentView = new TableView([]);

  constructor(
    private readonly store: RecordStore,
    private readonly tasks: BackgroundTasks,
    private readonly metrics: Metrics,
    private readonly nowUnixMs: () => number,
  ) {}

  /** Typed look-ups in the current rows. Each change of the table creates a new view. */
  get view(): TableView {
    return this.currentView;
  }

  /** Adds a listener, which is called after a bucket was replaced by a newer revision. */
  onChange(listener: (bucket: TableBucket) => void): void {
    this.listeners.push(listener);
  }

  /** Returns the revisions of all buckets, by bucket number; 0 for a bucket that is not known. */
  revisions(): number[] {
    return Array.from({ length: BUCKET_COUNT }, (_, index) => this.buckets.get(index)?.revision ?? 0);
  }

  /** Returns the known buckets among `numbers`, for a peer that requests them. */
  bucketsFor(numbers: readonly number[]): TableBucket[] {
    return numbers.map((number) => this.buckets.get(number)).filter((bucket) => bucket !== undefined);
  }

  /** Returns all rows, including deleted ones. */
  rows(): StoredRow[] {
    return [...this.buckets.values()].flatMap((bucket) => bucket.rows);
  }

  /** Returns a row, which may be a deleted one; undefined when it never existed. */
  row(key: string): StoredRow | undefined {
    return this.buckets.get(bucketOf(key))?.rows.find((row) => row.key === key);
  }

  /** Applies a bucket from the key-value service or from a peer, if it is newer than the local one. */
  apply(bucket: TableBucket): void {
    const known = this.buckets.get(bucket.bucket);
    if (known && known.revision >= bucket.revision) return;
    checkInvariant(InvariantName.revisionNeverFalls, noRevisionDecreases(known, bucket), () => ({
      known,
      bucket,
    }));
    this.buckets.set(bucket.bucket, bucket);
    this.currentView = new TableView(this.rows());
    this.metrics.count('table_buckets_applied');
    this.listeners.forEach((listener) => listener(bucket));
  }

  /** Reads all buckets from the key-value service. Returns whether the read succeeded. */
  async readAll(): Promise<boolean> {
    const listed = await this.store.listAll<TableBucket>('table/', BUCKET_COUNT);
    if (!listed.ok) return false;
    listed.value.forEach((entry) => this.apply(entry.value));
    return true;
  }

  /**
   * Changes one row by compare-and-swap on its bucket, which preserves concurrent edits of other rows. Fails with
   * `row_changed` when the row does not have the expected revision, and `outcome_unknown` when the change may have
   * been made.
   */
  async edit(edit: RowEdit): Promise<Outcome<StoredRow, Problem>> {
    const checked = checkEdit(edit);
    if (!checked.ok) return checked;
    const edited = await this.tryEdit({ ...edit, value: checked.value }, MAX_EDIT_TRIES);
    if (edited.ok)
      this.tasks.run('table history', () => this.appendToHistory(edited.value, MAX_HISTORY_TRIES));
    return edited;
  }

  /** Returns past versions of a row, newest first. The history may miss changes; the table itself never does. */
  async history(key: string): Promise<Outcome<StoredRow[], Problem>> {
    const found = await this.store.read<StoredRow[]>(historyKey(bucketOf(key)));
    if (!found.ok) return fail(notRun('store_unavailable', found.error.detail, 1_000));
    return ok((found.value?.value ?? []).filter((row) => row.key === key));
  }

  /** Adds a change to the history of its bucket. Failures are ignored, since the history may miss changes. */
  private async appendToHistory(row: StoredRow, triesLeft: number): Promise<void> {
    const key = historyKey(bucketOf(row.key));
    const present = await this.store.read<StoredRow[]>(key);
    if (!present.ok) return;
    const next = [row, ...(present.value?.value ?? [])].slice(0, MAX_HISTORY_CHANGES_PER_BUCKET);
    const written = await this.store.write(key, present.value, next);
    if (!written.ok && written.error.kind === StoreErrorKind.conflict && triesLeft > 1) {
      await this.appendToHistory(row, triesLeft - 1);
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

  /**
   * Tries an edit again after a conflict, or returns its problem. An edit that was applied before a later write replaced
   * the bucket counts as made.
   */
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
      return fail(
        mayHaveRun(
          'outcome_unknown',
          'the store did not confirm the change; read the row to see whether it is in force',
        ),
      );
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

/** Returns the revision of a row as operators see it: 0 for a row that is absent or deleted. */
export function liveRevision(row: StoredRow | undefined): number {
  return row === undefined || row.deleted ? 0 : row.revision;
}

function checkEdit(edit: RowEdit): Outcome<unknown, Problem> {
  if (!isRowKey(edit.key)) {
    return fail(
      notRun(
        'bad_request',
        `${edit.key} is not a valid row key; use <kind>/<name> or share/<organisation>/<model>`,
      ),
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

/** Returns the next revision of a bucket, in which `row` replaces the row with the same key. */
function withRow(number: number, bucket: TableBucket | undefined, row: StoredRow): TableBucket {
  const others = (bucket?.rows ?? []).filter((other) => other.key !== row.key);
  return { bucket: number, revision: (bucket?.revision ?? 0) + 1, rows: [...others, row] };
}

/** Returns whether `next` has every row of `known` at the same or a higher revision. */
function noRevisionDecreases(known: TableBucket | undefined, next: TableBucket): boolean {
  const revisions = new Map(next.rows.map((row) => [row.key, row.revision]));
  return (known?.rows ?? []).every((row) => (revisions.get(row.key) ?? 0) >= row.revision);
}

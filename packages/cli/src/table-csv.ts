/** Converts the operators' table to CSV, and finds the changes that an edited CSV contains. */
import type { Outcome, StoredRow } from '@fighub/core';
import { fail, isRowKey, ok } from '@fighub/core';
import { parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';

/** One change to the table that an edited CSV contains. */
export interface CsvChange {
  readonly key: string;
  /** New value of the row; undefined deletes the row. */
  readonly value: unknown;
  /** Revision of the row that the operator edited; 0 for a new row. */
  readonly expectedRevision: number;
}

/** One parsed line of the CSV. */
interface CsvLine {
  readonly key: string;
  readonly revision: number;
  readonly value: unknown;
}

const COLUMNS = ['key', 'revision', 'value'] as const;

/** Formats rows as CSV with the columns key, revision and value, sorted by key. */
export function tableToCsv(rows: readonly StoredRow[]): string {
  const lines = [...rows]
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map((row) => [row.key, row.revision, JSON.stringify(row.value)]);
  return stringify([COLUMNS, ...lines]);
}

/** Whether rows of the table that a CSV does not contain are kept or deleted. */
export const MissingRows = { keep: 'keep', delete: 'delete' } as const;
export type MissingRows = (typeof MissingRows)[keyof typeof MissingRows];

/**
 * Compares an edited CSV with the rows of the table and returns the changes, or the errors of the CSV. The
 * revision in a line is the one that the operator edited; a line without a value deletes its row.
 */
export function csvChanges(
  rows: readonly StoredRow[],
  text: string,
  missing: MissingRows,
): Outcome<CsvChange[], string[]> {
  const lines = parseCsv(text);
  if (!lines.ok) return lines;
  const before = new Map(rows.map((row) => [row.key, row]));
  const after = new Set(lines.value.map((line) => line.key));
  const changed = lines.value
    .filter((line) => JSON.stringify(before.get(line.key)?.value) !== JSON.stringify(line.value))
    .map((line) => ({ key: line.key, value: line.value, expectedRevision: line.revision }));
  const deleted = rows
    .filter((row) => missing === MissingRows.delete && !after.has(row.key))
    .map((row) => ({ key: row.key, value: undefined, expectedRevision: row.revision }));
  return ok([...changed, ...deleted]);
}

function parseCsv(text: string): Outcome<CsvLine[], string[]> {
  let records: string[][];
  try {
    records = parse(text, { relax_column_count: true, skip_empty_lines: true });
  } catch (error) {
    return fail([(error as Error).message]);
  }
  const [header, ...body] = records;
  if (header?.join() !== COLUMNS.join()) return fail([`line 1: the columns must be ${COLUMNS.join(', ')}`]);
  const errors: string[] = [];
  const lines = body.map((record, index) => parseLine(record, index + 2, errors));
  const keys = lines.map((line) => line.key);
  keys
    .filter((key, index) => keys.indexOf(key) !== index)
    .forEach((key) => errors.push(`the row ${key} occurs more than once`));
  return errors.length > 0 ? fail(errors) : ok(lines);
}

function parseLine(record: readonly string[], line: number, errors: string[]): CsvLine {
  const [key = '', revision = '', value = ''] = record;
  if (record.length !== COLUMNS.length)
    errors.push(`line ${String(line)}: wrong number of columns (${String(record.length)})`);
  if (!isRowKey(key)) errors.push(`line ${String(line)}: "${key}" is not a valid row key`);
  if (value === '') return { key, revision: Number(revision) || 0, value: undefined };
  try {
    return { key, revision: Number(revision) || 0, value: JSON.parse(value) as unknown };
  } catch {
    errors.push(`line ${String(line)}: the value is not valid JSON`);
    return { key, revision: 0, value: undefined };
  }
}

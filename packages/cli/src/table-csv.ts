/** The operators' table as CSV, and what an edited CSV changes. */
import type { Outcome, StoredRow } from '@fighub/core';
import { fail, isRowKey, ok } from '@fighub/core';
import { parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';

/** One change that an edited CSV asks for. */
export interface CsvChange {
  readonly key: string;
  /** Undefined deletes the row. */
  readonly value: unknown;
  /** Revision that the operator saw; 0 for a new row. */
  readonly expectedRevision: number;
}

/** A line of the CSV. */
interface CsvLine {
  readonly key: string;
  readonly revision: number;
  readonly value: unknown;
}

const COLUMNS = ['key', 'revision', 'value'] as const;

/** Writes rows as CSV with the columns key, revision and value. */
export function tableToCsv(rows: readonly StoredRow[]): string {
  const lines = [...rows]
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map((row) => [row.key, row.revision, JSON.stringify(row.value)]);
  return stringify([COLUMNS, ...lines]);
}

/** What a CSV without a row means for the row. */
export const MissingRows = { keep: 'keep', delete: 'delete' } as const;
export type MissingRows = (typeof MissingRows)[keyof typeof MissingRows];

/**
 * The changes that a CSV asks for against the rows of the table, or the faults of the CSV by line. The
 * revision in a line is the one that the operator saw; a line without a value deletes its row.
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
  const faults: string[] = [];
  const lines = body.map((record, index) => parseLine(record, index + 2, faults));
  const keys = lines.map((line) => line.key);
  keys
    .filter((key, index) => keys.indexOf(key) !== index)
    .forEach((key) => faults.push(`the row ${key} stands twice`));
  return faults.length > 0 ? fail(faults) : ok(lines);
}

function parseLine(record: readonly string[], line: number, faults: string[]): CsvLine {
  const [key = '', revision = '', value = ''] = record;
  if (record.length !== COLUMNS.length) faults.push(`line ${String(line)}: ${String(record.length)} columns`);
  if (!isRowKey(key)) faults.push(`line ${String(line)}: "${key}" is not a row`);
  if (value === '') return { key, revision: Number(revision) || 0, value: undefined };
  try {
    return { key, revision: Number(revision) || 0, value: JSON.parse(value) as unknown };
  } catch {
    faults.push(`line ${String(line)}: the value is not JSON`);
    return { key, revision: 0, value: undefined };
  }
}

import type { StoredRow } from '@fighub/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { csvChanges, tableToCsv } from './table-csv.js';

function row(key: string, value: unknown, revision = 1): StoredRow {
  return { key, value, revision, deleted: false, changedAtUnixMs: 0, changedBy: 'x' };
}

const ROWS = [row('model/a', { deadlineMs: 5 }, 3), row('share/o/*', { weight: 1 })];

describe('table CSV', () => {
  it('finds no change in an unedited CSV, whatever the values', () => {
    fc.assert(
      fc.property(fc.array(fc.jsonValue(), { maxLength: 8 }), (values) => {
        const rows = values.map((value, index) =>
          row(`model/m${String(index)}`, JSON.parse(JSON.stringify(value))),
        );
        expect(csvChanges(rows, tableToCsv(rows), 'delete')).toEqual({ ok: true, value: [] });
      }),
      { seed: 9, numRuns: 200 },
    );
  });

  it('finds changed, new and deleted rows with the revisions that the operator edited', () => {
    const text = 'key,revision,value\nmodel/a,3,"{""deadlineMs"":9}"\nmodel/b,,{}\n';
    expect(csvChanges(ROWS, text, 'delete')).toEqual({
      ok: true,
      value: [
        { key: 'model/a', value: { deadlineMs: 9 }, expectedRevision: 3 },
        { key: 'model/b', value: {}, expectedRevision: 0 },
        { key: 'share/o/*', value: undefined, expectedRevision: 1 },
      ],
    });
  });

  it('keeps rows that the CSV does not contain, and expects the revisions of the CSV', () => {
    const text = 'key,revision,value\nmodel/a,2,"{""deadlineMs"":9}"\nshare/o/*,1,\n';
    expect(csvChanges([...ROWS, row('model/new', {})], text, 'keep')).toEqual({
      ok: true,
      value: [
        { key: 'model/a', value: { deadlineMs: 9 }, expectedRevision: 2 },
        { key: 'share/o/*', value: undefined, expectedRevision: 1 },
      ],
    });
  });

  it('reports the invalid lines and returns no changes', () => {
    const outcome = csvChanges(ROWS, 'key,revision,value\nnonsense,1,{}\nmodel/a,3,{\n', 'keep');
    expect(outcome).toMatchObject({ ok: false });
    expect(outcome.ok ? [] : outcome.error.map((message) => message.slice(0, 6))).toEqual([
      'line 2',
      'line 3',
    ]);
  });
});

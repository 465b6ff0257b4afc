import { Metrics, SystemClock } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { MemoryKeyValueService } from './memory-key-value.js';
import { RecordStore } from './record-store.js';

function setup(deadlineMs = 2_000) {
  const service = new MemoryKeyValueService();
  const options = { readsPerSecond: 10_000, writesPerSecond: 10_000, deadlineMs };
  const store = new RecordStore(service, options, new SystemClock(), new Metrics(), () => 0.1);
  return { service, store };
}

describe('RecordStore', () => {
  it('reports success for an applied write whose response was lost', async () => {
    const { service, store } = setup();
    service.responsesToLose = 1;
    expect(await store.write('k', undefined, 1)).toMatchObject({ ok: true, value: { value: 1 } });
    expect(service.writtenKeys).toEqual(['k']);
  });

  it('reports a conflict when the stored record was written by another write', async () => {
    const { service, store } = setup();
    await store.write('k', undefined, 1);
    service.responsesToLose = 1;
    expect(await store.write('k', undefined, 2)).toMatchObject({ ok: false, error: { kind: 'conflict' } });
  });

  it('reports that a write was applied and then replaced by another write', async () => {
    const { service, store } = setup();
    service.responsesToLose = 1;
    const pending = store.write('k', undefined, 1);
    const other = await store.read<number>('k');
    if (!other.ok) throw new Error('the record could not be read');
    await store.write('k', other.value, 2);
    expect(await pending).toMatchObject({ ok: false, error: { appliedThenChanged: true } });
  });

  it('reports unknown for a write that may still be applied later', async () => {
    const { service, store } = setup(30);
    service.writesToDelay = 5;
    expect(await store.write('k', undefined, 1)).toMatchObject({ ok: false, error: { kind: 'unknown' } });
    service.applyDelayed();
    expect(await store.read('k')).toMatchObject({ ok: true, value: { value: 1 } });
  });

  it('reports unavailable when nothing can have been written', async () => {
    const { service, store } = setup(30);
    service.down = true;
    expect(await store.write('k', undefined, 1)).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
  });

  it('reports that a transaction was applied when all of its records have been replaced since', async () => {
    const { service, store } = setup();
    service.responsesToLose = 1;
    const pending = store.transact([{ key: 'k', value: 1 }]);
    const other = await store.read<number>('k');
    if (!other.ok) throw new Error('the record could not be read');
    await store.write('k', other.value, 2);
    expect(await pending).toMatchObject({
      ok: false,
      error: { kind: 'conflict', appliedThenChanged: true },
    });
  });

  it('reports a plain conflict when a transaction was not applied', async () => {
    const { store } = setup();
    await store.write('k', undefined, 1);
    const outcome = await store.transact([{ key: 'k', value: 2 }]);
    expect(outcome).toMatchObject({ ok: false, error: { kind: 'conflict' } });
    expect(outcome.ok ? undefined : outcome.error.appliedThenChanged).toBeUndefined();
  });
});

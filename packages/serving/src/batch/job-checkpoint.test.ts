import { ManualClock, Metrics } from '@fighub/core';
import { MemoryKeyValueService, RecordStore, StoreErrorKind } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { JobCheckpoint } from './job-checkpoint.js';
import { writeTogether } from './job-writes.js';

const OUTPUT = { index: 0, lastEventId: 99, text: 'x' };

async function savedCheckpoint() {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 0 };
  const store = new RecordStore(new MemoryKeyValueService(), options, clock, metrics);
  const checkpoint = new JobCheckpoint('j', store, clock, metrics);
  await checkpoint.save([OUTPUT]);
  const stored = async (): Promise<boolean> => {
    const read = await store.read('checkpoint/j');
    return read.ok && read.value !== undefined;
  };
  return { clock, store, checkpoint, stored };
}

describe('JobCheckpoint', () => {
  it('is deleted with other writes after its job has finished, and by itself after 5 s', async () => {
    const { clock, store, checkpoint, stored } = await savedCheckpoint();
    expect(checkpoint.isRemovalDue).toBe(false);
    clock.advance(5_000);
    expect(checkpoint.isRemovalDue).toBe(true);
    await writeTogether(store, checkpoint.takeRemoval());
    expect(await stored()).toBe(false);
    expect(checkpoint.takeRemoval()).toEqual([]);
  });

  it('is deleted later when the store could not be reached', async () => {
    const { clock, store, checkpoint, stored } = await savedCheckpoint();
    const error = { kind: StoreErrorKind.unavailable, detail: 'down', present: [] };
    checkpoint.takeRemoval().forEach((write) => write.settle({ ok: false, error }));
    expect(checkpoint.isRemovalDue).toBe(false);
    clock.advance(5_000);
    expect(checkpoint.isRemovalDue).toBe(true);
    await writeTogether(store, checkpoint.takeRemoval());
    expect(await stored()).toBe(false);
  });

  it('is saved with other writes from half of its period on, and is due after all of it', async () => {
    const { clock, checkpoint } = await savedCheckpoint();
    clock.advance(999);
    expect(checkpoint.takeWrite(60, () => [OUTPUT])).toEqual([]);
    clock.advance(1);
    expect([checkpoint.isDue(60), checkpoint.isDue(59)]).toEqual([false, false]);
    clock.advance(1_000);
    expect([checkpoint.isDue(60), checkpoint.isDue(59)]).toEqual([true, false]);
    expect(checkpoint.takeWrite(60, () => [OUTPUT]).length).toBe(1);
    expect(checkpoint.isDue(500)).toBe(false);
  });
});

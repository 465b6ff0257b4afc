import { Readable } from 'node:stream';

import type { Clock, JobManifest } from '@fighub/core';
import { ManualClock, Metrics, SystemClock, jobKeys } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { JobCollector } from './job-collector.js';
import { moveToEnded } from './job-index.js';
import { JobIntake } from './job-intake.js';
import { TableStore } from '../table/table-store.js';

const OFFER = {
  organisation: 'o',
  model: 'm',
  idempotencyKey: 'k',
  dueAtUnixMs: 9,
  idempotent: true,
  maxTokens: 100,
};
const DAYS_MS = 24 * 3_600_000;

function setup(storeClock?: Clock) {
  const clock = new ManualClock();
  const service = new MemoryKeyValueService();
  const options = { readsPerSecond: 100_000, writesPerSecond: 100_000, deadlineMs: 100 };
  const store = new RecordStore(service, options, storeClock ?? clock, new Metrics());
  const table = new TableStore(store, new Metrics(), () => 0);
  const self = { instanceId: 'a', failureDomain: 'd' };
  const collector = new JobCollector('a', store, table, () => [self], clock, new Metrics());
  const limits = { chunkItems: 2, chunkBytes: 10_000, maxItems: 10, maxItemBytes: 1_000 };
  const intake = new JobIntake(store, limits, clock, new Metrics());
  const upload = (lines: string) => intake.accept(OFFER, Readable.from([lines]));
  const keys = async (): Promise<string[]> => {
    const all = await service.list('', 1_000);
    return all.ok ? all.value.map((entry) => entry.key) : [];
  };
  return { clock, service, store, collector, upload, keys };
}

const THREE = '{"prompt":"a"}\n{"prompt":"b"}\n{"prompt":"c"}\n';

describe('JobIntake and JobCollector', () => {
  it('keep nothing of a refused upload but its record, which is collected', async () => {
    const { clock, collector, upload, keys } = setup();
    const refused = await upload(`${THREE}{"prompt":\n`);
    expect(refused).toMatchObject({ ok: false, error: { code: 'bad_item' } });
    expect((await keys()).filter((key) => key.startsWith('jobs/'))).toEqual([]);
    clock.advance(2 * DAYS_MS);
    await collector.collect();
    expect(await keys()).toEqual([]);
  });

  it('never collect the chunks of an accepted job', async () => {
    const { clock, collector, upload, keys } = setup();
    const accepted = await upload(THREE);
    clock.advance(2 * DAYS_MS);
    await collector.collect();
    expect(accepted.ok).toBe(true);
    expect((await keys()).filter((key) => key.includes('/input/'))).toHaveLength(2);
  });

  it('refuse a job whose upload was collected while its instance was paused', async () => {
    const { clock, service, collector, upload, keys } = setup();
    // The pause is induced right before the manifest is written.
    const write = service.compareAndSwap.bind(service);
    service.compareAndSwap = async (key, revision, value) => {
      if (key.endsWith('/manifest')) {
        service.compareAndSwap = write;
        clock.advance(2 * DAYS_MS);
        await collector.collect();
      }
      return write(key, revision, value);
    };
    expect(await upload(THREE)).toMatchObject({ ok: false, error: { code: 'not_accepted', run: 'not_run' } });
    expect((await keys()).filter((key) => key.endsWith('/manifest'))).toEqual([]);
  });

  it('delete an ended job after its retention and not before', async () => {
    const { clock, store, collector, upload, keys } = setup();
    const accepted = await upload(THREE);
    if (!accepted.ok) throw new Error('not accepted');
    const ended: JobManifest = { ...accepted.value, state: 'complete', endedAtUnixMs: clock.nowUnixMs() };
    await moveToEnded(store, ended);
    clock.advance(6 * DAYS_MS);
    await collector.collect();
    expect(await keys()).toContain(jobKeys.manifest(accepted.value.jobId));
    clock.advance(2 * DAYS_MS);
    await collector.collect();
    expect(await keys()).toEqual([]);
  });

  it('find the same job for a resend and refuse another body', async () => {
    const { upload } = setup();
    const first = await upload(THREE);
    const again = await upload(THREE);
    expect(again).toEqual(first);
    expect(await upload('{"prompt":"other"}\n')).toMatchObject({ ok: false, error: { code: 'key_reused' } });
  });

  it('do not say that a job is not accepted when its manifest may yet be written', async () => {
    const { service, upload } = setup(new SystemClock());
    const write = service.compareAndSwap.bind(service);
    service.compareAndSwap = (key, revision, value) => {
      if (key.endsWith('/manifest')) service.delayWrites = 50;
      return write(key, revision, value);
    };
    const outcome = await upload(THREE);
    expect(outcome).toMatchObject({ ok: false, error: { code: 'outcome_unknown', run: 'may_have_run' } });
  });
});

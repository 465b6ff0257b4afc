import { Readable } from 'node:stream';

import type { Clock, JobManifest } from '@fighub/core';
import { BufferBudget } from '@fighub/decisions';
import { BodyLines, RequestBodies } from '@fighub/ingress';
import { ManualClock, Metrics, SystemClock, jobKeys } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { JobCollector } from './job-collector.js';
import { moveToEnded } from './job-index.js';
import { JobIntake } from './job-intake.js';
import { TableStore } from '../table/table-store.js';
import { reportedTasks } from '../testing/background-tasks.js';

const SUBMISSION = {
  organisation: 'o',
  model: 'm',
  idempotencyKey: 'k',
  dueAtUnixMs: 9,
  idempotent: true,
  maxTokens: 100,
};
const DAY_MS = 24 * 3_600_000;

function setup(storeClock?: Clock) {
  const clock = new ManualClock();
  const service = new MemoryKeyValueService();
  const options = { readsPerSecond: 100_000, writesPerSecond: 100_000, deadlineMs: 100 };
  const store = new RecordStore(service, options, storeClock ?? clock, new Metrics());
  const table = new TableStore(store, reportedTasks().tasks, new Metrics(), () => 0);
  const self = { instanceId: 'a', failureDomain: 'd' };
  const collector = new JobCollector(
    'a',
    store,
    table,
    () => [self],
    reportedTasks().tasks,
    clock,
    new Metrics(),
  );
  const limits = { chunkItems: 2, chunkBytes: 10_000, maxItems: 10, maxItemBytes: 1_000 };
  const intake = new JobIntake(store, limits, clock, new Metrics());
  const upload = (lines: string) => {
    const held = new RequestBodies(new BufferBudget(100_000)).open();
    return intake.accept(SUBMISSION, new BodyLines(Readable.from([Buffer.from(lines)]), 1_000, held));
  };
  const keys = async (): Promise<string[]> => {
    const all = await service.list('', 1_000);
    return all.ok ? all.value.map((entry) => entry.key) : [];
  };
  return { clock, service, store, collector, upload, keys };
}

const THREE_ITEMS = '{"prompt":"a"}\n{"prompt":"b"}\n{"prompt":"c"}\n';

describe('JobIntake with JobCollector', () => {
  it('keeps only the record of a refused upload, and collects it later', async () => {
    const { clock, collector, upload, keys } = setup();
    const refused = await upload(`${THREE_ITEMS}{"prompt":\n`);
    expect(refused).toMatchObject({ ok: false, error: { code: 'bad_item' } });
    expect((await keys()).filter((key) => key.startsWith('jobs/'))).toEqual([]);
    clock.advance(2 * DAY_MS);
    await collector.collect();
    expect(await keys()).toEqual([]);
  });

  it('never collects the chunks of an accepted job', async () => {
    const { clock, collector, upload, keys } = setup();
    const accepted = await upload(THREE_ITEMS);
    clock.advance(2 * DAY_MS);
    await collector.collect();
    expect(accepted.ok).toBe(true);
    expect((await keys()).filter((key) => key.includes('/input/'))).toHaveLength(2);
  });

  it('refuses a job whose upload was collected while its instance was paused', async () => {
    const { clock, service, collector, upload, keys } = setup();
    // Simulates a pause right before the manifest is written, long enough for the upload to expire.
    const write = service.compareAndSwap.bind(service);
    service.compareAndSwap = async (key, revision, value) => {
      if (key.endsWith('/manifest')) {
        service.compareAndSwap = write;
        clock.advance(2 * DAY_MS);
        await collector.collect();
      }
      return write(key, revision, value);
    };
    expect(await upload(THREE_ITEMS)).toMatchObject({
      ok: false,
      error: { code: 'not_accepted', run: 'not_run' },
    });
    expect((await keys()).filter((key) => key.endsWith('/manifest'))).toEqual([]);
  });

  it('deletes an ended job after its retention period and not before', async () => {
    const { clock, store, collector, upload, keys } = setup();
    const accepted = await upload(THREE_ITEMS);
    if (!accepted.ok) throw new Error('not accepted');
    const ended: JobManifest = { ...accepted.value, state: 'complete', endedAtUnixMs: clock.nowUnixMs() };
    await moveToEnded(store, ended);
    clock.advance(6 * DAY_MS);
    await collector.collect();
    expect(await keys()).toContain(jobKeys.manifest(accepted.value.jobId));
    clock.advance(2 * DAY_MS);
    await collector.collect();
    expect(await keys()).toEqual([]);
  });

  it('returns the same job for a body sent again and refuses another body', async () => {
    const { upload } = setup();
    const first = await upload(THREE_ITEMS);
    const again = await upload(THREE_ITEMS);
    expect(again).toEqual(first);
    expect(await upload('{"prompt":"other"}\n')).toMatchObject({ ok: false, error: { code: 'key_reused' } });
  });

  it('reports an unknown outcome when the write of the manifest timed out and may still take effect', async () => {
    const { service, upload } = setup(new SystemClock());
    const write = service.compareAndSwap.bind(service);
    service.compareAndSwap = (key, revision, value) => {
      if (key.endsWith('/manifest')) service.writesToDelay = 50;
      return write(key, revision, value);
    };
    const outcome = await upload(THREE_ITEMS);
    expect(outcome).toMatchObject({ ok: false, error: { code: 'outcome_unknown', run: 'may_have_run' } });
  });
});

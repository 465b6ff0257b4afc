import type { JobProgress, LineWriter, Route } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, batchJobKeys } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import type { MembershipRunner } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { BacklogView } from './backlog-view.js';
import { InputCache } from './input-cache.js';
import { JobAcceptance } from './job-acceptance.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const ROUTE = {
  name: 'r',
  maxAttempts: 3,
  batch: { maxWaitingTokens: 1_000, dueAfterMs: 10_000, abandonAfterMs: 20_000 },
} as unknown as Route;
const ITEM = { itemId: 'i', target: '/t', headers: [], bodyBase64: '', tokens: 300 };

/** Store that counts how often jobs are listed. */
class CountingStore extends MemoryKeyValueService {
  listings = 0;

  override list(
    ...args: Parameters<MemoryKeyValueService['list']>
  ): ReturnType<MemoryKeyValueService['list']> {
    this.listings += 1;
    return super.list(...args);
  }
}

function setup() {
  const service = new CountingStore();
  const clock = new SystemClock();
  const metrics = new Metrics();
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 100 };
  const store = new RecordStore(service, options, clock, metrics);
  const backlog = new BacklogView(clock);
  const members = { owners: () => [] } as unknown as MembershipRunner;
  const offered: JobProgress[] = [];
  const faults = { isCutOff: false };
  const acceptance = new JobAcceptance(
    () => 'self',
    store,
    new InputCache(store),
    backlog,
    () => members,
    () => faults.isCutOff,
    (progress) => offered.push(progress),
    clock,
    metrics,
    new DecisionLog(DISCARDING_WRITER, clock, metrics),
  );
  const submit = (jobId: string, organisation?: string) =>
    acceptance.accept({ jobId, host: 'h', configurationVersion: 6, items: [ITEM], organisation }, ROUTE);
  return { service, store, backlog, offered, faults, submit };
}

describe('JobAcceptance', () => {
  it('makes a single store call when a fresh listing shows that the job fits', async () => {
    const { service, backlog, offered, submit } = setup();
    backlog.onPushed({ tokensByRoute: {}, ageMs: 500 });
    expect(await submit('a')).toMatchObject({ ok: true });
    expect(service.listings).toBe(0);
    expect(service.writtenKeys).toEqual(['progress/a', 'input/a/0']);
    expect(offered.map((job) => job.jobId)).toEqual(['a']);
  });

  it('lists the jobs when no listing is known', async () => {
    const { service, submit } = setup();
    expect(await submit('a')).toMatchObject({ ok: true });
    expect(service.listings).toBe(1);
  });

  it('counts the jobs that it accepted itself, and lists all jobs once they come near the limit', async () => {
    const { service, backlog, submit } = setup();
    backlog.onPushed({ tokensByRoute: {}, ageMs: 500 });
    await submit('a');
    await submit('b');
    expect(service.listings).toBe(1);
    await submit('c');
    expect(await submit('d')).toMatchObject({ ok: false, error: { code: 'limit_reached' } });
  });

  it('tells callers to retry at once, without listing the jobs, when it is cut off', async () => {
    const { service, faults, submit } = setup();
    faults.isCutOff = true;
    expect(await submit('a')).toMatchObject({ ok: false, error: { run: 'not_run', retryAfterMs: 0 } });
    expect(service.listings).toBe(0);
  });

  it('counts the waiting tokens of each organisation against a limit of its own', async () => {
    const { backlog, submit } = setup();
    backlog.onPushed({ tokensByRoute: {}, ageMs: 500 });
    for (const jobId of ['a', 'b', 'c']) expect(await submit(jobId, 'fox')).toMatchObject({ ok: true });
    expect(await submit('d', 'fox')).toMatchObject({ ok: false, error: { code: 'limit_reached' } });
    expect(await submit('e', 'hen')).toMatchObject({ ok: true });
  });

  it('does not acknowledge a job whose id another organisation uses', async () => {
    const { offered, submit } = setup();
    await submit('a', 'fox');
    expect(await submit('a', 'fox')).toMatchObject({ ok: true });
    expect(await submit('a', 'hen')).toMatchObject({
      ok: false,
      error: { code: 'conflict', run: 'not_run' },
    });
    expect(offered).toHaveLength(1);
  });

  it('acknowledges a job that another instance has accepted, and does not offer it again', async () => {
    const { store, backlog, offered, submit } = setup();
    await store.write(batchJobKeys.progress('a'), undefined, { jobId: 'a' });
    backlog.onPushed({ tokensByRoute: {}, ageMs: 500 });
    expect(await submit('a')).toMatchObject({ ok: true });
    expect(offered).toEqual([]);
  });
});

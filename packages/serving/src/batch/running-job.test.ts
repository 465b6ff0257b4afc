import type { JobProgress, LineWriter, ResultSegment } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, batchJobKeys } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it, vi } from 'vitest';

import type { UpstreamCall, UpstreamListener } from '../online/forwarding.js';
import type { ItemRunDependencies } from './item-run.js';
import { JobCheckpoint } from './job-checkpoint.js';
import { writeTogether } from './job-writes.js';
import { RunningJob } from './running-job.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const ORIGIN = { service: 's', softwareVersion: 'v1' };
const SLOT = { permitId: 'p', replicaId: 'r', address: 'a', revoked: new AbortController().signal };

/** A job whose items get the given outputs, each as one event. */
async function startJob(outputs: readonly string[]) {
  const clock = new SystemClock();
  const metrics = new Metrics();
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 100 };
  const store = new RecordStore(new MemoryKeyValueService(), options, clock, metrics);
  const progress = {
    jobId: 'j',
    host: 'h',
    dueAtUnixMs: clock.nowUnixMs() + 60_000,
    abandonAtUnixMs: clock.nowUnixMs() + 120_000,
    maxAttempts: 3,
    itemCount: outputs.length,
    epoch: 1,
    sequence: 1,
    ended: false,
    finishedIndexes: [],
    failures: [],
    segments: [],
    openTokens: 0,
  } as unknown as JobProgress;
  const record = await store.write(batchJobKeys.progress('j'), undefined, progress);
  if (!record.ok) throw new Error('the progress could not be written');
  const dependencies = {
    view: {
      routes: { match: () => ({ name: 'r', backends: [] }) },
      isUsable: () => true,
      originOf: () => ORIGIN,
      confirmsOrigin: () => true,
    },
    permits: {
      acquire: () => Promise.resolve({ ok: true, value: SLOT }),
      release: () => undefined,
      recordLoad: () => undefined,
    },
    transport: {
      send: (call: UpstreamCall, listener: UpstreamListener) => {
        listener.onHead({ status: 200, headers: [], notRun: false, framing: 'chunks' });
        const output = outputs[Number(call.requestId)] ?? '';
        listener.onData(Buffer.from(`id: 0\ndata: ${output}\n\n`));
        return Promise.resolve({ kind: 'complete', detail: '' });
      },
    },
    clock,
    metrics,
    log: new DecisionLog(DISCARDING_WRITER, clock, metrics),
    random: () => 0,
  } as unknown as ItemRunDependencies;
  const items = outputs.map((_, index) => ({
    itemId: String(index),
    target: '/t',
    headers: [],
    bodyBase64: '',
    tokens: 1,
  }));
  const checkpoint = new JobCheckpoint('j', store, clock, metrics);
  const job = new RunningJob(record.value, items, [], [], checkpoint, store, dependencies, () => true);
  const complete = (): void => {
    job.run(clock.monotonicMs());
    void writeTogether(store, job.takeWrites(clock.monotonicMs()));
    expect(job.finished).toBe(true);
  };
  await vi.waitFor(complete, { timeout: 20_000 });
  return { job, store, clock };
}

describe('RunningJob', () => {
  it('gives up an item whose output no stored value can hold, and commits the others', async () => {
    const { job } = await startJob(['short', 'š'.repeat(600_000)]);
    expect(
      job
        .results(0)
        .results.map(({ itemId, succeeded }) => [itemId, succeeded])
        .sort(),
    ).toEqual([
      ['0', true],
      ['1', false],
    ]);
  });

  it('splits results by their bytes, so that each segment fits into a stored value', async () => {
    const { job, store } = await startJob(Array.from({ length: 6 }, () => 'š'.repeat(150_000)));
    expect(job.results(0).committedCount).toBe(6);
    const segments = await store.list<ResultSegment>('results/', 10);
    expect(segments.ok ? segments.value.map(({ value }) => value.results.length) : []).toEqual([
      1, 1, 1, 1, 1, 1,
    ]);
  });

  it('deletes its checkpoint only after it has finished, and makes no write while it is released', async () => {
    const { job, clock } = await startJob(['short']);
    expect(job.takeWrites(clock.monotonicMs())).toEqual([]);
    void job.release();
    expect(job.isWriteDue(clock.monotonicMs() + 60_000)).toBe(false);
    expect(job.takeWrites(clock.monotonicMs() + 60_000)).toEqual([]);
  });
});

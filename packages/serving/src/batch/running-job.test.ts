import type { JobProgress, LineWriter, ResultSegment } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, batchJobKeys } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { BlockedPrompts } from '@fighub/decisions';
import { describe, expect, it, vi } from 'vitest';

import type { UpstreamCall, UpstreamListener } from '../online/forwarding.js';
import type { ItemRunDependencies } from './item-run.js';
import { JobCheckpoint } from './job-checkpoint.js';
import { writeTogether } from './job-writes.js';
import { RunningJob } from './running-job.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const ORIGIN = { service: 's', softwareVersion: 'v1' };
const SLOT = { permitId: 'p', replicaId: 'r', address: 'a', revoked: new AbortController().signal };

/** Sends an item to a replica. */
type Send = (call: UpstreamCall, listener: UpstreamListener, signal: AbortSignal) => Promise<unknown>;

/** A job with an item for each of `outputs`. By default each item gets its output as one event. */
async function newJob(
  outputs: readonly string[],
  send: Send = respondWith(outputs),
  changes: Partial<JobProgress> = {},
  headersOf: (index: number) => [string, string][] = () => [],
) {
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
    ...changes,
  } as unknown as JobProgress;
  const record = await store.write(batchJobKeys.progress('j'), undefined, progress);
  if (!record.ok) throw new Error('the progress could not be written');
  const configuration: { version: number; route?: object; confirmedAtMs: number } = {
    version: 1,
    route: { name: 'r', backends: [] },
    confirmedAtMs: Number.NEGATIVE_INFINITY,
  };
  const dependencies = {
    view: {
      blockedPrompts: new BlockedPrompts(),
      routes: { match: () => configuration.route },
      get configurationVersion() {
        return configuration.version;
      },
      get configurationConfirmedAtMs() {
        return configuration.confirmedAtMs;
      },
      isUsable: () => true,
      originOf: () => ORIGIN,
      confirmsOrigin: () => true,
    },
    permits: {
      acquire: () => Promise.resolve({ ok: true, value: SLOT }),
      release: () => undefined,
      recordLoad: () => undefined,
      recordRequestLimit: () => undefined,
    },
    transport: { send },
    leavingAnnouncements: { onUnusableSlot: () => undefined },
    confirmConfiguration: () => undefined,
    clock,
    metrics,
    log: new DecisionLog(DISCARDING_WRITER, clock, metrics),
    random: () => 0,
  } as unknown as ItemRunDependencies;
  const items = outputs.map((_, index) => ({
    itemId: String(index),
    target: '/t',
    headers: headersOf(index),
    bodyBase64: '',
    tokens: 1,
  }));
  const checkpoint = new JobCheckpoint('j', store, clock, metrics);
  const job = new RunningJob(record.value, items, [], [], checkpoint, store, dependencies, () => true);
  return { job, store, clock, metrics, configuration };
}

/** Responds to each item with its output as one event. */
function respondWith(outputs: readonly string[]): Send {
  return (call, listener) => {
    listener.onHead({ status: 200, headers: [], notRun: false, framing: 'chunks' });
    const output = outputs[Number(call.requestId)] ?? '';
    listener.onData(Buffer.from(`id: 0\ndata: ${output}\n\n`));
    return Promise.resolve({ kind: 'complete', detail: '' });
  };
}

/** A job that has been run until it was finished. */
async function finishedJob(outputs: readonly string[]) {
  const { job, store, clock } = await newJob(outputs);
  const complete = (): void => {
    job.run(clock.monotonicMs());
    void writeTogether(store, job.takeWrites(clock.monotonicMs()));
    expect(job.finished).toBe(true);
  };
  await vi.waitFor(complete, { timeout: 20_000 });
  return { job, store };
}

describe('RunningJob', () => {
  it('gives up an item whose output no stored value can hold, and commits the others', async () => {
    const { job } = await finishedJob(['short', 'š'.repeat(600_000)]);
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

  // Guards against an output that ends at a character which the language, but not the format of the stream, takes for a line end.
  it.each(['\u2028', '\u2029', '\u0085', '\v', '\f', '\ufeff'])(
    'commits the whole output of an item whose text has the character %j',
    async (character) => {
      const output = `before ${character} after`;
      const { job } = await finishedJob([output]);
      expect(job.results(0).results).toEqual([{ itemId: '0', succeeded: true, output }]);
    },
  );

  it('leaves a run whose output grows without end, and gives the item up', async () => {
    let sentEvents = 0;
    const endless: Send = (_call, listener, signal) => {
      listener.onHead({ status: 200, headers: [], notRun: false, framing: 'chunks' });
      while (!signal.aborted && sentEvents < 1_000) {
        listener.onData(Buffer.from(`id: ${String(sentEvents)}\ndata: ${'x'.repeat(10_000)}\n\n`));
        sentEvents += 1;
      }
      return Promise.resolve({ kind: 'cancelled', detail: '' });
    };
    const { job, clock, store } = await newJob([''], endless);
    await vi.waitFor(() => {
      job.run(clock.monotonicMs());
      void writeTogether(store, job.takeWrites(clock.monotonicMs()));
      expect(job.finished).toBe(true);
    });
    expect(job.results(0).results.map(({ succeeded }) => succeeded)).toEqual([false]);
    expect(sentEvents).toBeLessThan(100);
  });

  it('splits results by their bytes, so that each segment fits into a stored value', async () => {
    const { job, store } = await finishedJob(Array.from({ length: 6 }, () => 'š'.repeat(150_000)));
    expect(job.results(0).committedCount).toBe(6);
    const segments = await store.list<ResultSegment>('results/', 10);
    expect(segments.ok ? segments.value.map(({ value }) => value.results.length) : []).toEqual([
      1, 1, 1, 1, 1, 1,
    ]);
  });

  // Guards against items given up unsent, because their holder has not received the configuration that added their route.
  it('gives up no item while its configuration is older than that of the acceptance, and runs it once it is not', async () => {
    const { job, store, clock, metrics, configuration } = await newJob(['short'], undefined, {
      configurationVersion: 6,
    });
    const route = configuration.route;
    Object.assign(configuration, { version: 3, route: undefined });
    job.run(clock.monotonicMs());
    await vi.waitFor(() => expect(metrics.value('batch_jobs_awaiting_configuration')).toBe(1));
    job.run(clock.monotonicMs() + 1_000);
    await Promise.resolve();
    expect(job.takeWrites(clock.monotonicMs())).toEqual([]);
    Object.assign(configuration, { version: 6, route });
    await vi.waitFor(() => {
      job.run(clock.monotonicMs());
      void writeTogether(store, job.takeWrites(clock.monotonicMs()));
      expect(job.results(0).results.map(({ succeeded }) => succeeded)).toEqual([true]);
    });
  });

  it('gives up the items of a route that was removed after the acceptance', async () => {
    const { job, store, clock, configuration } = await newJob(['short'], undefined, {
      configurationVersion: 6,
    });
    Object.assign(configuration, { version: 9, route: undefined });
    await vi.waitFor(() => {
      job.run(clock.monotonicMs());
      void writeTogether(store, job.takeWrites(clock.monotonicMs()));
      expect(job.results(0).results.map(({ succeeded }) => succeeded)).toEqual([false]);
    });
  });

  // Guards against an item that no replica can be sent, in a job that an earlier release has accepted.
  it('keeps an item that cannot be sent until its time to abandon, and runs the others', async () => {
    const { job, store, clock, metrics } = await newJob(
      ['first', 'second'],
      undefined,
      { abandonAtUnixMs: Date.now() + 2_500 },
      (index) => (index === 0 ? [['District', 'Lu\u010denec']] : []),
    );
    const results = (): unknown[] => {
      job.run(clock.monotonicMs());
      void writeTogether(store, job.takeWrites(clock.monotonicMs()));
      return job.results(0).results.map(({ itemId, succeeded }) => [itemId, succeeded]);
    };
    await vi.waitFor(() => expect(results()).toEqual([['1', true]]), { timeout: 2_000 });
    expect(metrics.value('batch_items_unsendable')).toBe(1);
    const all = [
      ['1', true],
      ['0', false],
    ];
    await vi.waitFor(() => expect(results()).toEqual(all), { timeout: 10_000 });
    expect(metrics.value('batch_items_unsendable')).toBe(1);
  });

  // Guards against one item whose run throws ending the process, with the other items and jobs there.
  it('goes on with its other items when the run of one throws', async () => {
    const respond = respondWith(['first', 'second']);
    const { job, store, clock, metrics } = await newJob(['first', 'second'], (call, listener, signal) =>
      call.requestId === '0' ? Promise.reject(new TypeError('unexpected')) : respond(call, listener, signal),
    );
    await vi.waitFor(() => {
      job.run(clock.monotonicMs());
      void writeTogether(store, job.takeWrites(clock.monotonicMs()));
      expect(job.results(0).results.map(({ itemId }) => itemId)).toEqual(['1']);
    });
    expect(metrics.value('decision_item_error')).toBe(1);
    expect(job.finished).toBe(false);
  });

  it('makes no other write while it is released', async () => {
    const { job, clock } = await newJob(['short'], () => new Promise(() => undefined));
    const laterMs = clock.monotonicMs() + 60_000;
    job.run(clock.monotonicMs());
    expect(job.isWriteDue(laterMs)).toBe(true);
    const released = job.release();
    expect(job.isWriteDue(laterMs)).toBe(false);
    expect(job.takeWrites(laterMs)).toEqual([]);
    await released;
    expect(job.stopped).toBe(true);
  });
});

/** Unexpected errors in work that nothing waits for end only that work. */
import type { ChunkLedger, EntityTable, JobManifest } from '@fighub/core';
import { ManualClock, Metrics, SystemClock } from '@fighub/core';
import { emptyLedger, takeLease } from '@fighub/decisions';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it, vi } from 'vitest';

import { BatchRunner } from './batch/batch-runner.js';
import { HeldChunk } from './batch/held-chunk.js';
import { InstanceListPoller } from './life-cycle/instance-list-poller.js';
import type { CompletionSpec } from './online/completion-runner.js';
import { IdempotencyRecords } from './online/idempotency-records.js';
import { TableReplication } from './table/table-replication.js';
import { TableStore } from './table/table-store.js';
import { reportedTasks } from './testing/background-tasks.js';

const UNEXPECTED = new TypeError('unexpected');
const LEASE_MS = 60_000;
const SELF = {
  instanceId: 'a',
  failureDomain: 'd',
  peerAddress: 'a',
  state: 'alive',
  incarnation: 1,
} as const;

function fails(): Promise<never> {
  return Promise.reject(UNEXPECTED);
}

function recordStore(service = new MemoryKeyValueService()): RecordStore {
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 1_000 };
  return new RecordStore(service, options, new SystemClock(), new Metrics());
}

async function heldChunk(
  items: number,
  run: (spec: CompletionSpec) => Promise<unknown>,
  clock = new ManualClock(),
) {
  const store = recordStore();
  const { tasks, reports } = reportedTasks();
  const ledger = await store.write<ChunkLedger>('l', undefined, takeLease(emptyLedger(items), 'me'));
  if (!ledger.ok) throw new Error('the ledger could not be written');
  const chunk = new HeldChunk(
    { jobId: 'j', idempotent: true } as JobManifest,
    0,
    {
      firstIndex: 0,
      items: Array.from({ length: items }, (_, index) => ({
        customId: String(index),
        prompt: 'p',
        maxTokens: 1,
      })),
    },
    ledger.value,
    clock.monotonicMs(),
    { leaseMs: LEASE_MS, commitPeriodMs: 10 },
    store,
    { run } as never,
    () => true,
    tasks,
    clock,
    new Metrics(),
  );
  return { chunk, store, reports };
}

describe('BackgroundTasks', () => {
  it('reports errors and rejections of any work with its name', async () => {
    const { tasks, reports } = reportedTasks();
    tasks.run('rejects', fails);
    tasks.run('throws', () => {
      throw UNEXPECTED;
    });
    await tasks.finish('waited for', fails);
    await vi.waitFor(() =>
      expect(reports.map(([task]) => task)).toEqual(['throws', 'rejects', 'waited for']),
    );
  });
});

describe('HeldChunk', () => {
  it('ends the item whose run throws each time, and runs the others', async () => {
    const clock = new ManualClock();
    const done = { kind: 'completed', tokens: ['t'], brokeReplica: false, sent: true };
    const run = (spec: CompletionSpec) => (spec.requestId === 'j.1' ? fails() : Promise.resolve(done));
    const { chunk, store, reports } = await heldChunk(3, run, clock);
    await vi.waitFor(() => {
      clock.advance(300);
      chunk.run(clock.monotonicMs());
      expect(chunk.complete).toBe(true);
    });
    const stored = await store.read<ChunkLedger>('l');
    expect(stored.ok && stored.value?.value).toMatchObject({ doneCount: 3 });
    expect(reports).toEqual(Array.from({ length: 4 }, () => ['run of an item', UNEXPECTED]));
  });

  it('is left to the next holder when a write throws, and can be released', async () => {
    const clock = new ManualClock();
    const done = { kind: 'completed', tokens: ['t'], brokeReplica: false, sent: true };
    const { chunk, store, reports } = await heldChunk(1, () => Promise.resolve(done), clock);
    store.write = fails;
    chunk.run(clock.monotonicMs());
    await vi.waitFor(() => expect(chunk.unfinishedItemCount).toBe(0));
    clock.advance(20);
    chunk.run(clock.monotonicMs());
    await vi.waitFor(() => expect(reports).toEqual([['write of a chunk', UNEXPECTED]]));
    expect(chunk.finished).toBe(true);
    await chunk.release();
  });
});

describe('BatchRunner', () => {
  it('releases the other chunks, and completes the drain, when the release of one throws', async () => {
    const { tasks, reports } = reportedTasks();
    const node = { onNotice: () => undefined };
    const none = {} as never;
    const options = { leaseMs: LEASE_MS, commitPeriodMs: 10, maxHeldChunks: 2 };
    const runner = new BatchRunner(
      'a',
      none,
      none,
      none,
      none,
      none,
      none,
      node as never,
      options,
      tasks,
      new ManualClock(),
      new Metrics(),
    );
    let isReleased = false;
    const release = async () => {
      await new Promise((resolve) => setTimeout(resolve, 20));
      isReleased = true;
    };
    const held = Reflect.get(runner, 'held') as EntityTable<{ release: () => Promise<void> }>;
    held.set('bad', { release: fails });
    held.set('good', { release });
    await runner.drain();
    expect(isReleased).toBe(true);
    expect(reports).toEqual([['release of a chunk', UNEXPECTED]]);
  });
});

describe('periodic work', () => {
  it('goes on: the instance list is read again, and a table is fetched again', async () => {
    const { tasks, reports } = reportedTasks();
    const node = { request: vi.fn(fails), onRequest: vi.fn(), onNotice: vi.fn() };
    const table = new TableStore(recordStore(), tasks, new Metrics(), () => 0);
    const replication = new TableReplication(
      table,
      recordStore(),
      node as never,
      () => ({}) as never,
      SELF,
      tasks,
      new Metrics(),
    );
    const digest = { revisions: [7] };
    replication.onPeerTable(SELF, digest);
    await vi.waitFor(() => expect(reports).toHaveLength(1));
    replication.onPeerTable(SELF, digest);
    await vi.waitFor(() => expect(reports).toHaveLength(2));

    const read = vi
      .fn(fails)
      .mockImplementationOnce(() => Promise.resolve({ ok: false } as unknown as never));
    const list = { announce: () => Promise.resolve(), read };
    const poller = new InstanceListPoller(
      list as never,
      1,
      SELF,
      {} as never,
      {} as never,
      tasks,
      new Metrics(),
    );
    await poller.start();
    await vi.waitFor(() => expect(read.mock.calls.length).toBeGreaterThan(3));
    poller.stop();
    expect(reports.map(([task]) => task)).toContain('instance list');
  });

  it('goes on after an entry of the table that another writer has left', async () => {
    const service = new MemoryKeyValueService();
    const store = recordStore(service);
    const { tasks, reports } = reportedTasks();
    const table = new TableStore(store, tasks, new Metrics(), () => 0);
    const node = { onRequest: () => undefined, onNotice: () => undefined };
    const members = { owners: () => [SELF] };
    const replication = new TableReplication(
      table,
      store,
      node as never,
      () => members as never,
      SELF,
      tasks,
      new Metrics(),
    );
    await replication.start();
    await service.compareAndSwap('table/0', 0, 'no record');
    await service.compareAndSwap('table/1', 0, JSON.stringify({ writeIds: [], value: null }));
    await vi.waitFor(() => expect(reports.map(([task]) => task)).toEqual(['table event', 'table event']));
    replication.stop();
  });

  it('settles the other idempotency records when the write of one throws', async () => {
    const { tasks, reports } = reportedTasks();
    const written: string[] = [];
    const state = { isDown: true };
    const write = (key: string) => {
      if (state.isDown) return Promise.resolve({ ok: false, error: { kind: 'unavailable' } });
      if (key === 'bad') return fails();
      written.push(key);
      return Promise.resolve({ ok: true });
    };
    const node = { onRequest: () => undefined };
    const records = new IdempotencyRecords(
      'a',
      { write } as never,
      node as never,
      () => ({}) as never,
      tasks,
      new ManualClock(),
      new Metrics(),
    );
    await Promise.all(['bad', 'good'].map((key) => records.endNotRun({ key, value: {} } as never)));
    state.isDown = false;
    const abort = new AbortController();
    const drained = records.drain(abort.signal);
    await vi.waitFor(() => expect(written).toEqual(['good']));
    abort.abort();
    await drained;
    expect(reports).toContainEqual(['idempotency record', UNEXPECTED]);
    expect(records.dump()).toMatchObject({ unsettled: ['bad'] });
  });
});

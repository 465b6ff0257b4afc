import type { JobProgress, LineWriter } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, batchJobKeys, ok } from '@fighub/core';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import type { JobItemResponse, JobResultsResponse, MembershipRunner, PeerNode } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { InputCache } from './input-cache.js';
import { JobReader } from './job-reader.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const HOLDER = { instanceId: 'holder', peerAddress: 'a:1', schedules: true };
const NOT_HELD: JobResultsResponse = { held: false, itemCount: 0, committedCount: 0, results: [] };
const PROGRESS = {
  jobId: 'j',
  itemCount: 3,
  holder: 'another',
  inputPartCount: 1,
  finishedIndexes: [0, 1],
  segments: [{ key: batchJobKeys.segment('j', 1, 2), count: 2 }],
  ended: false,
} as unknown as JobProgress;

function resultOf(itemId: string) {
  return { itemId, succeeded: true, output: itemId };
}

function setup(answer: JobResultsResponse | JobItemResponse) {
  const store = new RecordStore(
    new MemoryKeyValueService(),
    { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 100 },
    new SystemClock(),
    new Metrics(),
  );
  const members = {
    owners: () => [HOLDER],
    membership: { get: () => HOLDER, isLive: () => true },
  } as unknown as MembershipRunner;
  const asked: string[] = [];
  const node = {
    request: (address: string) => {
      asked.push(address);
      return Promise.resolve(ok(answer));
    },
  } as unknown as PeerNode;
  const metrics = new Metrics();
  const standing = { mayRefuseForGood: true };
  const inputs = new InputCache(store);
  const reader = new JobReader(
    () => 'self',
    store,
    inputs,
    () => members,
    node,
    () => NOT_HELD,
    () => undefined,
    () => standing.mayRefuseForGood,
    metrics,
    new DecisionLog(DISCARDING_WRITER, new SystemClock(), metrics),
  );
  return { store, inputs, reader, asked, metrics, standing };
}

describe('JobReader', () => {
  it('asks the probable holder of a job that it does not know before it reads the store', async () => {
    const answer = { held: true, itemCount: 3, committedCount: 1, results: [resultOf('a')] };
    const { reader, asked } = setup(answer);
    expect(await reader.results({ jobId: 'j' }, 0)).toMatchObject({ ok: true, value: { nextPosition: 1 } });
    expect(asked).toEqual(['a:1']);
  });

  it('reads the store when a former holder has fewer results than the caller has already read', async () => {
    const { store, reader } = setup({ held: true, itemCount: 3, committedCount: 0, results: [] });
    await store.write(batchJobKeys.progress('j'), undefined, PROGRESS);
    await store.write(batchJobKeys.segment('j', 1, 2), undefined, {
      results: [resultOf('a'), resultOf('b')],
    });
    const page = await reader.results({ jobId: 'j' }, 1);
    expect(page).toMatchObject({ ok: true, value: { nextPosition: 2, results: [{ itemId: 'b' }] } });
  });

  it('shows a job to callers of its organisation only, whoever holds it', async () => {
    const held = {
      held: true,
      itemCount: 3,
      committedCount: 1,
      organisation: 'fox',
      results: [resultOf('a')],
    };
    const { store, reader } = setup(held);
    const access = { jobId: 'j', organisation: 'hen' };
    expect(await reader.results(access, 0)).toMatchObject({ ok: false, error: { code: 'unknown_job' } });
    await store.write(batchJobKeys.progress('j'), undefined, { ...PROGRESS, organisation: 'fox' });
    expect(await reader.itemBody(access, 'a')).toMatchObject({ ok: false, error: { code: 'unknown_job' } });
    expect(await reader.end(access)).toMatchObject({ ok: false, error: { code: 'unknown_job' } });
    expect(await reader.results({ ...access, organisation: 'fox' }, 0)).toMatchObject({ ok: true });
  });

  // Guards against callers who are told that their job does not exist, since their organisation was added a moment ago.
  it("does not say that a job is unknown while its configuration may lack the caller's organisation", async () => {
    const { reader, standing } = setup({
      held: true,
      itemCount: 1,
      committedCount: 0,
      organisation: 'fox',
      results: [],
    });
    standing.mayRefuseForGood = false;
    expect(await reader.results({ jobId: 'j' }, 0)).toMatchObject({
      ok: false,
      error: { code: 'configuration_outdated', run: 'not_run' },
    });
  });

  // Guards against bodies of an organisation's items that are shown to callers without a key.
  it('shows no body of a job whose organisation it does not know, though its items are in memory', async () => {
    const { store, inputs, reader } = setup({ held: false });
    await store.write(batchJobKeys.progress('j'), undefined, { ...PROGRESS, organisation: 'fox' });
    inputs.put('j', [{ itemId: 'a', target: '/t', headers: [], bodyBase64: 'eA==', tokens: 1 }]);
    expect(await reader.itemBody({ jobId: 'j' }, 'a')).toMatchObject({ error: { code: 'unknown_job' } });
  });

  it('reads the body of an item from the holder, and from the store when the holder has not got it', async () => {
    const bodyBase64 = Buffer.from('a prompt').toString('base64');
    const access = { jobId: 'j', organisation: 'fox' };
    const held = setup({ held: true, organisation: 'fox', bodyBase64 });
    expect(await held.reader.itemBody(access, 'a')).toEqual({ ok: true, value: Buffer.from('a prompt') });
    const missing = setup({ held: true, organisation: 'fox' });
    expect(await missing.reader.itemBody(access, 'b')).toMatchObject({ error: { code: 'not_found' } });
    const { store, reader } = setup({ held: false });
    const progress = { ...PROGRESS, organisation: 'fox', inputPartCount: 1 };
    await store.write(batchJobKeys.progress('j'), undefined, progress);
    await store.write(batchJobKeys.input('j', 0), undefined, {
      text: JSON.stringify([{ itemId: 'a', target: '/t', headers: [], bodyBase64, tokens: 1 }]),
    });
    expect(await reader.itemBody(access, 'a')).toEqual({ ok: true, value: Buffer.from('a prompt') });
  });

  it('reports that a job does not exist only after it has read the store', async () => {
    const { reader } = setup(NOT_HELD);
    expect(await reader.results({ jobId: 'j' }, 0)).toMatchObject({
      ok: false,
      error: { code: 'unknown_job' },
    });
  });
});

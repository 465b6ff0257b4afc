import type { JobManifest } from '@fighub/core';
import { InvariantError, InvariantName, ManualClock, Metrics, notRun } from '@fighub/core';
import { PoolScheduler, emptyLedger, takeLease } from '@fighub/decisions';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it, vi } from 'vitest';

import { CompletionRun } from '../online/completion-runner.js';
import { COMPLETION_SPEC, runnerWith } from '../testing/completion-fixture.js';
import { HeldChunk } from './held-chunk.js';
import { JobReader } from './job-reader.js';
import { TableStore, bucketOf } from '../table/table-store.js';
import { reportedTasks } from '../testing/background-tasks.js';

function store(service = new MemoryKeyValueService()): RecordStore {
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 100 };
  return new RecordStore(service, options, new ManualClock(), new Metrics());
}

async function invariantOf(work: () => unknown): Promise<string> {
  try {
    await work();
    return 'none';
  } catch (error) {
    return error instanceof InvariantError ? error.invariant : String(error);
  }
}

describe('a broken invariant throws', () => {
  it('when a row of a newer bucket has a lower revision', async () => {
    const table = new TableStore(store(), reportedTasks().tasks, new Metrics(), () => 0);
    const row = { key: 'model/a', value: {}, deleted: false, changedAtUnixMs: 0, changedBy: '' };
    const bucket = bucketOf(row.key);
    table.apply({ bucket, revision: 1, rows: [{ ...row, revision: 5 }] });
    const apply = (): void => table.apply({ bucket, revision: 2, rows: [{ ...row, revision: 4 }] });
    expect(await invariantOf(apply)).toBe(InvariantName.revisionNeverFalls);
  });

  it('when a newer bucket lacks a row', async () => {
    const table = new TableStore(store(), reportedTasks().tasks, new Metrics(), () => 0);
    const row = { key: 'model/a', revision: 1, value: {}, deleted: false, changedAtUnixMs: 0, changedBy: '' };
    const bucket = bucketOf(row.key);
    table.apply({ bucket, revision: 1, rows: [row] });
    expect(await invariantOf(() => table.apply({ bucket, revision: 2, rows: [] }))).toBe(
      InvariantName.revisionNeverFalls,
    );
  });

  it('when more items of a job have ended than the job has', async () => {
    const records = store();
    const manifest = {
      jobId: 'j',
      organisation: 'o',
      state: 'open',
      itemCount: 1,
      chunkCount: 1,
      createdAtUnixMs: 0,
    };
    await records.write('jobs/j/manifest', undefined, manifest);
    await records.write('jobs/j/ledger/000000', undefined, { doneCount: 2, failedCount: 0 });
    const reader = new JobReader(records, new ManualClock(), () => undefined);
    expect(await invariantOf(() => reader.status('j', 'o'))).toBe(InvariantName.countsAddUp);
  });

  it('when a permit is granted with the id of an active permit', async () => {
    const policy = {
      reserveMaxFraction: 0,
      targets: { firstTokenTargetMs: 1, betweenTokensTargetMs: 1 },
      weightOf: () => 1,
      limitsOf: () => ({}),
    };
    const output = {
      granted: () => undefined,
      refused: () => undefined,
      revoked: () => undefined,
      promptFound: () => undefined,
    };
    const scheduler = new PoolScheduler('m@d', 'owner', policy, output);
    scheduler.setReplicas([
      { replicaId: 'r', address: 'a', failureDomain: 'd', maxConcurrency: 2, leaving: false },
    ]);
    const request = {
      requestId: 'q',
      organisation: 'o',
      costTokens: 1,
      deadlineMs: 9_999,
      holder: 'h',
      workClass: 'online' as const,
      prefixDigest: '',
      sharedPartIds: [],
      excludedReplicaIds: [],
      resumable: true,
      alone: false,
      enqueuedAtMs: 0,
    };
    scheduler.renew(
      'h',
      [{ permitId: 'owner/m@d/1', request, replicaId: 'r', grantedAtMs: 0, expiresAtMs: 0 }],
      0,
    );
    scheduler.enqueue(request, 1);
    expect(await invariantOf(() => scheduler.run(1))).toBe(InvariantName.permitUsedOnce);
  });

  it('when a stream receives a token of another request', async () => {
    const accepts = vi.spyOn(CompletionRun.prototype, 'accepts').mockReturnValue(true);
    const foreign = { requestId: 'other', attemptId: 'a', tokenIndex: 0, text: 't' };
    const engine = {
      run: (_call: unknown, _limits: unknown, onChunk: (chunk: unknown) => void) => {
        onChunk(foreign);
        return Promise.resolve({ kind: 'completed', detail: '', sent: true });
      },
    };
    const run = (): unknown => runnerWith(engine).run(COMPLETION_SPEC, new AbortController().signal);
    expect(await invariantOf(run)).toBe(InvariantName.streamChunkBelongs);
    accepts.mockRestore();
  });

  it('when an item is dispatched after its lease has expired', async () => {
    const mayDispatch = vi.spyOn(HeldChunk.prototype, 'checkDispatch').mockReturnValue(true);
    const clock = new ManualClock();
    const specs: { onDispatch?: () => void }[] = [];
    const runner = {
      run: (spec: { onDispatch?: () => void }) => (specs.push(spec), new Promise(() => undefined)),
    };
    const records = store();
    const ledger = await records.write('l', undefined, takeLease(emptyLedger(1), 'me'));
    if (!ledger.ok) throw new Error('not written');
    const job = { jobId: 'j', idempotent: true } as JobManifest;
    const input = { firstIndex: 0, items: [{ customId: 'c', prompt: 'p', maxTokens: 1 }] };
    const options = { leaseMs: 1_000, commitPeriodMs: 100 };
    const chunk = new HeldChunk(
      job,
      0,
      input,
      ledger.value,
      clock.monotonicMs(),
      options,
      records,
      runner as never,
      () => true,
      reportedTasks().tasks,
      clock,
      new Metrics(),
    );
    chunk.run(clock.monotonicMs());
    // The lease becomes unusable between the check and the dispatch; no other instance may claim the chunk yet.
    clock.advance(751);
    specs[0]?.onDispatch?.();
    clock.advance(249);
    expect(await invariantOf(() => specs[0]?.onDispatch?.())).toBe(InvariantName.noDispatchOnExpiredLease);
    mayDispatch.mockRestore();
  });

  it('when a request is to be reported as not run after an attempt was sent', async () => {
    const failure = vi
      .spyOn(CompletionRun.prototype, 'failure')
      .mockReturnValue(notRun('upstream_failed', ''));
    const end = { kind: 'rejected', detail: '', sent: true };
    const engine = { run: () => Promise.resolve(end), load: () => Promise.resolve(undefined) };
    const run = (): unknown => runnerWith(engine).run(COMPLETION_SPEC, new AbortController().signal);
    expect(await invariantOf(run)).toBe(InvariantName.notRunNothingSent);
    failure.mockRestore();
  });
});

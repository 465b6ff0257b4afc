import type { Outcome } from '@fighub/core';
import { Metrics, SystemClock, fail } from '@fighub/core';
import type { KeyChange, StoreError } from '@fighub/outside';
import { MemoryKeyValueService, RecordStore, StoreErrorKind } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import type { JobWrite, JobWriteOutcome } from './job-writes.js';
import { writeTogether } from './job-writes.js';

/** Counts transactions, and fails all of them while it is down. */
class CountingService extends MemoryKeyValueService {
  transactions = 0;
  isDown = false;

  override transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>> {
    this.transactions += 1;
    if (this.isDown) return Promise.resolve(fail({ kind: StoreErrorKind.unavailable, detail: 'down' }));
    return super.transact(changes);
  }
}

function setup() {
  const service = new CountingService();
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 0 };
  const store = new RecordStore(service, options, new SystemClock(), new Metrics());
  const outcomes = new Map<string, JobWriteOutcome>();
  const commitOf = (jobId: string): JobWrite => ({
    changes: [
      { key: `progress/${jobId}`, value: 1 },
      { key: `results/${jobId}`, value: 2 },
    ],
    keys: 2,
    bytes: 10,
    settle: (outcome) => outcomes.set(jobId, outcome),
  });
  return { service, store, outcomes, commitOf };
}

const JOB_IDS = Array.from({ length: 16 }, (_, index) => `j${String(index)}`);

describe('writeTogether', () => {
  it('commits the results of sixteen jobs in two transactions, and gives each job its records', async () => {
    const { service, store, outcomes, commitOf } = setup();
    await writeTogether(store, JOB_IDS.map(commitOf));
    expect(service.transactions).toBe(2);
    JOB_IDS.forEach((jobId) => {
      const outcome = outcomes.get(jobId);
      expect(outcome?.ok && outcome.value.get(`progress/${jobId}`)?.value).toBe(1);
    });
  });

  it('fails only the job whose progress another instance has changed', async () => {
    const { store, outcomes, commitOf } = setup();
    await store.write('progress/j3', undefined, 'by another instance');
    await writeTogether(store, JOB_IDS.map(commitOf));
    const failed = JOB_IDS.filter((jobId) => outcomes.get(jobId)?.ok !== true);
    expect(failed).toEqual(['j3']);
    const outcome = outcomes.get('j3');
    expect(outcome?.ok === false && outcome.error.kind).toBe(StoreErrorKind.conflict);
  });

  it('does not repeat the writes one by one while the store is down', async () => {
    const { service, store, outcomes, commitOf } = setup();
    service.isDown = true;
    await writeTogether(store, JOB_IDS.map(commitOf));
    expect(service.transactions).toBe(2);
    expect([...outcomes.values()].filter(({ ok }) => ok)).toEqual([]);
    expect(outcomes.size).toBe(16);
  });
});

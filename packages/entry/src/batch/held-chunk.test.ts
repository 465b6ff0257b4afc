import type { ChunkLedger, JobManifest, Outcome } from '@fighub/core';
import { Metrics, SystemClock } from '@fighub/core';
import { emptyLedger, takeLease } from '@fighub/decisions';
import type { StoreError } from '@fighub/outside';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import { describe, expect, it, vi } from 'vitest';

import { HeldChunk } from './held-chunk.js';
import { reportedTasks } from '../testing/background-tasks.js';

const ITEMS = 900;
const TICK_MS = 5;
/** Far more than the ticks in which all items run, also on a busy machine. */
const TICKS_TIMEOUT_MS = 10_000;

/** Key-value service whose writes of output segments wait until they are let through. */
class HoldingStore extends MemoryKeyValueService {
  letThrough: () => void = () => undefined;
  private readonly opened = new Promise<void>((resolve) => (this.letThrough = resolve));

  override async compareAndSwap(
    key: string,
    revision: number,
    value: string,
  ): Promise<Outcome<number, StoreError>> {
    if (key.includes('output')) await this.opened;
    return super.compareAndSwap(key, revision, value);
  }
}

describe('HeldChunk', () => {
  it('commits all results when it is released, also those that one segment cannot hold', async () => {
    const service = new HoldingStore();
    const clock = new SystemClock();
    const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 10_000 };
    const store = new RecordStore(service, options, clock, new Metrics());
    const ledger = await store.write<ChunkLedger>('l', undefined, takeLease(emptyLedger(ITEMS), 'me'));
    if (!ledger.ok) throw new Error('the ledger could not be written');
    const end = { kind: 'completed', tokens: ['t'], brokeReplica: false, sent: true };
    const chunk = new HeldChunk(
      { jobId: 'j', idempotent: true } as JobManifest,
      0,
      {
        firstIndex: 0,
        items: Array.from({ length: ITEMS }, (_, index) => ({
          customId: String(index),
          prompt: 'p',
          maxTokens: 1,
        })),
      },
      ledger.value,
      clock.monotonicMs(),
      { leaseMs: 60_000, commitPeriodMs: 30_000 },
      store,
      { run: () => Promise.resolve(end) } as never,
      () => true,
      reportedTasks().tasks,
      clock,
      new Metrics(),
    );
    await vi.waitFor(
      () => {
        chunk.run(clock.monotonicMs());
        expect(chunk.unfinishedItemCount).toBe(0);
      },
      { timeout: TICKS_TIMEOUT_MS, interval: TICK_MS },
    );
    service.letThrough();
    await chunk.release();
    const stored = await store.read<ChunkLedger>('l');
    expect(stored.ok && stored.value?.value.doneCount).toBe(ITEMS);
  });
});

/** Ways to commit results at a service with the platform's limits: by ledger and segment, by item, by key. */
import type { ChunkLedger, ItemResult, Outcome } from '@fighub/core';
import { Metrics, SystemClock, newId } from '@fighub/core';
import { applyCommit, emptyLedger, isComplete, openOffsets, takeLease } from '@fighub/decisions';
import type { RecordError, Versioned } from '@fighub/outside';
import { EtcdKeyValueService, RecordStore } from '@fighub/outside';
import { KV_DEFAULTS, startKvStandin } from '@fighub/standins';
import got from 'got';

import type { Experiment, ExperimentOutcome } from '../experiment.js';

const WINDOW_MS = 8_000;
const CHUNKS_AT_ONCE = 8;
const CHUNK_ITEMS = 250;
const RESULTS_PER_COMMIT = 100;
const TEXT = 'word '.repeat(60);

type Way = (store: RecordStore, chunk: string, endMs: number) => Promise<number>;

function resultOf(index: number): ItemResult {
  return { index, customId: String(index), status: 'succeeded', text: TEXT, tokens: 60 };
}

/** Commits a chunk's results in groups; returns the items that were committed before the end. */
function byLedger(group: number, withSegment: boolean): Way {
  return async (store, chunk, endMs) => {
    let ledger = await store.write<ChunkLedger>(
      `${chunk}/ledger`,
      undefined,
      takeLease(emptyLedger(CHUNK_ITEMS), 'me'),
    );
    let done = 0;
    while (ledger.ok && !isComplete(ledger.value.value) && performance.now() < endMs) {
      const results = openOffsets(ledger.value.value).slice(0, group).map(resultOf);
      const segment = newId('seg');
      if (withSegment) await store.write(`${chunk}/output/${segment}`, undefined, results);
      const next = applyCommit(ledger.value.value, { firstIndex: 0, results, segment, attempts: [] });
      const written: Outcome<Versioned<ChunkLedger>, RecordError<ChunkLedger>> = await store.write(
        `${chunk}/ledger`,
        ledger.value,
        next,
      );
      if (!written.ok) continue;
      ledger = written;
      done += results.length;
    }
    return done;
  };
}

const byKey: Way = async (store, chunk, endMs) => {
  let done = 0;
  while (done < CHUNK_ITEMS && performance.now() < endMs) {
    const written = await store.write(`${chunk}/${String(done)}`, undefined, resultOf(done));
    if (written.ok) done += 1;
  }
  return done;
};

interface WayFigures {
  readonly itemsPerSecond: number;
  readonly writesPerItem: number;
}

async function measure(way: Way): Promise<WayFigures> {
  const standin = await startKvStandin(KV_DEFAULTS);
  try {
    const service = new EtcdKeyValueService({ address: standin.address, callTimeoutMs: 2_000 });
    const { readsPerSecond, writesPerSecond } = KV_DEFAULTS;
    const options = { readsPerSecond, writesPerSecond: writesPerSecond * 0.95, deadlineMs: 5_000 };
    const store = new RecordStore(service, options, new SystemClock(), new Metrics());
    const startedMs = performance.now();
    const endMs = startedMs + WINDOW_MS;
    const worker = async (): Promise<number> => {
      let done = 0;
      while (performance.now() < endMs) done += await way(store, newId('chunk'), endMs);
      return done;
    };
    const counts = await Promise.all(Array.from({ length: CHUNKS_AT_ONCE }, worker));
    const items = counts.reduce((sum, count) => sum + count, 0);
    const seconds = (performance.now() - startedMs) / 1_000;
    const stats = await got(`${standin.address}/stats`).json<{ writes: number }>();
    return { itemsPerSecond: items / seconds, writesPerItem: stats.writes / items };
  } finally {
    standin.server.close();
    standin.server.closeAllConnections();
  }
}

async function run(): Promise<ExperimentOutcome> {
  const group = await measure(byLedger(RESULTS_PER_COMMIT, true));
  const single = await measure(byLedger(1, true));
  const key = await measure(byKey);
  return {
    plots: [],
    figures: {
      groupItemsPerSecond: group.itemsPerSecond,
      groupWritesPerItem: group.writesPerItem,
      commitPerItemItemsPerSecond: single.itemsPerSecond,
      commitPerItemWritesPerItem: single.writesPerItem,
      keyPerItemItemsPerSecond: key.itemsPerSecond,
      keyPerItemWritesPerItem: key.writesPerItem,
    },
  };
}

/** `lab run commit`. */
export const commit: Experiment = {
  name: 'commit',
  summary: 'group commit by ledger against one commit an item and one key an item',
  bounds: [{ figure: 'groupWritesPerItem', atMost: 0.05 }],
  run,
};

/**
 * Compares three ways to commit batch results to a key-value service with the hosting platform's rate limits: in groups
 * with a ledger and a segment, one result at a time with a ledger and a segment, and one key for each result.
 */
import type { ChunkLedger, ItemResult, Outcome } from '@fighub/core';
import { Metrics, SystemClock, newId } from '@fighub/core';
import { applyCommit, emptyLedger, isComplete, openOffsets, takeLease } from '@fighub/decisions';
import type { RecordError, Versioned } from '@fighub/outside';
import { EtcdKeyValueService, RecordStore } from '@fighub/outside';
import { KV_DEFAULTS, startKvStandin } from '@fighub/standins';
import got from 'got';

import type { Experiment, ExperimentOutcome } from '../experiment.js';

const MEASUREMENT_MS = 8_000;
const CONCURRENT_CHUNKS = 8;
const CHUNK_ITEMS = 250;
const RESULTS_PER_COMMIT = 100;
const RESULT_TEXT = 'word '.repeat(60);

/** Commits the results of one chunk until the monotonic time `endMs`, and returns how many were committed. */
type CommitStrategy = (store: RecordStore, chunk: string, endMs: number) => Promise<number>;

function resultOf(index: number): ItemResult {
  return { index, customId: String(index), status: 'succeeded', text: RESULT_TEXT, tokens: 60 };
}

/** Commits results in groups of `resultsPerCommit`: one segment and one update of the chunk's ledger per group. */
function commitByLedger(resultsPerCommit: number, withSegment: boolean): CommitStrategy {
  return async (store, chunk, endMs) => {
    let ledger = await store.write<ChunkLedger>(
      `${chunk}/ledger`,
      undefined,
      takeLease(emptyLedger(CHUNK_ITEMS), 'me'),
    );
    let committedCount = 0;
    while (ledger.ok && !isComplete(ledger.value.value) && performance.now() < endMs) {
      const results = openOffsets(ledger.value.value).slice(0, resultsPerCommit).map(resultOf);
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
      committedCount += results.length;
    }
    return committedCount;
  };
}

/** Writes each result under a key of its own. */
const commitByKey: CommitStrategy = async (store, chunk, endMs) => {
  let committedCount = 0;
  while (committedCount < CHUNK_ITEMS && performance.now() < endMs) {
    const written = await store.write(
      `${chunk}/${String(committedCount)}`,
      undefined,
      resultOf(committedCount),
    );
    if (written.ok) committedCount += 1;
  }
  return committedCount;
};

interface StrategyFigures {
  readonly itemsPerSecond: number;
  readonly writesPerItem: number;
}

/** Runs a strategy on several chunks at once against a new key-value stand-in. */
async function measureStrategy(strategy: CommitStrategy): Promise<StrategyFigures> {
  const standin = await startKvStandin(KV_DEFAULTS);
  try {
    const service = new EtcdKeyValueService({ address: standin.address, callTimeoutMs: 2_000 });
    const { readsPerSecond, writesPerSecond } = KV_DEFAULTS;
    const options = { readsPerSecond, writesPerSecond: writesPerSecond * 0.95, deadlineMs: 5_000 };
    const store = new RecordStore(service, options, new SystemClock(), new Metrics());
    const startedMs = performance.now();
    const endMs = startedMs + MEASUREMENT_MS;
    const worker = async (): Promise<number> => {
      let committedCount = 0;
      while (performance.now() < endMs) committedCount += await strategy(store, newId('chunk'), endMs);
      return committedCount;
    };
    const counts = await Promise.all(Array.from({ length: CONCURRENT_CHUNKS }, worker));
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
  const groupFigures = await measureStrategy(commitByLedger(RESULTS_PER_COMMIT, true));
  const commitPerItemFigures = await measureStrategy(commitByLedger(1, true));
  const keyPerItemFigures = await measureStrategy(commitByKey);
  return {
    plots: [],
    figures: {
      groupItemsPerSecond: groupFigures.itemsPerSecond,
      groupWritesPerItem: groupFigures.writesPerItem,
      commitPerItemItemsPerSecond: commitPerItemFigures.itemsPerSecond,
      commitPerItemWritesPerItem: commitPerItemFigures.writesPerItem,
      keyPerItemItemsPerSecond: keyPerItemFigures.itemsPerSecond,
      keyPerItemWritesPerItem: keyPerItemFigures.writesPerItem,
    },
  };
}

/** The experiment that `lab run commit` starts. */
export const commit: Experiment = {
  name: 'commit',
  summary: 'group commits with a ledger, compared with one commit per item and one key per item',
  bounds: [{ figure: 'groupWritesPerItem', atMost: 0.05 }],
  run,
};

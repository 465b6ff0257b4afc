/** Compares the throughput of a batch job on an otherwise idle fleet with the rate that the replicas can reach. */
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 10_000;
const TOKENS_PER_ITEM = 8;
const SLOTS_PER_REPLICA = 8;
const REPLICAS = 6;
const DECODE_STEP_MS = 12;
const DECODE_STEP_PER_STREAM_MS = 0.3;
const PREFILL_MS = 20;
const JOB_TIMEOUT_MS = 50_000;

/** Milliseconds that an item takes on a replica with all slots in use: the prefill, then one step per token. */
function idealItemMs(): number {
  const stepMs = DECODE_STEP_MS + DECODE_STEP_PER_STREAM_MS * (SLOTS_PER_REPLICA - 1);
  return PREFILL_MS + TOKENS_PER_ITEM * stepMs;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    engine: {
      stepMs: DECODE_STEP_MS,
      stepPerStreamMs: DECODE_STEP_PER_STREAM_MS,
      prefillMs: PREFILL_MS,
      cachedPrefillMs: PREFILL_MS,
      maxConcurrency: SLOTS_PER_REPLICA,
    },
  });
  try {
    const statsBefore = await fleet.keyValueStats();
    const job = await sendJob(fleet, 'obloha', 'batch-lot', ITEMS, TOKENS_PER_ITEM);
    const acceptedMs = performance.now();
    await waitForJob(fleet, job, JOB_TIMEOUT_MS);
    const tookMs = performance.now() - acceptedMs;
    const statsAfter = await fleet.keyValueStats();
    const check = await checkJob(fleet, job);
    const idealMs = (ITEMS * idealItemMs()) / (REPLICAS * SLOTS_PER_REPLICA);
    note(
      `the job took ${String(Math.round(tookMs))} ms; the lower bound is ${String(Math.round(idealMs))} ms`,
    );
    return {
      plots: [],
      figures: {
        items: ITEMS,
        tookMs,
        idealMs,
        throughputOfIdealFraction: idealMs / tookMs,
        itemsPerSecond: (ITEMS * 1_000) / tookMs,
        serviceWritesPerItem: (statsAfter.writes - statsBefore.writes) / ITEMS,
        serviceReadsPerItem: (statsAfter.reads - statsBefore.reads) / ITEMS,
        itemsLost: check.lost,
        itemsDoubled: check.doubled,
        itemsWrong: check.wrong,
        falseFailed: check.failed,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run batch` starts. */
export const batch: Experiment = {
  name: 'batch',
  summary: 'throughput of a batch job of 10,000 items, compared with the rate of the replicas',
  bounds: [
    { figure: 'throughputOfIdealFraction', atLeast: 0.9 },
    { figure: 'serviceWritesPerItem', atMost: 0.05 },
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
  ],
  run,
};

/** Batch throughput on an idle fleet beside the replicas' own rate. */
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 10_000;
const TOKENS = 8;
const PLACES_PER_REPLICA = 8;
const REPLICAS = 6;
const STEP_MS = 12;
const STEP_PER_STREAM_MS = 0.3;
const PREFILL_MS = 20;
const WAIT_LIMIT_MS = 50_000;

/** Time of one item on a full replica: prefill, the rest of a step, and its tokens. */
function idealItemMs(): number {
  const stepMs = STEP_MS + STEP_PER_STREAM_MS * (PLACES_PER_REPLICA - 1);
  return PREFILL_MS + TOKENS * stepMs;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    engine: {
      stepMs: STEP_MS,
      stepPerStreamMs: STEP_PER_STREAM_MS,
      prefillMs: PREFILL_MS,
      cachedPrefillMs: PREFILL_MS,
      maxConcurrency: PLACES_PER_REPLICA,
    },
  });
  try {
    const before = await fleet.keyValueStats();
    const job = await sendJob(fleet, 'obloha', 'batch-lot', ITEMS, TOKENS);
    const acceptedMs = performance.now();
    await waitForJob(fleet, job, WAIT_LIMIT_MS);
    const tookMs = performance.now() - acceptedMs;
    const after = await fleet.keyValueStats();
    const check = await checkJob(fleet, job);
    const idealMs = (ITEMS * idealItemMs()) / (REPLICAS * PLACES_PER_REPLICA);
    note(`took ${String(Math.round(tookMs))} ms, lower bound ${String(Math.round(idealMs))} ms`);
    return {
      plots: [],
      figures: {
        items: ITEMS,
        tookMs,
        idealMs,
        throughputOfIdealFraction: idealMs / tookMs,
        itemsPerSecond: (ITEMS * 1_000) / tookMs,
        serviceWritesPerItem: (after.writes - before.writes) / ITEMS,
        serviceReadsPerItem: (after.reads - before.reads) / ITEMS,
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

/** `lab run batch`. */
export const batch: Experiment = {
  name: 'batch',
  summary: 'throughput of a job of 10,000 items beside its lower bound',
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

/** Measures the processor time, peer traffic and service calls that an online request and a batch item cost entries. */
import { sendJob, waitForJob } from '../batch-load.js';
import type { EntryUsage } from '../entry-usage.js';
import { readEntryUsage, usageIncrease } from '../entry-usage.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const PHASES = [{ lengthMs: 8_000, ratePerSecond: 40 }];
/**
 * Tokens of the short and of the long requests. The difference in their cost gives the cost of a token. Batch items
 * have as many tokens as short requests.
 */
const TOKENS_PER_REQUEST = [8, 40] as const;
const ITEMS = 2_000;
const IDLE_MEASUREMENT_MS = 5_000;
const JOB_TIMEOUT_MS = 40_000;

/** What all entries together spend on one unit of work: a request, an item or a second of idling. */
interface Cost {
  readonly processorMs: number;
  readonly peerBytes: number;
  readonly serviceCalls: number;
}

/** Runs `work` and divides what the entries spent beyond their idle cost by the number of units of work. */
async function measureCost(
  fleet: Fleet,
  units: number,
  idlePerSecond: Cost,
  work: () => Promise<unknown>,
): Promise<Cost> {
  const read = (): Promise<EntryUsage[]> =>
    Promise.all(fleet.entries.map((entry) => readEntryUsage(fleet, entry)));
  const before = await read();
  await work();
  const after = await read();
  const seconds = usageIncrease(before, after, (reading) => reading.atMs) / fleet.entries.length / 1_000;
  const perUnit = (pick: (reading: EntryUsage) => number, idleRate: number): number =>
    (usageIncrease(before, after, pick) - idleRate * seconds) / units;
  return {
    processorMs: perUnit((reading) => reading.processorTimeMs, idlePerSecond.processorMs),
    peerBytes: perUnit((reading) => reading.bytes, idlePerSecond.peerBytes),
    serviceCalls: perUnit((reading) => reading.serviceCalls, idlePerSecond.serviceCalls),
  };
}

async function run(random: SeededRandom): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ engine: { stepMs: 12, stepPerStreamMs: 0.3 } });
  try {
    const zeroCost = { processorMs: 0, peerBytes: 0, serviceCalls: 0 };
    await pause(2_000);
    const idleCost = await measureCost(fleet, IDLE_MEASUREMENT_MS / 1_000, zeroCost, () =>
      pause(IDLE_MEASUREMENT_MS),
    );
    const requestCosts: Cost[] = [];
    for (const tokens of TOKENS_PER_REQUEST) {
      const trace = drawTrace(random, PHASES, ['obloha', 'meteo-tatry'], fleet.entries.length, tokens);
      requestCosts.push(await measureCost(fleet, trace.length, idleCost, () => runTrace(fleet, trace)));
    }
    const itemCost = await measureCost(fleet, ITEMS, idleCost, async () => {
      const job = await sendJob(fleet, 'obloha', 'cost-lot', ITEMS, TOKENS_PER_REQUEST[0]);
      await waitForJob(fleet, job, JOB_TIMEOUT_MS);
    });
    const [shortRequestCost, longRequestCost] = requestCosts;
    const processorMsPerToken =
      ((longRequestCost?.processorMs ?? 0) - (shortRequestCost?.processorMs ?? 0)) /
      (TOKENS_PER_REQUEST[1] - TOKENS_PER_REQUEST[0]);
    return {
      plots: [],
      figures: {
        idleProcessorMsPerNodeSecond: idleCost.processorMs / fleet.entries.length,
        onlineProcessorMsPerRequest:
          (shortRequestCost?.processorMs ?? 0) - processorMsPerToken * TOKENS_PER_REQUEST[0],
        onlineProcessorMsPerToken: processorMsPerToken,
        onlinePeerBytesPerRequest: shortRequestCost?.peerBytes ?? Number.NaN,
        onlineServiceCallsPerRequest: shortRequestCost?.serviceCalls ?? Number.NaN,
        batchProcessorMsPerItem: itemCost.processorMs - processorMsPerToken * TOKENS_PER_REQUEST[0],
        batchPeerBytesPerItem: itemCost.peerBytes,
        batchServiceCallsPerItem: itemCost.serviceCalls,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run cost` starts. */
export const cost: Experiment = {
  name: 'cost',
  summary: 'what an online request and a batch item cost the entries',
  bounds: [{ figure: 'onlineServiceCallsPerRequest', atMost: 0.05 }],
  run,
};

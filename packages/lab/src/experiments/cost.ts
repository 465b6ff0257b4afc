/** What one online request and one batch item cost the entries. */
import { sendJob, waitForJob } from '../batch-load.js';
import type { EntryReading } from '../entry-reading.js';
import { readEntry, spent } from '../entry-reading.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const PHASES = [{ lengthMs: 8_000, ratePerSecond: 40 }];
const TOKENS = [8, 40] as const;
const ITEMS = 2_000;
const IDLE_MS = 5_000;
const JOB_LIMIT_MS = 40_000;

interface Cost {
  readonly processorMs: number;
  readonly peerBytes: number;
  readonly serviceCalls: number;
}

async function costOf(fleet: Fleet, units: number, idle: Cost, work: () => Promise<unknown>): Promise<Cost> {
  const read = (): Promise<EntryReading[]> =>
    Promise.all(fleet.entries.map((entry) => readEntry(fleet, entry)));
  const before = await read();
  await work();
  const after = await read();
  const seconds = spent(before, after, (reading) => reading.atMs) / fleet.entries.length / 1_000;
  const perUnit = (pick: (reading: EntryReading) => number, idlePerSecond: number): number =>
    (spent(before, after, pick) - idlePerSecond * seconds) / units;
  return {
    processorMs: perUnit((reading) => reading.processorTimeMs, idle.processorMs),
    peerBytes: perUnit((reading) => reading.bytes, idle.peerBytes),
    serviceCalls: perUnit((reading) => reading.serviceCalls, idle.serviceCalls),
  };
}

async function run(random: SeededRandom): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ engine: { stepMs: 12, stepPerStreamMs: 0.3 } });
  try {
    const none = { processorMs: 0, peerBytes: 0, serviceCalls: 0 };
    await pause(2_000);
    const idle = await costOf(fleet, IDLE_MS / 1_000, none, () => pause(IDLE_MS));
    const online: Cost[] = [];
    for (const tokens of TOKENS) {
      const trace = drawTrace(random, PHASES, ['obloha', 'meteo-tatry'], fleet.entries.length, tokens);
      online.push(await costOf(fleet, trace.length, idle, () => runTrace(fleet, trace)));
    }
    const item = await costOf(fleet, ITEMS, idle, async () => {
      const job = await sendJob(fleet, 'obloha', 'cost-lot', ITEMS, TOKENS[0]);
      await waitForJob(fleet, job, JOB_LIMIT_MS);
    });
    const [short, long] = online;
    const perToken = ((long?.processorMs ?? 0) - (short?.processorMs ?? 0)) / (TOKENS[1] - TOKENS[0]);
    return {
      plots: [],
      figures: {
        idleProcessorMsPerNodeSecond: idle.processorMs / fleet.entries.length,
        onlineProcessorMsPerRequest: (short?.processorMs ?? 0) - perToken * TOKENS[0],
        onlineProcessorMsPerToken: perToken,
        onlinePeerBytesPerRequest: short?.peerBytes ?? Number.NaN,
        onlineServiceCallsPerRequest: short?.serviceCalls ?? Number.NaN,
        batchProcessorMsPerItem: item.processorMs - perToken * TOKENS[0],
        batchPeerBytesPerItem: item.peerBytes,
        batchServiceCallsPerItem: item.serviceCalls,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run cost`. */
export const cost: Experiment = {
  name: 'cost',
  summary: 'what one online request and one batch item cost the entries',
  bounds: [{ figure: 'onlineServiceCallsPerRequest', atMost: 0.05 }],
  run,
};

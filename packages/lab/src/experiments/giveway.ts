/** Sends bursts of online requests to a fleet full of batch work, and measures how soon preemption frees the slots. */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import { onlineReplicaStats } from '../slot-time.js';
import type { SeededRandom } from '../random.js';

const BURST_COUNT = 6;
const BURST_PHASES = [{ lengthMs: 1_000, ratePerSecond: 45 }];
const PAUSE_AFTER_BURST_MS = 2_000;
const TOKENS_PER_REQUEST = 12;
const ITEMS = 4_000;
const TOKENS_PER_ITEM = 40;
/** Tick period of a pool owner, which bounds the time until a preempted slot is free. */
const OWNER_TICK_MS = 10;

async function run(random: SeededRandom): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start();
  try {
    await sendJob(fleet, 'slnko-data', 'giveway-lot', ITEMS, TOKENS_PER_ITEM);
    await pause(3_000);
    const fromUnixMs = Date.now();
    let failed = 0;
    for (let burst = 0; burst < BURST_COUNT; burst += 1) {
      const trace = drawTrace(
        random,
        BURST_PHASES,
        ['obloha', 'meteo-tatry'],
        fleet.entries.length,
        TOKENS_PER_REQUEST,
      );
      const results = await runTrace(fleet, trace);
      failed += results.filter((result) => result.error !== undefined).length;
      await pause(PAUSE_AFTER_BURST_MS);
    }
    const dumps = await Promise.all(fleet.entries.map((entry) => fleet.admin(entry).dump()));
    const samples = dumps.map((dump) => {
      const metrics = (dump.ok ? dump.value.metrics : {}) as {
        samples?: Record<string, { p99: number; count: number }>;
      };
      return metrics.samples?.place_freed_ms;
    });
    const journal = await fleet.journals();
    return {
      plots: [],
      figures: {
        revocations: samples.reduce((sum, sample) => sum + (sample?.count ?? 0), 0),
        placeFreedMsP99: Math.max(...samples.map((sample) => sample?.p99 ?? 0)),
        waitInsideReplicaMsP99: onlineReplicaStats(journal, fromUnixMs).slotWaitP99Ms,
        failedRequests: failed,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run giveway` starts. */
export const giveway: Experiment = {
  name: 'giveway',
  summary: 'online bursts preempt batch work on a full fleet',
  bounds: [
    { figure: 'placeFreedMsP99', atMost: OWNER_TICK_MS },
    { figure: 'failedRequests', atMost: 0 },
  ],
  run,
};

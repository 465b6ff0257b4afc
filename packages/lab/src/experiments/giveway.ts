/** Online bursts on a fleet full of batch: how soon the places are free. */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import { onlineAtReplicas } from '../place-time.js';
import type { SeededRandom } from '../random.js';

const BURSTS = 6;
const BURST = [{ lengthMs: 1_000, ratePerSecond: 45 }];
const PAUSE_MS = 2_000;
const TOKENS = 12;
const ITEMS = 4_000;
const BATCH_TOKENS = 40;
/** One tick of the owner. */
const ONE_TICK_MS = 10;

async function run(random: SeededRandom): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start();
  try {
    await sendJob(fleet, 'slnko-data', 'giveway-lot', ITEMS, BATCH_TOKENS);
    await pause(3_000);
    const fromUnixMs = Date.now();
    let failed = 0;
    for (let burst = 0; burst < BURSTS; burst += 1) {
      const trace = drawTrace(random, BURST, ['obloha', 'meteo-tatry'], fleet.entries.length, TOKENS);
      const results = await runTrace(fleet, trace);
      failed += results.filter((result) => result.error !== undefined).length;
      await pause(PAUSE_MS);
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
        waitInsideReplicaMsP99: onlineAtReplicas(journal, fromUnixMs).placeWaitP99Ms,
        failedRequests: failed,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run giveway`. */
export const giveway: Experiment = {
  name: 'giveway',
  summary: 'online bursts on a fleet full of batch',
  bounds: [
    { figure: 'placeFreedMsP99', atMost: ONE_TICK_MS },
    { figure: 'failedRequests', atMost: 0 },
  ],
  run,
};

/** Replicas leave while the instance list lags: they get no new work after three seconds. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';
import { sendJob } from '../batch-load.js';

const PHASES = [{ lengthMs: 26_000, ratePerSecond: 40 }];
const TOKENS = 12;
const LEAVE_AFTER_MS = 3_000;
const LEAVERS = 2;
const ALLOWED_MS = 3_000;
const BATCH_ITEMS = 2_000;

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start();
  try {
    await sendJob(fleet, 'slnko-data', 'leaving-lot', BATCH_ITEMS, TOKENS);
    const trace = drawTrace(random, PHASES, ['obloha', 'meteo-tatry'], fleet.entries.length, TOKENS);
    const pending = runTrace(fleet, trace);
    await pause(LEAVE_AFTER_MS);
    const leavers = [fleet.replica(0), fleet.replica(2)].slice(0, LEAVERS);
    await Promise.all(leavers.map((replica) => fleet.setEngineFaults(replica, { leaving: true })));
    const leftAtUnixMs = Date.now();
    const results = await pending;
    results.filter((result) => result.error).forEach((result) => note(JSON.stringify(result.error)));
    const journals = (await Promise.all(leavers.map((replica) => fleet.journal(replica)))).flat();
    const after = journals.filter((entry) => entry.receivedAtUnixMs > leftAtUnixMs);
    return {
      plots: [],
      figures: {
        requests: results.length,
        failedRequests: results.filter((result) => result.error !== undefined).length,
        dispatchesAfterLeaving: after.length,
        dispatchesAfterLeaving3s: after.filter((e) => e.receivedAtUnixMs > leftAtUnixMs + ALLOWED_MS).length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run leaving`. */
export const leaving: Experiment = {
  name: 'leaving',
  summary: 'replicas that leave get no new work though the list lags',
  bounds: [
    { figure: 'dispatchesAfterLeaving3s', atMost: 0 },
    { figure: 'failedRequests', atMost: 0 },
  ],
  run,
};

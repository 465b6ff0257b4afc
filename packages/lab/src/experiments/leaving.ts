/**
 * Lets replicas announce that they are leaving, which neither the table nor the instance list shows, and checks that
 * they receive no new work later than three seconds after that.
 */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';
import { sendJob } from '../batch-load.js';

const PHASES = [{ lengthMs: 26_000, ratePerSecond: 40 }];
/** Tokens of each online request and of each batch item. */
const TOKENS = 12;
const LEAVE_AFTER_MS = 3_000;
const LEAVING_REPLICAS = 2;
/** Dispatches within this time after a replica begins to leave are not counted against the bound. */
const DISPATCH_GRACE_MS = 3_000;
const BATCH_ITEMS = 2_000;

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start();
  try {
    await sendJob(fleet, 'slnko-data', 'leaving-lot', BATCH_ITEMS, TOKENS);
    const trace = drawTrace(random, PHASES, ['obloha', 'meteo-tatry'], fleet.entries.length, TOKENS);
    const pending = runTrace(fleet, trace);
    await pause(LEAVE_AFTER_MS);
    const leavingReplicas = [fleet.replica(0), fleet.replica(2)].slice(0, LEAVING_REPLICAS);
    await Promise.all(leavingReplicas.map((replica) => fleet.setEngineFaults(replica, { leaving: true })));
    const leavingSinceUnixMs = Date.now();
    const results = await pending;
    results.filter((result) => result.error).forEach((result) => note(JSON.stringify(result.error)));
    const journal = (await Promise.all(leavingReplicas.map((replica) => fleet.journal(replica)))).flat();
    const dispatchesAfter = journal.filter((entry) => entry.receivedAtUnixMs > leavingSinceUnixMs);
    return {
      plots: [],
      figures: {
        requests: results.length,
        failedRequests: results.filter((result) => result.error !== undefined).length,
        dispatchesAfterLeaving: dispatchesAfter.length,
        dispatchesAfterLeaving3s: dispatchesAfter.filter(
          (e) => e.receivedAtUnixMs > leavingSinceUnixMs + DISPATCH_GRACE_MS,
        ).length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run leaving` starts. */
export const leaving: Experiment = {
  name: 'leaving',
  summary:
    'leaving replicas receive no new work although the table and the instance list do not mark them so',
  bounds: [
    { figure: 'dispatchesAfterLeaving3s', atMost: 0 },
    { figure: 'failedRequests', atMost: 0 },
  ],
  run,
};

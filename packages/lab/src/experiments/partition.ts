/** A site is cut off from the rest and from the platform, serves on, and rejoins. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet, liveMembers, waitFor } from '../fleet.js';
import type { OnlineResult } from '../online-load.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const SITE = 'zvolen-hala';
const PARTITION_MS = 18_000;
const RATE_PER_SECOND = 24;
const TOKENS = 12;
const SETTLE_MS = 2_000;

function refused(results: readonly OnlineResult[]): number {
  return results.filter((result) => result.error !== undefined).length;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true });
  try {
    const phases = [{ lengthMs: PARTITION_MS, ratePerSecond: RATE_PER_SECOND }];
    const trace = drawTrace(random, phases, ['obloha', 'meteo-tatry'], fleet.entries.length, TOKENS);
    await fleet.partition([SITE]);
    const pending = runTrace(fleet, trace);
    await pause(SETTLE_MS);
    const outside = fleet.admin(fleet.entry(1));
    const changed = await outside.putRow('share/obloha/alert-modely', { weight: 3 });
    const inSite = fleet.admin(fleet.entry(0));
    const refusedEdit = await inSite.putRow('share/obloha/alert-modely', { weight: 9 });
    const results = await pending;
    const healedAtMs = performance.now();
    await fleet.heal();
    await waitFor('the site to rejoin', async () => {
      const dumps = await Promise.all(fleet.entries.map((entry) => fleet.admin(entry).dump()));
      return dumps.every((dump) => dump.ok && liveMembers(dump.value) === fleet.entries.length);
    });
    await waitFor('the change to arrive', async () => {
      const row = await inSite.row('share/obloha/alert-modely');
      return row.ok && (row.value.value as { weight: number }).weight === 3;
    });
    const secondsToHealed = (performance.now() - healedAtMs) / 1_000;
    const inside = results.filter((result) => fleet.entry(result.arrival.entryIndex).failureDomain === SITE);
    inside
      .filter((result) => result.error)
      .slice(0, 5)
      .forEach((result) => note(JSON.stringify(result.error)));
    const times = firstTokenTimes(inside);
    return {
      plots: [],
      figures: {
        requestsInsideSite: inside.length,
        refusedInsideSite: refused(inside),
        refusedOutside: refused(results) - refused(inside),
        crossedAnswers: results.filter((result) => result.crossed).length,
        insideTtftP50Ms: percentile(times, 50),
        insideTtftP99Ms: percentile(times, 99),
        secondsToHealed,
        changeAccepted: changed.ok ? 1 : 0,
        falseAcceptedEdits: refusedEdit.ok ? 1 : 0,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run partition`. */
export const partition: Experiment = {
  name: 'partition',
  summary: 'a site cut off from everything serves on and rejoins',
  bounds: [
    { figure: 'refusedInsideSite', atMost: 0 },
    { figure: 'refusedOutside', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
    { figure: 'secondsToHealed', atMost: 19 },
    { figure: 'changeAccepted', atLeast: 1 },
    { figure: 'falseAcceptedEdits', atMost: 0 },
  ],
  run,
};

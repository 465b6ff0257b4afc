/**
 * Cuts one failure domain (the site) off from all others and from the hosting platform's services, and checks that both
 * sides continue to serve and that the site rejoins.
 */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet, liveMembers, waitFor } from '../fleet.js';
import type { OnlineResult } from '../online-load.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const SITE = 'zvolen-hala';
const PARTITION_MS = 18_000;
const RATE_PER_SECOND = 24;
const TOKENS_PER_REQUEST = 12;
const PARTITION_SETTLE_MS = 2_000;

/** Counts the requests that ended with an error. */
function countRefused(results: readonly OnlineResult[]): number {
  return results.filter((result) => result.error !== undefined).length;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true });
  try {
    const phases = [{ lengthMs: PARTITION_MS, ratePerSecond: RATE_PER_SECOND }];
    const trace = drawTrace(
      random,
      phases,
      ['obloha', 'meteo-tatry'],
      fleet.entries.length,
      TOKENS_PER_REQUEST,
    );
    await fleet.partition([SITE]);
    const pending = runTrace(fleet, trace);
    await pause(PARTITION_SETTLE_MS);
    const outsideAdmin = fleet.admin(fleet.entry(1));
    const outsideEdit = await outsideAdmin.putRow('share/obloha/alert-modely', { weight: 3 });
    const siteAdmin = fleet.admin(fleet.entry(0));
    const siteEdit = await siteAdmin.putRow('share/obloha/alert-modely', { weight: 9 });
    const results = await pending;
    const healedAtMs = performance.now();
    await fleet.heal();
    await waitFor('the site to rejoin the fleet', async () => {
      const dumps = await Promise.all(fleet.entries.map((entry) => fleet.admin(entry).dump()));
      return dumps.every((dump) => dump.ok && liveMembers(dump.value) === fleet.entries.length);
    });
    await waitFor('the edit made outside to reach the site', async () => {
      const row = await siteAdmin.row('share/obloha/alert-modely');
      return row.ok && (row.value.value as { weight: number }).weight === 3;
    });
    const secondsToHealed = (performance.now() - healedAtMs) / 1_000;
    const siteResults = results.filter(
      (result) => fleet.entry(result.arrival.entryIndex).failureDomain === SITE,
    );
    siteResults
      .filter((result) => result.error)
      .slice(0, 5)
      .forEach((result) => note(JSON.stringify(result.error)));
    const times = firstTokenTimes(siteResults);
    return {
      plots: [],
      figures: {
        requestsInsideSite: siteResults.length,
        refusedInsideSite: countRefused(siteResults),
        refusedOutside: countRefused(results) - countRefused(siteResults),
        crossedAnswers: results.filter((result) => result.crossed).length,
        insideTtftP50Ms: percentile(times, 50),
        insideTtftP99Ms: percentile(times, 99),
        secondsToHealed,
        changeAccepted: outsideEdit.ok ? 1 : 0,
        falseAcceptedEdits: siteEdit.ok ? 1 : 0,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run partition` starts. */
export const partition: Experiment = {
  name: 'partition',
  summary: 'a site that is cut off from everything else continues to serve and rejoins',
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

/** Makes open connections of every kind go silent for good while new ones work, and checks that no request fails. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const PHASES = [{ lengthMs: 20_000, ratePerSecond: 20 }];
const TOKENS_PER_REQUEST = 16;
const SILENCE_ROUNDS = 3;
const SILENCE_PERIOD_MS = 5_000;

/** Sums a counter over all entries. */
async function sumCounter(fleet: Fleet, name: string): Promise<number> {
  const dumps = await Promise.all(fleet.entries.map((entry) => fleet.admin(entry).dump()));
  return dumps.reduce((sum, dump) => {
    if (!dump.ok) return sum;
    const metrics = dump.value.metrics as { counters: Record<string, number> };
    return sum + (metrics.counters[name] ?? 0);
  }, 0);
}

async function run(random: SeededRandom): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true });
  try {
    const trace = drawTrace(
      random,
      PHASES,
      ['obloha', 'meteo-tatry'],
      fleet.entries.length,
      TOKENS_PER_REQUEST,
    );
    const pending = runTrace(fleet, trace);
    for (let round = 0; round < SILENCE_ROUNDS; round += 1) {
      await pause(SILENCE_PERIOD_MS);
      await fleet.silenceOpenConnections();
    }
    const results = await pending;
    await fleet.waitUntilSettled();
    const times = firstTokenTimes(results);
    return {
      plots: [],
      figures: {
        requests: results.length,
        failedRequests: results.filter((result) => result.error !== undefined).length,
        crossedAnswers: results.filter((result) => result.crossed).length,
        falseDeaths: await sumCounter(fleet, 'members_declared_dead'),
        silentStreams: await sumCounter(fleet, 'upstream_connections_silent'),
        ttftP50Ms: percentile(times, 50),
        ttftP99Ms: percentile(times, 99),
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run silence` starts. */
export const silence: Experiment = {
  name: 'silence',
  summary: 'open connections go silent for good while new ones work',
  bounds: [
    { figure: 'failedRequests', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
    { figure: 'falseDeaths', atMost: 0 },
  ],
  run,
};

/** Graceful shutdown of every entry in turn under online load. */
import { Balancer } from '../balancer.js';
import type { BalancedResult } from '../balancer.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const REQUESTS = 500;
const MEAN_SPACING_MS = 35;
const TOKENS = 24;
const START_AFTER_MS = 2_000;
const BALANCER_LAG_MS = 200;

/** Replaces each entry: SIGTERM, wait for its end, start another. */
export async function replaceAll(fleet: Fleet, balancer: Balancer): Promise<number> {
  let badExits = 0;
  for (const entry of [...fleet.entries]) {
    entry.process.signal('SIGTERM');
    await pause(BALANCER_LAG_MS);
    balancer.excluded.add(entry);
    await entry.process.ended();
    if (entry.process.exitCode !== 0) badExits += 1;
    await fleet.restartEntry(entry);
    balancer.excluded.delete(entry);
  }
  return badExits;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start();
  try {
    const balancer = new Balancer(fleet);
    const pending: Promise<BalancedResult>[] = [];
    const replacing = pause(START_AFTER_MS).then(() => replaceAll(fleet, balancer));
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(balancer.send('obloha', `drain ${String(index)}`, TOKENS));
      await pause(random.exponentialMs(MEAN_SPACING_MS));
    }
    const results = await Promise.all(pending);
    const badExits = await replacing;
    const cut = results.filter((result) => result.cut);
    cut.slice(0, 5).forEach((result) => !result.outcome.ok && note(JSON.stringify(result.outcome.error)));
    return {
      plots: [],
      figures: {
        requests: REQUESTS,
        cutRequests: cut.length,
        refusedRequests: results.filter((result) => !result.outcome.ok && !result.cut).length,
        badExits,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run drain`. */
export const drain: Experiment = {
  name: 'drain',
  summary: 'every entry is shut down gracefully under load',
  bounds: [
    { figure: 'cutRequests', atMost: 0 },
    { figure: 'refusedRequests', atMost: 0 },
    { figure: 'badExits', atMost: 0 },
  ],
  run,
};

/** Shuts every entry down gracefully, one after another, under online load, and checks that no request fails. */
import { Balancer } from '../balancer.js';
import type { BalancedResult } from '../balancer.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const REQUESTS = 500;
const MEAN_SPACING_MS = 35;
const TOKENS_PER_REQUEST = 24;
const FIRST_SHUTDOWN_AFTER_MS = 2_000;
/** Time that the balancer continues to send requests to an entry after SIGTERM. */
const BALANCER_LAG_MS = 200;

/**
 * Replaces the entries one after another: sends SIGTERM, waits until the process has ended and starts a new one.
 * Returns the number of processes whose exit code was not 0.
 */
export async function replaceAllEntries(fleet: Fleet, balancer: Balancer): Promise<number> {
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
    const replacement = pause(FIRST_SHUTDOWN_AFTER_MS).then(() => replaceAllEntries(fleet, balancer));
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(balancer.send('obloha', `drain ${String(index)}`, TOKENS_PER_REQUEST));
      await pause(random.exponentialMs(MEAN_SPACING_MS));
    }
    const results = await Promise.all(pending);
    const badExits = await replacement;
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

/** The experiment that `lab run drain` starts. */
export const drain: Experiment = {
  name: 'drain',
  summary: 'every entry is shut down gracefully under online load',
  bounds: [
    { figure: 'cutRequests', atMost: 0 },
    { figure: 'refusedRequests', atMost: 0 },
    { figure: 'badExits', atMost: 0 },
  ],
  run,
};

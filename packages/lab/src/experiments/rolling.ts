/** Replaces the entries one after another under online and batch load, and checks that no request or item is lost. */
import { Balancer } from '../balancer.js';
import type { BalancedResult } from '../balancer.js';
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';
import { replaceAllEntries } from './drain.js';

const REQUESTS = 600;
const MEAN_SPACING_MS = 40;
/** Tokens of each online request and of each batch item. */
const TOKENS = 16;
const ITEMS = 2_500;
const NON_IDEMPOTENT_ITEMS = 200;
const JOB_TIMEOUT_MS = 40_000;

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ entriesPerDomain: 2, replicasPerDomain: 2 });
  try {
    const balancer = new Balancer(fleet);
    const idempotentJob = await sendJob(fleet, 'slnko-data', 'rolling-lot', ITEMS, TOKENS);
    const nonIdempotentJob = await sendJob(
      fleet,
      'slnko-data',
      'rolling-orders',
      NON_IDEMPOTENT_ITEMS,
      TOKENS,
      { idempotent: false },
    );
    const replacement = pause(1_500).then(() => replaceAllEntries(fleet, balancer));
    const pending: Promise<BalancedResult>[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(balancer.send('obloha', `rolling ${String(index)}`, TOKENS));
      await pause(random.exponentialMs(MEAN_SPACING_MS));
    }
    const results = await Promise.all(pending);
    const badExits = await replacement;
    await Promise.all([idempotentJob, nonIdempotentJob].map((j) => waitForJob(fleet, j, JOB_TIMEOUT_MS)));
    const checks = await Promise.all([idempotentJob, nonIdempotentJob].map((j) => checkJob(fleet, j)));
    const cut = results.filter((result) => result.cut);
    cut.slice(0, 5).forEach((result) => !result.outcome.ok && note(JSON.stringify(result.outcome.error)));
    const total = (pick: 'lost' | 'doubled' | 'wrong' | 'failed'): number =>
      checks.reduce((sum, check) => sum + check[pick], 0);
    return {
      plots: [],
      figures: {
        requests: REQUESTS,
        cutRequests: cut.length,
        refusedRequests: results.filter((result) => !result.outcome.ok && !result.cut).length,
        itemsLost: total('lost'),
        itemsDoubled: total('doubled'),
        itemsWrong: total('wrong'),
        falseFailed: total('failed'),
        badExits,
        broken: fleet.fatalLogLines().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run rolling` starts. */
export const rolling: Experiment = {
  name: 'rolling',
  summary: 'every entry is replaced in turn under online and batch load',
  bounds: [
    { figure: 'cutRequests', atMost: 0 },
    { figure: 'refusedRequests', atMost: 0 },
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
    { figure: 'badExits', atMost: 0 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

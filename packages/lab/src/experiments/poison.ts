/** Items that can never be done: some are refused, some end the process that runs them. */
import { CRASH_TEXT, REJECT_TEXT } from '@fighub/standins';

import { itemPrompt, runningCaller, sendJob, waitForJob } from '../batch-load.js';
import type { LabJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { ReplicaSupervisor } from '../faults.js';
import { Fleet } from '../fleet.js';
import { expectedText } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 1_500;
const TOKENS = 10;
const REJECTED_EVERY = 100;
const CRASHING: ReadonlySet<number> = new Set([333, 1_111]);
const RESTART_MS = 400;
const JOB_LIMIT_MS = 40_000;
const DELAY_FACTOR = 1.5;

function isRejected(index: number): boolean {
  return index % REJECTED_EVERY === 50;
}

function poisonPrompt(index: number): string {
  const prompt = itemPrompt('poison-lot', index);
  if (CRASHING.has(index)) return `${prompt} ${CRASH_TEXT}`;
  return isRejected(index) ? `${prompt} ${REJECT_TEXT}` : prompt;
}

function isHealthy(index: number): boolean {
  return !CRASHING.has(index) && !isRejected(index);
}

/** Time until all but the poisoned items have ended. */
async function healthyDone(fleet: Fleet, job: LabJob, wanted: number): Promise<number> {
  const startedMs = performance.now();
  for (;;) {
    const status = await runningCaller(fleet, job.organisation).job(job.jobId);
    if (status.ok && status.value.doneCount - status.value.failedCount >= wanted) break;
    if (performance.now() - startedMs > JOB_LIMIT_MS) break;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return performance.now() - startedMs;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ entrySettings: { batch: { chunkItems: 150, commitPeriodMs: 500 } } });
  const supervisor = new ReplicaSupervisor(fleet, RESTART_MS);
  try {
    const healthyItems = Array.from({ length: ITEMS }, (_, index) => index).filter(isHealthy).length;
    const plain = await sendJob(fleet, 'obloha', 'plain-lot', ITEMS, TOKENS);
    const plainMs = await healthyDone(fleet, plain, ITEMS);
    const job = await sendJob(fleet, 'obloha', 'poison-lot', ITEMS, TOKENS, { promptOf: poisonPrompt });
    const startedMs = performance.now();
    let doneInTime = 0;
    while (performance.now() - startedMs < plainMs * DELAY_FACTOR) {
      const status = await runningCaller(fleet, 'obloha').job(job.jobId);
      if (status.ok) doneInTime = status.value.doneCount - status.value.failedCount;
      if (doneInTime >= healthyItems) break;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    await waitForJob(fleet, job, JOB_LIMIT_MS);
    const tookMs = performance.now() - startedMs;
    const results = await runningCaller(fleet, 'obloha').allResults(job.jobId);
    if (!results.ok) throw new Error(results.error.detail);
    const byIndex = new Map(results.value.map((result) => [result.index, result]));
    const wrong = results.value.filter(
      (result) =>
        result.status === 'succeeded' && result.text !== expectedText(poisonPrompt(result.index), TOKENS),
    );
    const failedHealthy = results.value.filter((r) => r.status !== 'succeeded' && isHealthy(r.index));
    const poisonFailed = results.value.filter((r) => r.status === 'failed' && !isHealthy(r.index));
    note(
      `plain ${plainMs.toFixed(0)} ms, with poison ${tookMs.toFixed(0)} ms, replica restarts ${String(supervisor.restarts.length)}`,
    );
    return {
      plots: [],
      figures: {
        items: ITEMS,
        plainMs,
        tookMs,
        replicaRestarts: supervisor.restarts.length,
        healthyItemsDelayedFraction: 1 - doneInTime / healthyItems,
        itemsLost: ITEMS - byIndex.size,
        itemsDoubled: results.value.length - byIndex.size,
        itemsWrong: wrong.length,
        falseFailed: failedHealthy.length,
        poisonNotFailed: ITEMS - healthyItems - poisonFailed.length,
      },
    };
  } finally {
    await supervisor.stop();
    await fleet.stop();
  }
}

/** `lab run poison`. */
export const poison: Experiment = {
  name: 'poison',
  summary: 'items that are refused or end the process that runs them',
  bounds: [
    { figure: 'healthyItemsDelayedFraction', atMost: 0 },
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
    { figure: 'poisonNotFailed', atMost: 0 },
  ],
  run,
};

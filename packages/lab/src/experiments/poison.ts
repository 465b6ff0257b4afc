/**
 * Runs a batch job with poison items, which can never succeed: replicas reject some, and others crash the replica that
 * runs them. The healthy items must not be delayed.
 */
import { CRASH_TEXT, REJECT_TEXT } from '@fighub/standins';

import { itemPrompt, clientOfRunningEntry, sendJob, waitForJob } from '../batch-load.js';
import type { LabJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { ReplicaSupervisor } from '../faults.js';
import { Fleet } from '../fleet.js';
import { expectedText } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 1_500;
const TOKENS_PER_ITEM = 10;
/** One of this many consecutive items is rejected. */
const REJECTED_ITEM_INTERVAL = 100;
/** Indexes of the items that crash a replica. */
const CRASHING_ITEMS: ReadonlySet<number> = new Set([333, 1_111]);
const REPLICA_RESTART_MS = 400;
const JOB_TIMEOUT_MS = 40_000;
/** The healthy items may take this many times as long as all items of a job without poison items. */
const DELAY_FACTOR = 1.5;

function isRejected(index: number): boolean {
  return index % REJECTED_ITEM_INTERVAL === 50;
}

function poisonPrompt(index: number): string {
  const prompt = itemPrompt('poison-lot', index);
  if (CRASHING_ITEMS.has(index)) return `${prompt} ${CRASH_TEXT}`;
  return isRejected(index) ? `${prompt} ${REJECT_TEXT}` : prompt;
}

function isHealthy(index: number): boolean {
  return !CRASHING_ITEMS.has(index) && !isRejected(index);
}

/** Waits until `requiredCount` items have succeeded, at most `JOB_TIMEOUT_MS`; returns the time in milliseconds. */
async function msUntilSucceeded(fleet: Fleet, job: LabJob, requiredCount: number): Promise<number> {
  const startedMs = performance.now();
  for (;;) {
    const status = await clientOfRunningEntry(fleet, job.organisation).job(job.jobId);
    if (status.ok && status.value.doneCount - status.value.failedCount >= requiredCount) break;
    if (performance.now() - startedMs > JOB_TIMEOUT_MS) break;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return performance.now() - startedMs;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ entrySettings: { batch: { chunkItems: 150, commitPeriodMs: 500 } } });
  const supervisor = new ReplicaSupervisor(fleet, REPLICA_RESTART_MS);
  try {
    const healthyItems = Array.from({ length: ITEMS }, (_, index) => index).filter(isHealthy).length;
    const plainJob = await sendJob(fleet, 'obloha', 'plain-lot', ITEMS, TOKENS_PER_ITEM);
    const plainMs = await msUntilSucceeded(fleet, plainJob, ITEMS);
    const poisonJob = await sendJob(fleet, 'obloha', 'poison-lot', ITEMS, TOKENS_PER_ITEM, {
      promptOf: poisonPrompt,
    });
    const startedMs = performance.now();
    let succeededInTime = 0;
    while (performance.now() - startedMs < plainMs * DELAY_FACTOR) {
      const status = await clientOfRunningEntry(fleet, 'obloha').job(poisonJob.jobId);
      if (status.ok) succeededInTime = status.value.doneCount - status.value.failedCount;
      if (succeededInTime >= healthyItems) break;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    await waitForJob(fleet, poisonJob, JOB_TIMEOUT_MS);
    const tookMs = performance.now() - startedMs;
    const results = await clientOfRunningEntry(fleet, 'obloha').allResults(poisonJob.jobId);
    if (!results.ok) throw new Error(results.error.detail);
    const byIndex = new Map(results.value.map((result) => [result.index, result]));
    const wrongResults = results.value.filter(
      (result) =>
        result.status === 'succeeded' &&
        result.text !== expectedText(poisonPrompt(result.index), TOKENS_PER_ITEM),
    );
    const failedHealthy = results.value.filter((r) => r.status !== 'succeeded' && isHealthy(r.index));
    const poisonFailed = results.value.filter((r) => r.status === 'failed' && !isHealthy(r.index));
    note(
      `job without poison items: ${plainMs.toFixed(0)} ms; with poison items: ${tookMs.toFixed(0)} ms; rounds of replica restarts: ${String(supervisor.restartsPerRound.length)}`,
    );
    return {
      plots: [],
      figures: {
        items: ITEMS,
        plainMs,
        tookMs,
        replicaRestarts: supervisor.restartsPerRound.length,
        healthyItemsDelayedFraction: 1 - succeededInTime / healthyItems,
        itemsLost: ITEMS - byIndex.size,
        itemsDoubled: results.value.length - byIndex.size,
        itemsWrong: wrongResults.length,
        falseFailed: failedHealthy.length,
        poisonNotFailed: ITEMS - healthyItems - poisonFailed.length,
      },
    };
  } finally {
    await supervisor.stop();
    await fleet.stop();
  }
}

/** The experiment that `lab run poison` starts. */
export const poison: Experiment = {
  name: 'poison',
  summary: 'a batch job with items that are rejected or crash the replica that runs them',
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

/**
 * Cancels running batch jobs, with and without instance crashes, and checks that none of their items is dispatched
 * later than two seconds after the cancellation.
 */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const JOBS = 4;
const ITEMS = 3_000;
const TOKENS_PER_ITEM = 10;
const RUN_BEFORE_CANCEL_MS = 2_500;
const OBSERVATION_MS = 6_000;
/** Dispatches that a replica receives within this time after the cancellation are not counted as late. */
const CANCEL_GRACE_MS = 2_000;

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    entrySettings: { batch: { leaseMs: 4_000, chunkItems: 120, commitPeriodMs: 500 } },
  });
  try {
    let lateDispatches = 0;
    let readableResults = 0;
    let committedItems = 0;
    let unconfirmedCancels = 0;
    for (let index = 0; index < JOBS; index += 1) {
      const job = await sendJob(fleet, 'obloha', `cancel-${String(index)}`, ITEMS, TOKENS_PER_ITEM);
      await pause(RUN_BEFORE_CANCEL_MS);
      const canceller = fleet.caller(fleet.entry(index), 'obloha');
      const cancelled = await canceller.cancelJob(job.jobId);
      if (!cancelled.ok) throw new Error(cancelled.error.detail);
      const cancelledAtUnixMs = Date.now();
      committedItems += cancelled.value.doneCount;
      // For every second job, the instance that acknowledged the cancellation is killed right afterwards.
      if (index % 2 === 1) await killEntry(fleet, fleet.entry(index), 200);
      const repeatedCancel = await fleet.caller(fleet.entry(random.below(3)), 'obloha').cancelJob(job.jobId);
      if (!repeatedCancel.ok || repeatedCancel.value.state !== 'cancelled') unconfirmedCancels += 1;
      await pause(OBSERVATION_MS);
      const received = fleet.receivedRequests().filter((entry) => entry.requestId.startsWith(job.jobId));
      const lateDispatchesOfJob = received.filter(
        (entry) => entry.receivedAtUnixMs > cancelledAtUnixMs + CANCEL_GRACE_MS,
      ).length;
      const results = await fleet.caller(fleet.entry(0), 'obloha').allResults(job.jobId);
      readableResults += results.ok ? results.value.length : 0;
      note(
        `job ${String(index)}: ${String(received.length)} dispatches, ${String(lateDispatchesOfJob)} of them late`,
      );
      lateDispatches += lateDispatchesOfJob;
    }
    return {
      plots: [],
      figures: {
        dispatchesAfterCancel2s: lateDispatches,
        committed: committedItems,
        readable: readableResults,
        unreadable: Math.max(0, committedItems - readableResults),
        unclear: unconfirmedCancels,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run cancel` starts. */
export const cancel: Experiment = {
  name: 'cancel',
  summary: 'running batch jobs are cancelled, with and without instance crashes',
  bounds: [
    { figure: 'dispatchesAfterCancel2s', atMost: 0 },
    { figure: 'unreadable', atMost: 0 },
    { figure: 'unclear', atMost: 0 },
  ],
  run,
};

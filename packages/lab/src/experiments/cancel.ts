/** Running jobs are cancelled, also while instances crash: nothing of them is dispatched after two seconds. */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const JOBS = 4;
const ITEMS = 3_000;
const TOKENS = 10;
const RUN_MS = 2_500;
const WATCH_MS = 6_000;
const ALLOWED_MS = 2_000;

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    entrySettings: { batch: { leaseMs: 4_000, chunkItems: 120, commitPeriodMs: 500 } },
  });
  try {
    let late = 0;
    let readable = 0;
    let committed = 0;
    let unclear = 0;
    for (let index = 0; index < JOBS; index += 1) {
      const job = await sendJob(fleet, 'obloha', `cancel-${String(index)}`, ITEMS, TOKENS);
      await pause(RUN_MS);
      const canceller = fleet.caller(fleet.entry(index), 'obloha');
      const cancelled = await canceller.cancelJob(job.jobId);
      if (!cancelled.ok) throw new Error(cancelled.error.detail);
      const atUnixMs = Date.now();
      committed += cancelled.value.doneCount;
      // Every second time an instance is lost right after it acknowledged.
      if (index % 2 === 1) await killEntry(fleet, fleet.entry(index), 200);
      const again = await fleet.caller(fleet.entry(random.below(3)), 'obloha').cancelJob(job.jobId);
      if (!again.ok || again.value.state !== 'cancelled') unclear += 1;
      await pause(WATCH_MS);
      const received = fleet.receptions().filter((entry) => entry.requestId.startsWith(job.jobId));
      const lateHere = received.filter((entry) => entry.receivedAtUnixMs > atUnixMs + ALLOWED_MS).length;
      const results = await fleet.caller(fleet.entry(0), 'obloha').allResults(job.jobId);
      readable += results.ok ? results.value.length : 0;
      note(`job ${String(index)}: ${String(received.length)} dispatches, ${String(lateHere)} late`);
      late += lateHere;
    }
    return {
      plots: [],
      figures: {
        dispatchesAfterCancel2s: late,
        committed,
        readable,
        unreadable: Math.max(0, committed - readable),
        unclear,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run cancel`. */
export const cancel: Experiment = {
  name: 'cancel',
  summary: 'running jobs are cancelled, also while instances crash',
  bounds: [
    { figure: 'dispatchesAfterCancel2s', atMost: 0 },
    { figure: 'unreadable', atMost: 0 },
    { figure: 'unclear', atMost: 0 },
  ],
  run,
};

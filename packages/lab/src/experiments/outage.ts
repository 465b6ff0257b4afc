/**
 * Runs a batch job while the key-value service is down, then slow and losing responses. Checks that no item is lost, that
 * no job is accepted during the outage, and that batch work soon runs at its full rate again.
 */
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome, Series } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 5_000;
const TOKENS_PER_ITEM = 12;
/** Slots of all replicas together. */
const SLOTS = 48;
/** Batch work counts as running at its full rate again once this fraction of the slots is in use. */
const FULL_RATE_FRACTION = 0.8;
const DOWN_MS = 9_000;
const SLOW_MS = 4_000;
const SAMPLE_PERIOD_MS = 250;
const JOB_TIMEOUT_MS = 45_000;

/** Counts the streams that are open at all replicas; only batch work runs in this experiment. */
async function countRunningStreams(fleet: Fleet): Promise<number> {
  const journal = await fleet.journals();
  return journal.filter((entry) => entry.refusal === undefined && entry.endedAtUnixMs === undefined).length;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ engine: { stepMs: 12, stepPerStreamMs: 0.3 } });
  const startedMs = performance.now();
  const samples: { atMs: number; streams: number }[] = [];
  let sampling = true;
  const sampler = async (): Promise<void> => {
    while (sampling) {
      samples.push({ atMs: performance.now() - startedMs, streams: await countRunningStreams(fleet) });
      await pause(SAMPLE_PERIOD_MS);
    }
  };
  try {
    const job = await sendJob(fleet, 'obloha', 'outage-lot', ITEMS, TOKENS_PER_ITEM);
    const sampled = sampler();
    await pause(4_000);
    await fleet.setKeyValueFaults({ down: true });
    const downAtMs = performance.now() - startedMs;
    await pause(DOWN_MS);
    const jobDuringOutage = await fleet.caller(fleet.entry(0), 'obloha').createJob({
      model: fleet.plan.model,
      lines: ['{"prompt":"during the outage"}'],
      idempotencyKey: 'during',
    });
    const streamsDuringOutage = samples.filter((s) => s.atMs > downAtMs + 3_000).map((s) => s.streams);
    const statsBefore = await fleet.keyValueStats();
    await fleet.setKeyValueFaults({ down: false });
    const restoredAtMs = performance.now() - startedMs;
    await pause(1_000);
    const statsAfter = await fleet.keyValueStats();
    await pause(3_000);
    await fleet.setKeyValueFaults({ slowMs: 300, loseAnswerProbability: 0.2 });
    await pause(SLOW_MS);
    await fleet.setKeyValueFaults({ slowMs: 0, loseAnswerProbability: 0 });
    await waitForJob(fleet, job, JOB_TIMEOUT_MS);
    sampling = false;
    await sampled;
    const check = await checkJob(fleet, job);
    const fullRateSample = samples.find(
      (s) => s.atMs > restoredAtMs && s.streams >= SLOTS * FULL_RATE_FRACTION,
    );
    const callsInFirstSecond = statsAfter.reads + statsAfter.writes - statsBefore.reads - statsBefore.writes;
    note(`open batch streams during the outage, by sample: ${streamsDuringOutage.join(' ')}`);
    const series: Series = {
      name: 'open batch streams',
      x: samples.map((s) => s.atMs / 1_000),
      y: samples.map((s) => s.streams),
    };
    return {
      plots: [
        {
          title: 'Open batch streams during an outage of the key-value service',
          xTitle: 'time, s',
          yTitle: 'streams',
          series: [series],
          marks: [
            { x: downAtMs / 1_000, label: 'down' },
            { x: restoredAtMs / 1_000, label: 'back' },
          ],
        },
      ],
      figures: {
        items: ITEMS,
        itemsLost: check.lost,
        itemsDoubled: check.doubled,
        itemsWrong: check.wrong,
        falseFailed: check.failed,
        secondsToFullRate: fullRateSample ? (fullRateSample.atMs - restoredAtMs) / 1_000 : Number.NaN,
        meanStreamsDuringOutage:
          streamsDuringOutage.reduce((sum, value) => sum + value, 0) /
          Math.max(1, streamsDuringOutage.length),
        serviceCallsInFirstSecond: callsInFirstSecond,
        refusedByService: statsAfter.readsRefused + statsAfter.writesRefused,
        jobsAcceptedDuringOutage: jobDuringOutage.ok ? 1 : 0,
        falseNotAccepted: !jobDuringOutage.ok && jobDuringOutage.error.run !== 'not_run' ? 1 : 0,
      },
    };
  } finally {
    sampling = false;
    await fleet.stop();
  }
}

/** The experiment that `lab run outage` starts. */
export const outage: Experiment = {
  name: 'outage',
  summary: 'a batch job while the key-value service is down, slow and losing responses',
  bounds: [
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
    { figure: 'jobsAcceptedDuringOutage', atMost: 0 },
    { figure: 'falseNotAccepted', atMost: 0 },
    { figure: 'refusedByService', atMost: 0 },
    { figure: 'secondsToFullRate', atMost: 19 },
  ],
  run,
};

/** The key-value service is down, slow, and loses answers, under batch load. */
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome, Series } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ITEMS = 5_000;
const TOKENS = 12;
const PLACES = 48;
const FULL_RATE_FRACTION = 0.8;
const DOWN_MS = 9_000;
const SLOW_MS = 4_000;
const SAMPLE_MS = 250;
const JOB_LIMIT_MS = 45_000;

async function batchStreams(fleet: Fleet): Promise<number> {
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
      samples.push({ atMs: performance.now() - startedMs, streams: await batchStreams(fleet) });
      await pause(SAMPLE_MS);
    }
  };
  try {
    const job = await sendJob(fleet, 'obloha', 'outage-lot', ITEMS, TOKENS);
    const sampled = sampler();
    await pause(4_000);
    await fleet.setKeyValueFaults({ down: true });
    const downAtMs = performance.now() - startedMs;
    await pause(DOWN_MS);
    const refused = await fleet.caller(fleet.entry(0), 'obloha').createJob({
      model: fleet.plan.model,
      lines: ['{"prompt":"during the outage"}'],
      idempotencyKey: 'during',
    });
    const during = samples.filter((s) => s.atMs > downAtMs + 3_000).map((s) => s.streams);
    const before = await fleet.keyValueStats();
    await fleet.setKeyValueFaults({ down: false });
    const backAtMs = performance.now() - startedMs;
    await pause(1_000);
    const after = await fleet.keyValueStats();
    await pause(3_000);
    await fleet.setKeyValueFaults({ slowMs: 300, loseAnswerProbability: 0.2 });
    await pause(SLOW_MS);
    await fleet.setKeyValueFaults({ slowMs: 0, loseAnswerProbability: 0 });
    await waitForJob(fleet, job, JOB_LIMIT_MS);
    sampling = false;
    await sampled;
    const check = await checkJob(fleet, job);
    const full = samples.find((s) => s.atMs > backAtMs && s.streams >= PLACES * FULL_RATE_FRACTION);
    const callsAfter = after.reads + after.writes - before.reads - before.writes;
    note(`streams during the outage: ${during.join(' ')}`);
    const series: Series = {
      name: 'batch streams',
      x: samples.map((s) => s.atMs / 1_000),
      y: samples.map((s) => s.streams),
    };
    return {
      plots: [
        {
          title: 'Batch streams through an outage of the key-value service',
          xTitle: 'time, s',
          yTitle: 'streams',
          series: [series],
          marks: [
            { x: downAtMs / 1_000, label: 'down' },
            { x: backAtMs / 1_000, label: 'back' },
          ],
        },
      ],
      figures: {
        items: ITEMS,
        itemsLost: check.lost,
        itemsDoubled: check.doubled,
        itemsWrong: check.wrong,
        falseFailed: check.failed,
        secondsToFullRate: full ? (full.atMs - backAtMs) / 1_000 : Number.NaN,
        meanStreamsDuringOutage: during.reduce((sum, value) => sum + value, 0) / Math.max(1, during.length),
        serviceCallsInFirstSecond: callsAfter,
        refusedByService: after.readsRefused + after.writesRefused,
        jobsAcceptedDuringOutage: refused.ok ? 1 : 0,
        falseNotAccepted: !refused.ok && refused.error.run !== 'not_run' ? 1 : 0,
      },
    };
  } finally {
    sampling = false;
    await fleet.stop();
  }
}

/** `lab run outage`. */
export const outage: Experiment = {
  name: 'outage',
  summary: 'the key-value service down, slow and losing answers under batch',
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

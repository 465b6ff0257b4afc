/** Harm that batch does to the online tail: the same trace without and with batch, and with the baseline. */
import type { Experiment, ExperimentOutcome, Plot } from '../experiment.js';
import { Fleet, waitFor } from '../fleet.js';
import type { Arrival, OnlineResult } from '../online-load.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from '../online-load.js';
import type { OnlineAtReplicas } from '../place-time.js';
import { batchShareOfIdle, onlineAtReplicas, placeTime } from '../place-time.js';
import { sendJob } from '../batch-load.js';
import type { SeededRandom } from '../random.js';

const STEADY_RATE = 18;
const BURST_FACTOR = 5;
const PHASES = [
  { lengthMs: 4_000, ratePerSecond: STEADY_RATE },
  { lengthMs: 3_000, ratePerSecond: STEADY_RATE * BURST_FACTOR },
  { lengthMs: 4_000, ratePerSecond: STEADY_RATE },
];
const ONLINE_TOKENS = 16;
const BATCH_ITEMS = 4_000;
const BATCH_TOKENS = 24;
const PLACES = 48;
const WARM_UP_MS = 1_500;

interface Side {
  readonly results: readonly OnlineResult[];
  readonly batchShare: number;
  readonly atReplicas: OnlineAtReplicas;
}

async function runSide(fleet: Fleet, trace: readonly Arrival[]): Promise<Side> {
  const fromUnixMs = Date.now();
  const results = await runTrace(fleet, trace);
  const lengthMs = PHASES.reduce((sum, phase) => sum + phase.lengthMs, 0);
  const journal = await fleet.journals();
  const time = placeTime(journal, PLACES, fromUnixMs, fromUnixMs + lengthMs);
  return { results, batchShare: batchShareOfIdle(time), atReplicas: onlineAtReplicas(journal, fromUnixMs) };
}

async function withBatch(fleet: Fleet, trace: readonly Arrival[]): Promise<Side> {
  await sendJob(fleet, 'slnko-data', 'harm-lot', BATCH_ITEMS, BATCH_TOKENS);
  await waitFor('batch to fill the places', async () => {
    const journal = await fleet.journals();
    const running = journal.filter(
      (entry) => entry.requestId.startsWith('job-') && entry.endedAtUnixMs === undefined,
    );
    return running.length >= PLACES * 0.8;
  });
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  return runSide(fleet, trace);
}

function distribution(name: string, side: Side): { name: string; x: number[]; y: number[] } {
  const times = firstTokenTimes(side.results);
  return { name, x: times, y: times.map((_, index) => (100 * (index + 1)) / times.length) };
}

function ratio(percent: number, side: Side, plain: Side): number {
  return (
    percentile(firstTokenTimes(side.results), percent) / percentile(firstTokenTimes(plain.results), percent)
  );
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const organisations = ['obloha', 'meteo-tatry', 'slnko-data'];
  const trace = drawTrace(random, PHASES, organisations, 3, ONLINE_TOKENS);
  note(`${String(trace.length)} online requests`);
  const fleet = await Fleet.start();
  let plain: Side;
  let mixed: Side;
  try {
    // The first pass warms the replicas' prefix caches and the processes' code.
    await runTrace(fleet, trace.slice(0, 60));
    plain = await runSide(fleet, trace);
    mixed = await withBatch(fleet, trace);
  } finally {
    await fleet.stop();
  }
  const baselineFleet = await Fleet.start({ entrySettings: { online: { admission: 'lagging-load' } } });
  let baseline: Side;
  try {
    baseline = await withBatch(baselineFleet, trace);
  } finally {
    await baselineFleet.stop();
  }
  const all = [...plain.results, ...mixed.results];
  const plots: Plot[] = [
    {
      title: 'First token of online requests',
      xTitle: 'first token, ms',
      yTitle: '% of requests',
      series: [
        distribution('without batch', plain),
        distribution('with batch', mixed),
        distribution('with batch, baseline admission', baseline),
      ],
    },
  ];
  const times = (side: Side, percent: number): number => percentile(firstTokenTimes(side.results), percent);
  return {
    plots,
    figures: {
      requests: trace.length,
      ttftP95RatioWithBatch: ratio(95, mixed, plain),
      ttftP99RatioWithBatch: ratio(99, mixed, plain),
      ttftP50WithoutBatchMs: times(plain, 50),
      ttftP95WithoutBatchMs: times(plain, 95),
      ttftP99WithoutBatchMs: times(plain, 99),
      ttftP50WithBatchMs: times(mixed, 50),
      ttftP95WithBatchMs: times(mixed, 95),
      ttftP99WithBatchMs: times(mixed, 99),
      baselineTtftP95RatioWithBatch: ratio(95, baseline, plain),
      baselineTtftP99RatioWithBatch: ratio(99, baseline, plain),
      batchShareOfIdleCapacity: mixed.batchShare,
      cachedFractionWithoutBatch: plain.atReplicas.cachedFraction,
      cachedFractionWithBatch: mixed.atReplicas.cachedFraction,
      placeWaitP99WithoutBatchMs: plain.atReplicas.placeWaitP99Ms,
      placeWaitP99WithBatchMs: mixed.atReplicas.placeWaitP99Ms,
      callersGaveUp: all.filter((result) => result.gaveUp).length,
      baselineCallersGaveUp: baseline.results.filter((result) => result.gaveUp).length,
      refused: all.filter((result) => result.error !== undefined).length,
      crossedAnswers: all.filter((result) => result.crossed).length,
    },
  };
}

/** `lab run harm`. */
export const harm: Experiment = {
  name: 'harm',
  summary: 'the online tail with and without batch, and with the baseline admission',
  bounds: [
    { figure: 'ttftP95RatioWithBatch', atMost: 1.05 },
    { figure: 'ttftP99RatioWithBatch', atMost: 1.1 },
    { figure: 'batchShareOfIdleCapacity', atLeast: 0.9 },
    { figure: 'callersGaveUp', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
  ],
  run,
};

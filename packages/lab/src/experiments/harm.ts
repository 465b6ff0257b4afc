/**
 * Measures how much batch work delays the first tokens of online requests: runs the same trace without batch work, with
 * batch work, and with batch work under the baseline admission, in which each instance chooses replicas by the load that
 * they last reported.
 */
import type { Experiment, ExperimentOutcome, Plot } from '../experiment.js';
import { Fleet, waitFor } from '../fleet.js';
import type { Arrival, OnlineResult } from '../online-load.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from '../online-load.js';
import type { OnlineReplicaStats } from '../slot-time.js';
import { batchShareOfIdle, onlineReplicaStats, measureSlotTime } from '../slot-time.js';
import { sendJob } from '../batch-load.js';
import type { SeededRandom } from '../random.js';

const STEADY_RATE_PER_SECOND = 18;
const BURST_FACTOR = 5;
const PHASES = [
  { lengthMs: 4_000, ratePerSecond: STEADY_RATE_PER_SECOND },
  { lengthMs: 3_000, ratePerSecond: STEADY_RATE_PER_SECOND * BURST_FACTOR },
  { lengthMs: 4_000, ratePerSecond: STEADY_RATE_PER_SECOND },
];
const TOKENS_PER_REQUEST = 16;
const BATCH_ITEMS = 4_000;
const TOKENS_PER_ITEM = 24;
/** Slots of all replicas together. */
const SLOTS = 48;
const WARM_UP_MS = 1_500;

/** Results of one run of the trace. */
interface TraceMeasurement {
  readonly results: readonly OnlineResult[];
  /** Fraction that batch work used of the slot time left over by online work. */
  readonly batchShare: number;
  readonly atReplicas: OnlineReplicaStats;
}

async function measureTrace(fleet: Fleet, trace: readonly Arrival[]): Promise<TraceMeasurement> {
  const fromUnixMs = Date.now();
  const results = await runTrace(fleet, trace);
  const lengthMs = PHASES.reduce((sum, phase) => sum + phase.lengthMs, 0);
  const journal = await fleet.journals();
  const slotTime = measureSlotTime(journal, SLOTS, fromUnixMs, fromUnixMs + lengthMs);
  return {
    results,
    batchShare: batchShareOfIdle(slotTime),
    atReplicas: onlineReplicaStats(journal, fromUnixMs),
  };
}

/** Measures the trace after batch work has filled at least 80 % of the slots. */
async function measureTraceWithBatch(fleet: Fleet, trace: readonly Arrival[]): Promise<TraceMeasurement> {
  await sendJob(fleet, 'slnko-data', 'harm-lot', BATCH_ITEMS, TOKENS_PER_ITEM);
  await waitFor('batch work to fill the slots', async () => {
    const journal = await fleet.journals();
    const running = journal.filter(
      (entry) => entry.requestId.startsWith('job-') && entry.endedAtUnixMs === undefined,
    );
    return running.length >= SLOTS * 0.8;
  });
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  return measureTrace(fleet, trace);
}

/** Cumulative distribution of the first-token times: percentage of the requests by time in milliseconds. */
function firstTokenDistribution(
  name: string,
  measurement: TraceMeasurement,
): { name: string; x: number[]; y: number[] } {
  const times = firstTokenTimes(measurement.results);
  return { name, x: times, y: times.map((_, index) => (100 * (index + 1)) / times.length) };
}

/** Ratio of a percentile of the first-token times to the same percentile of the reference. */
function firstTokenRatio(
  percent: number,
  measurement: TraceMeasurement,
  reference: TraceMeasurement,
): number {
  return (
    percentile(firstTokenTimes(measurement.results), percent) /
    percentile(firstTokenTimes(reference.results), percent)
  );
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const organisations = ['obloha', 'meteo-tatry', 'slnko-data'];
  const trace = drawTrace(random, PHASES, organisations, 3, TOKENS_PER_REQUEST);
  note(`the trace has ${String(trace.length)} online requests`);
  const fleet = await Fleet.start();
  let withoutBatch: TraceMeasurement;
  let withBatch: TraceMeasurement;
  try {
    // A first pass fills the replicas' prefix caches and lets the processes compile their code.
    await runTrace(fleet, trace.slice(0, 60));
    withoutBatch = await measureTrace(fleet, trace);
    withBatch = await measureTraceWithBatch(fleet, trace);
  } finally {
    await fleet.stop();
  }
  const baselineFleet = await Fleet.start({ entrySettings: { online: { admission: 'lagging-load' } } });
  let withBaseline: TraceMeasurement;
  try {
    withBaseline = await measureTraceWithBatch(baselineFleet, trace);
  } finally {
    await baselineFleet.stop();
  }
  const all = [...withoutBatch.results, ...withBatch.results];
  const plots: Plot[] = [
    {
      title: 'First-token time of online requests',
      xTitle: 'first-token time, ms',
      yTitle: '% of requests',
      series: [
        firstTokenDistribution('without batch', withoutBatch),
        firstTokenDistribution('with batch', withBatch),
        firstTokenDistribution('with batch, baseline admission', withBaseline),
      ],
    },
  ];
  const firstTokenPercentileMs = (measurement: TraceMeasurement, percent: number): number =>
    percentile(firstTokenTimes(measurement.results), percent);
  return {
    plots,
    figures: {
      requests: trace.length,
      ttftP95RatioWithBatch: firstTokenRatio(95, withBatch, withoutBatch),
      ttftP99RatioWithBatch: firstTokenRatio(99, withBatch, withoutBatch),
      ttftP50WithoutBatchMs: firstTokenPercentileMs(withoutBatch, 50),
      ttftP95WithoutBatchMs: firstTokenPercentileMs(withoutBatch, 95),
      ttftP99WithoutBatchMs: firstTokenPercentileMs(withoutBatch, 99),
      ttftP50WithBatchMs: firstTokenPercentileMs(withBatch, 50),
      ttftP95WithBatchMs: firstTokenPercentileMs(withBatch, 95),
      ttftP99WithBatchMs: firstTokenPercentileMs(withBatch, 99),
      baselineTtftP95RatioWithBatch: firstTokenRatio(95, withBaseline, withoutBatch),
      baselineTtftP99RatioWithBatch: firstTokenRatio(99, withBaseline, withoutBatch),
      batchShareOfIdleCapacity: withBatch.batchShare,
      cachedFractionWithoutBatch: withoutBatch.atReplicas.cachedFraction,
      cachedFractionWithBatch: withBatch.atReplicas.cachedFraction,
      placeWaitP99WithoutBatchMs: withoutBatch.atReplicas.slotWaitP99Ms,
      placeWaitP99WithBatchMs: withBatch.atReplicas.slotWaitP99Ms,
      callersGaveUp: all.filter((result) => result.gaveUp).length,
      baselineCallersGaveUp: withBaseline.results.filter((result) => result.gaveUp).length,
      refused: all.filter((result) => result.error !== undefined).length,
      crossedAnswers: all.filter((result) => result.crossed).length,
    },
  };
}

/** The experiment that `lab run harm` starts. */
export const harm: Experiment = {
  name: 'harm',
  summary: 'first-token times of online requests without batch, with batch, and with the baseline admission',
  bounds: [
    { figure: 'ttftP95RatioWithBatch', atMost: 1.05 },
    { figure: 'ttftP99RatioWithBatch', atMost: 1.1 },
    { figure: 'batchShareOfIdleCapacity', atLeast: 0.9 },
    { figure: 'callersGaveUp', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
  ],
  run,
};

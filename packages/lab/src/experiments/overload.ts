/**
 * Simulates pools whose load exceeds their slots for some time: what fraction of the batch items that the slots allow is
 * finished in time, and what becomes of online requests. The loads differ in all figures, since nothing may depend on
 * those of one deployment.
 */
import { returnDelayMs } from '@fighub/decisions';

import type { Experiment, ExperimentOutcome } from '../experiment.js';
import type { SimulatedLoad, SimulationResult } from '../pool-simulation.js';
import { PoolSimulation } from '../pool-simulation.js';
import { SeededRandom } from '../random.js';

/** Largest fraction of the slots that batch items leave free, as on the hosting platform. */
const RESERVE_MAX_FRACTION = 0.08;
const RUNS_PER_LOAD = 6;
/** Random seeds of the runs of one load are this far apart from those of the next. */
const SEED_STRIDE = 1_000;
const BASE: SimulatedLoad = {
  replicas: 6,
  slotsPerReplica: 8,
  stepMs: 2.6,
  stepMsPerStream: 0.09,
  prefillTokensPerMs: 60,
  promptTokens: 400,
  tokensPerEvent: 6,
  onlinePerSecond: 30,
  onlineEvents: 33,
  phases: [
    { durationMs: 3_200, rate: 0.4 },
    { durationMs: 2_200, rate: 1.88 },
  ],
  jobsPerSecond: 0.42,
  itemsPerJob: 10,
  itemEvents: 225,
  lengthDeviation: 0.25,
  dueAfterMs: 18_000,
  targetMs: 300,
  startWithinMs: 225,
  returns: 1,
  callerLimitMs: 5_000,
  durationMs: 80_000,
  reportsTokens: true,
};

/** The simulated loads, by the name in the figures. */
export const OVERLOADS: Readonly<Record<string, SimulatedLoad>> = {
  jobsAboveCapacity: { ...BASE, jobsPerSecond: 0.8 },
  variedLengths: { ...BASE, jobsPerSecond: 0.7, lengthDeviation: 0.5 },
  lostReplica: { ...BASE, jobsPerSecond: 0.5, loss: { atMs: 20_000, replicas: 1 } },
  fewSlowReplicas: {
    ...BASE,
    replicas: 3,
    slotsPerReplica: 4,
    stepMs: 9,
    stepMsPerStream: 0.5,
    onlinePerSecond: 4,
    jobsPerSecond: 0.07,
    itemEvents: 120,
    dueAfterMs: 25_000,
    targetMs: 800,
    startWithinMs: 600,
    callerLimitMs: 9_000,
    durationMs: 160_000,
  },
  onlineBursts: { ...BASE, onlinePerSecond: 44, jobsPerSecond: 0.2 },
};

/** Means over several runs of one load. */
export function simulateOverload(
  load: SimulatedLoad,
  seed: number,
  { runs = RUNS_PER_LOAD, delayMs = returnDelayMs } = {},
): SimulationResult {
  const results = Array.from({ length: runs }, (_, run) =>
    new PoolSimulation(load, new SeededRandom(seed * SEED_STRIDE + run), RESERVE_MAX_FRACTION, delayMs).run(),
  );
  const mean = (figure: keyof SimulationResult): number =>
    results.reduce((sum, result) => sum + result[figure], 0) / results.length;
  return {
    itemsInTime: mean('itemsInTime'),
    itemsPossible: mean('itemsPossible'),
    onlineInTime: mean('onlineInTime'),
    onlineServed: mean('onlineServed'),
    meanFirstEventMs: mean('meanFirstEventMs'),
    preemptions: mean('preemptions'),
    refusals: mean('refusals'),
  };
}

function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const seed = random.below(SEED_STRIDE);
  const figures = Object.entries(OVERLOADS).flatMap(([name, load]) => {
    note(`simulating ${name}`);
    const result = simulateOverload(load, seed);
    return [
      [`${name}ItemFraction`, result.itemsInTime / result.itemsPossible],
      ...Object.entries(result).map(([figure, value]) => [`${name}.${figure}`, value]),
    ] as [string, number][];
  });
  return Promise.resolve({ figures: Object.fromEntries(figures), plots: [] });
}

export const overload: Experiment = {
  name: 'overload',
  summary:
    'simulated pools above their capacity: items in time of those that the slots allow, and online requests',
  bounds: [],
  run,
};

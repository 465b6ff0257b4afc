/**
 * Measures what the control traffic costs each entry in fleets of growing size, and extrapolates the cost with a linear
 * fit to the size that the fleet is designed for.
 */
import type { EntryUsage } from '../entry-usage.js';
import { readEntryUsage } from '../entry-usage.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet, waitFor } from '../fleet.js';
import type { SeededRandom } from '../random.js';

/** Number of entries at each measurement. Only the entries of the first measurement are sampled in all of them. */
const FLEET_SIZES = [8, 16, 32, 64];
/** Number of entries that the system is designed for. */
const DESIGN_FLEET_SIZE = 330;
const SETTLE_MS = 500;
const MEASUREMENT_MS = 4_000;

/** Cost of one entry: processor time in percent of one processor, memory in units of 2^20 bytes. */
interface EntryCost {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly processorPercent: number;
  readonly memoryMegabytes: number;
  readonly serviceCallsPerSecond: number;
}

/** Returns whether the sampled entries have no membership updates left to disseminate. */
async function areMemberUpdatesDisseminated(fleet: Fleet): Promise<boolean> {
  const dumps = await Promise.all(
    fleet.entries.slice(0, FLEET_SIZES[0]).map((entry) => fleet.admin(entry).dump()),
  );
  return dumps.every((dump) => dump.ok && dump.value.memberUpdatesToSpread === 0);
}

/** Measures the mean cost of the sampled entries while the fleet is idle. */
async function measureEntryCost(fleet: Fleet): Promise<EntryCost> {
  const sampled = fleet.entries.slice(0, FLEET_SIZES[0]);
  const before = await Promise.all(sampled.map((entry) => readEntryUsage(fleet, entry)));
  await pause(MEASUREMENT_MS);
  const after = await Promise.all(sampled.map((entry) => readEntryUsage(fleet, entry)));
  const mean = (cost: (a: EntryUsage, b: EntryUsage, seconds: number) => number): number =>
    after.reduce((sum, reading, index) => {
      const earlier = before[index] ?? reading;
      return sum + cost(reading, earlier, (reading.atMs - earlier.atMs) / 1_000);
    }, 0) / after.length;
  return {
    bytesPerSecond: mean((a, b, s) => (a.bytes - b.bytes) / s),
    messagesPerSecond: mean((a, b, s) => (a.messages - b.messages) / s),
    processorPercent: mean((a, b, s) => (a.processorTimeMs - b.processorTimeMs) / (10 * s)),
    memoryMegabytes: mean((a) => a.memoryBytes / 1_048_576),
    serviceCallsPerSecond: mean((a, b, s) => (a.serviceCalls - b.serviceCalls) / s),
  };
}

/** Fits a line to the points by least squares and evaluates it at `x`. */
function linearFitAt(xs: readonly number[], ys: readonly number[], x: number): number {
  const meanX = xs.reduce((sum, value) => sum + value, 0) / xs.length;
  const meanY = ys.reduce((sum, value) => sum + value, 0) / ys.length;
  const sumOfProducts = xs.reduce(
    (sum, value, index) => sum + (value - meanX) * ((ys[index] ?? 0) - meanY),
    0,
  );
  const sumOfSquares = xs.reduce((sum, value) => sum + (value - meanX) ** 2, 0);
  return meanY + (sumOfProducts / sumOfSquares) * (x - meanX);
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    entriesPerDomain: 0,
    replicasPerDomain: 1,
    initialEntries: FLEET_SIZES[0],
  });
  try {
    const costs: EntryCost[] = [];
    for (const size of FLEET_SIZES) {
      await fleet.addEntries(size - fleet.entries.length);
      await pause(SETTLE_MS);
      await waitFor('the membership updates to be disseminated', () => areMemberUpdatesDisseminated(fleet));
      const cost = await measureEntryCost(fleet);
      note(`cost per entry in a fleet of ${String(size)} entries: ${JSON.stringify(cost)}`);
      costs.push(cost);
    }
    const costNames = [
      'bytesPerSecond',
      'messagesPerSecond',
      'processorPercent',
      'memoryMegabytes',
      'serviceCallsPerSecond',
    ] as const;
    const fitted = costNames.map((name) => [
      `${name}At330`,
      linearFitAt(
        FLEET_SIZES,
        costs.map((cost) => cost[name]),
        DESIGN_FLEET_SIZE,
      ),
    ]);
    const measured = FLEET_SIZES.flatMap((size, index) =>
      costNames.map((name) => [`${name}At${String(size)}`, costs[index]?.[name] ?? 0] as const),
    );
    return {
      figures: Object.fromEntries([...measured, ...fitted]) as Record<string, number>,
      plots: costNames.map((name) => ({
        title: `${name} per entry`,
        xTitle: 'entries',
        yTitle: name,
        series: [{ name, x: FLEET_SIZES, y: costs.map((cost) => cost[name]) }],
      })),
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run slope` starts. */
export const slope: Experiment = {
  name: 'slope',
  summary: 'cost of control traffic per entry in fleets of 8 to 64 entries, extrapolated to 330',
  bounds: [
    { figure: 'bytesPerSecondAt330', atMost: 16_384 },
    { figure: 'processorPercentAt330', atMost: 2 },
    { figure: 'memoryMegabytesAt330', atMost: 256 },
  ],
  run,
};

/** Cost of control a node at growing sizes, and the fitted line at the size to design for. */
import type { EntryReading } from '../entry-reading.js';
import { readEntry } from '../entry-reading.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet, waitFor } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const SIZES = [8, 16, 32, 64];
const DESIGN_SIZE = 330;
const SETTLE_MS = 500;
const WINDOW_MS = 4_000;

interface NodeCost {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly processorPercent: number;
  readonly memoryMegabytes: number;
  readonly serviceCallsPerSecond: number;
}

/** Whether the sampled entries have told all that they know. */
async function isSpread(fleet: Fleet): Promise<boolean> {
  const dumps = await Promise.all(fleet.entries.slice(0, SIZES[0]).map((entry) => fleet.admin(entry).dump()));
  return dumps.every((dump) => dump.ok && dump.value.memberUpdatesToSpread === 0);
}

/** Mean cost of the first entries over one window. */
async function measure(fleet: Fleet): Promise<NodeCost> {
  const sampled = fleet.entries.slice(0, SIZES[0]);
  const before = await Promise.all(sampled.map((entry) => readEntry(fleet, entry)));
  await pause(WINDOW_MS);
  const after = await Promise.all(sampled.map((entry) => readEntry(fleet, entry)));
  const mean = (cost: (a: EntryReading, b: EntryReading, seconds: number) => number): number =>
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

/** Least squares line through the points, evaluated at `x`. */
function fittedAt(xs: readonly number[], ys: readonly number[], x: number): number {
  const meanX = xs.reduce((sum, value) => sum + value, 0) / xs.length;
  const meanY = ys.reduce((sum, value) => sum + value, 0) / ys.length;
  const above = xs.reduce((sum, value, index) => sum + (value - meanX) * ((ys[index] ?? 0) - meanY), 0);
  const below = xs.reduce((sum, value) => sum + (value - meanX) ** 2, 0);
  return meanY + (above / below) * (x - meanX);
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ entriesPerDomain: 0, replicasPerDomain: 1, initialEntries: SIZES[0] });
  try {
    const costs: NodeCost[] = [];
    for (const size of SIZES) {
      await fleet.addEntries(size - fleet.entries.length);
      await pause(SETTLE_MS);
      await waitFor('changes of members to be spread', () => isSpread(fleet));
      const cost = await measure(fleet);
      note(`${String(size)} entries: ${JSON.stringify(cost)}`);
      costs.push(cost);
    }
    const names = [
      'bytesPerSecond',
      'messagesPerSecond',
      'processorPercent',
      'memoryMegabytes',
      'serviceCallsPerSecond',
    ] as const;
    const fitted = names.map((name) => [
      `${name}At330`,
      fittedAt(
        SIZES,
        costs.map((cost) => cost[name]),
        DESIGN_SIZE,
      ),
    ]);
    const measured = SIZES.flatMap((size, index) =>
      names.map((name) => [`${name}At${String(size)}`, costs[index]?.[name] ?? 0] as const),
    );
    return {
      figures: Object.fromEntries([...measured, ...fitted]) as Record<string, number>,
      plots: names.map((name) => ({
        title: `${name} of a node`,
        xTitle: 'entries',
        yTitle: name,
        series: [{ name, x: SIZES, y: costs.map((cost) => cost[name]) }],
      })),
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run slope`. */
export const slope: Experiment = {
  name: 'slope',
  summary: 'cost of control a node at 8 to 64 entries, and at 330 by the slope',
  bounds: [
    { figure: 'bytesPerSecondAt330', atMost: 16_384 },
    { figure: 'processorPercentAt330', atMost: 2 },
    { figure: 'memoryMegabytesAt330', atMost: 256 },
  ],
  run,
};

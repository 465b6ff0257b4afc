/** Peak memory of an entry against the size of the job that it takes in. */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const SIZES = [10_000, 50_000, 220_000];
const TOKENS = 16;
const SAMPLE_MS = 200;
const MEMORY_LIMIT_MEGABYTES = 256;

async function peakWhile(fleet: Fleet, work: Promise<unknown>): Promise<number> {
  let peak = 0;
  let running = true;
  const sample = async (): Promise<void> => {
    while (running) {
      const dump = await fleet.admin(fleet.entry(0)).dump();
      if (dump.ok) peak = Math.max(peak, dump.value.memoryBytes as number);
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS));
    }
  };
  const sampling = sample();
  await work;
  running = false;
  await sampling;
  return peak / 1_048_576;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    failureDomains: ['zvolen-hala'],
    replicasPerDomain: 1,
    entrySettings: { roles: ['gateway', 'scheduler'], keyValueService: { writesPerSecond: 200 } },
  });
  try {
    const peaks: number[] = [];
    const seconds: number[] = [];
    for (const size of SIZES) {
      const startedMs = performance.now();
      peaks.push(await peakWhile(fleet, sendJob(fleet, 'obloha', `intake-${String(size)}`, size, TOKENS)));
      seconds.push((performance.now() - startedMs) / 1_000);
      note(
        `${String(size)} items: ${String(Math.round(peaks.at(-1) ?? 0))} MB, ${(seconds.at(-1) ?? 0).toFixed(1)} s`,
      );
    }
    return {
      plots: [
        {
          title: 'Peak memory against job size',
          xTitle: 'items',
          yTitle: 'MB',
          series: [{ name: 'peak memory', x: SIZES, y: peaks }],
        },
      ],
      figures: {
        ...Object.fromEntries(
          SIZES.map((size, index) => [`peakMegabytesAt${String(size)}`, peaks[index] ?? Number.NaN]),
        ),
        ...Object.fromEntries(
          SIZES.map((size, index) => [`secondsAt${String(size)}`, seconds[index] ?? Number.NaN]),
        ),
        peakMegabytes: Math.max(...peaks),
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run intake`. */
export const intake: Experiment = {
  name: 'intake',
  summary: 'peak memory of an entry against job size, up to 220,000 items',
  bounds: [{ figure: 'peakMegabytes', atMost: MEMORY_LIMIT_MEGABYTES }],
  run,
};

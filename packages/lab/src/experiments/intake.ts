/** Measures the peak memory of an entry while it accepts batch jobs of several sizes. */
import { sendJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

/** Items of each job. */
const JOB_SIZES = [10_000, 50_000, 220_000];
const TOKENS_PER_ITEM = 16;
const SAMPLE_PERIOD_MS = 200;
const MEMORY_LIMIT_MEGABYTES = 256;

/** Samples the memory of the first entry until `work` is done, and returns the peak in units of 2^20 bytes. */
async function peakMegabytesDuring(fleet: Fleet, work: Promise<unknown>): Promise<number> {
  let peakBytes = 0;
  let running = true;
  const sample = async (): Promise<void> => {
    while (running) {
      const dump = await fleet.admin(fleet.entry(0)).dump();
      if (dump.ok) peakBytes = Math.max(peakBytes, dump.value.memoryBytes as number);
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_PERIOD_MS));
    }
  };
  const sampling = sample();
  await work;
  running = false;
  await sampling;
  return peakBytes / 1_048_576;
}

async function run(_random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    failureDomains: ['zvolen-hala'],
    replicasPerDomain: 1,
    entrySettings: { roles: ['gateway', 'scheduler'], keyValueService: { writesPerSecond: 200 } },
  });
  try {
    const peaksMegabytes: number[] = [];
    const seconds: number[] = [];
    for (const size of JOB_SIZES) {
      const startedMs = performance.now();
      peaksMegabytes.push(
        await peakMegabytesDuring(
          fleet,
          sendJob(fleet, 'obloha', `intake-${String(size)}`, size, TOKENS_PER_ITEM),
        ),
      );
      seconds.push((performance.now() - startedMs) / 1_000);
      note(
        `job of ${String(size)} items: peak memory ${String(Math.round(peaksMegabytes.at(-1) ?? 0))} MB, accepted after ${(seconds.at(-1) ?? 0).toFixed(1)} s`,
      );
    }
    return {
      plots: [
        {
          title: 'Peak memory of an entry by job size',
          xTitle: 'items',
          yTitle: 'MB',
          series: [{ name: 'peak memory', x: JOB_SIZES, y: peaksMegabytes }],
        },
      ],
      figures: {
        ...Object.fromEntries(
          JOB_SIZES.map((size, index) => [
            `peakMegabytesAt${String(size)}`,
            peaksMegabytes[index] ?? Number.NaN,
          ]),
        ),
        ...Object.fromEntries(
          JOB_SIZES.map((size, index) => [`secondsAt${String(size)}`, seconds[index] ?? Number.NaN]),
        ),
        peakMegabytes: Math.max(...peaksMegabytes),
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run intake` starts. */
export const intake: Experiment = {
  name: 'intake',
  summary: 'peak memory of an entry that accepts jobs of up to 220,000 items',
  bounds: [{ figure: 'peakMegabytes', atMost: MEMORY_LIMIT_MEGABYTES }],
  run,
};

/** Runs batch jobs under random kills, pauses and lost responses, and checks that every item ends exactly once. */
import type { LabJob } from '../batch-load.js';
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, killReplica, pause, pauseProcess } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const JOBS = 3;
const ITEMS = 1_200;
const TOKENS_PER_ITEM = 10;
const LEASE_MS = 4_000;
/** Longer than the lease, so that other instances take over the work of the paused one. */
const PAUSE_PAST_LEASE_MS = 6_000;
const FAULT_COUNT = 7;
const MEAN_FAULT_SPACING_MS = 900;
const JOB_TIMEOUT_MS = 45_000;

/** Injects one fault and ends it again. */
type Fault = (fleet: Fleet, random: SeededRandom) => Promise<void>;

const FAULT_KINDS: readonly Fault[] = [
  (fleet, random) => killEntry(fleet, random.pick(fleet.entries), 300),
  (fleet, random) => killReplica(fleet, random.pick(fleet.replicas), 400),
  (fleet, random) => pauseProcess(random.pick(fleet.entries), PAUSE_PAST_LEASE_MS),
  async (fleet) => {
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0.3 });
    await pause(2_000);
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0 });
  },
];

/**
 * Injects random faults, which may overlap, and waits until all have ended. A signal to a process that has already
 * ended has no effect, and a fault that fails is noted without ending the run.
 */
async function injectFaults(fleet: Fleet, random: SeededRandom, note: (line: string) => void): Promise<void> {
  const pending: Promise<void>[] = [];
  for (let round = 0; round < FAULT_COUNT; round += 1) {
    await pause(MEAN_FAULT_SPACING_MS * (0.5 + random.next()));
    const kind = random.below(FAULT_KINDS.length);
    note(`injecting fault ${String(round)}, kind ${String(kind)}`);
    const fault = FAULT_KINDS[kind];
    if (fault) pending.push(fault(fleet, random).catch((error: unknown) => note(String(error))));
  }
  await Promise.all(pending);
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    throughProxy: true,
    engine: { stepMs: 12, stepPerStreamMs: 0.3 },
    entrySettings: { batch: { leaseMs: LEASE_MS, commitPeriodMs: 800, chunkItems: 120 } },
  });
  try {
    const organisations = fleet.plan.organisations.map((organisation) => organisation.name);
    const jobs: LabJob[] = await Promise.all(
      Array.from({ length: JOBS }, (_, index) =>
        sendJob(fleet, organisations[index] ?? '', `crash-${String(index)}`, ITEMS, TOKENS_PER_ITEM),
      ),
    );
    const faults = injectFaults(fleet, random, note);
    await faults;
    await Promise.all(jobs.map((job) => waitForJob(fleet, job, JOB_TIMEOUT_MS)));
    const checks = await Promise.all(jobs.map((job) => checkJob(fleet, job)));
    const total = (pick: (check: (typeof checks)[number]) => number): number =>
      checks.reduce((sum, check) => sum + pick(check), 0);
    return {
      plots: [],
      figures: {
        items: JOBS * ITEMS,
        itemsLost: total((check) => check.lost),
        itemsDoubled: total((check) => check.doubled),
        itemsWrong: total((check) => check.wrong),
        falseFailed: total((check) => check.failed),
        broken: fleet.fatalLogLines().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run crash` starts. */
export const crash: Experiment = {
  name: 'crash',
  summary: 'batch jobs under random kills, pauses longer than the lease and lost responses',
  bounds: [
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

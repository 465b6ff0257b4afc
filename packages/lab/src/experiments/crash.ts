/** Batch under randomised kills, pauses and lost answers: every item ends once. */
import type { LabJob } from '../batch-load.js';
import { checkJob, sendJob, waitForJob } from '../batch-load.js';
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, killReplica, pause, pauseProcess } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const JOBS = 3;
const ITEMS = 1_200;
const TOKENS = 10;
const LEASE_MS = 4_000;
const PAUSE_PAST_LEASE_MS = 6_000;
const FAULTS = 7;
const FAULT_SPACING_MS = 900;
const JOB_LIMIT_MS = 45_000;

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

/** Faults of an entry that is already stopped are skipped, so that each fault is whole. */
async function induce(fleet: Fleet, random: SeededRandom, note: (line: string) => void): Promise<void> {
  const pending: Promise<void>[] = [];
  for (let round = 0; round < FAULTS; round += 1) {
    await pause(FAULT_SPACING_MS * (0.5 + random.next()));
    const kind = random.below(FAULT_KINDS.length);
    note(`fault ${String(round)}: kind ${String(kind)}`);
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
        sendJob(fleet, organisations[index] ?? '', `crash-${String(index)}`, ITEMS, TOKENS),
      ),
    );
    const faults = induce(fleet, random, note);
    await faults;
    await Promise.all(jobs.map((job) => waitForJob(fleet, job, JOB_LIMIT_MS)));
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
        broken: fleet.brokenInvariants().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run crash`. */
export const crash: Experiment = {
  name: 'crash',
  summary: 'batch under randomised kills, pauses past the lease and lost answers',
  bounds: [
    { figure: 'itemsLost', atMost: 0 },
    { figure: 'itemsDoubled', atMost: 0 },
    { figure: 'itemsWrong', atMost: 0 },
    { figure: 'falseFailed', atMost: 0 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

/** At most once: replicas and entries killed, answers lost, resends through other instances. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, killReplica, pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { KeyedResult } from '../keyed-load.js';
import { checkKeyed, sendKeyed } from '../keyed-load.js';
import type { SeededRandom } from '../random.js';

const REQUESTS = 300;
const SPACING_MS = 60;
const FAULT_ROUNDS = 9;
const FAULT_PERIOD_MS = 2_200;

async function induceFaults(fleet: Fleet, random: SeededRandom): Promise<void> {
  for (let round = 0; round < FAULT_ROUNDS; round += 1) {
    await pause(FAULT_PERIOD_MS);
    const replica = random.pick(fleet.replicas);
    if (round % 3 === 0) await killReplica(fleet, replica, 500);
    if (round % 3 === 1) await killEntry(fleet, random.pick(fleet.entries), 300);
    if (round % 3 === 2) await loseAnswers(fleet, replica.name);
  }
}

/** The answers of a replica are lost, then its connections break. */
async function loseAnswers(fleet: Fleet, route: string): Promise<void> {
  await fleet.setRouteFaults([route], { dropAnswers: true });
  await pause(400);
  await fleet.setRouteFaults([route], { cut: true });
  await pause(200);
  await fleet.setRouteFaults([route], { cut: false, dropAnswers: false });
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true, keyValue: { writesPerSecond: 1_000 } });
  try {
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0.05 });
    const faults = induceFaults(fleet, random);
    const pending: Promise<KeyedResult>[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(sendKeyed(fleet, random, index));
      await pause(SPACING_MS);
    }
    const results = await Promise.all(pending);
    await faults;
    const check = checkKeyed(results, fleet.receptions());
    const open = results.filter((result) => result.text === undefined);
    note(`without an answer: ${open.map((result) => result.lastError?.code ?? '').join(', ')}`);
    return { plots: [], figures: { requests: REQUESTS, ...check, withoutAnswer: open.length } };
  } finally {
    await fleet.stop();
  }
}

/** `lab run once`. */
export const once: Experiment = {
  name: 'once',
  summary: 'keyed non-idempotent requests under kills and lost answers',
  bounds: [
    { figure: 'ranTwice', atMost: 0 },
    { figure: 'falseNotRun', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
  ],
  run,
};

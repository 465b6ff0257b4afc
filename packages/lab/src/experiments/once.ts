/**
 * Checks at-most-once execution: non-idempotent requests with an idempotency key are resent through other instances
 * while replicas and entries are killed and responses are lost.
 */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, killReplica, pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { KeyedResult } from '../keyed-load.js';
import { checkKeyed, sendKeyed } from '../keyed-load.js';
import type { SeededRandom } from '../random.js';

const REQUESTS = 300;
const REQUEST_SPACING_MS = 60;
const FAULT_ROUNDS = 9;
const FAULT_PERIOD_MS = 2_200;

/** In turn kills a replica, kills an entry, and loses the responses of a replica. */
async function injectFaults(fleet: Fleet, random: SeededRandom): Promise<void> {
  for (let round = 0; round < FAULT_ROUNDS; round += 1) {
    await pause(FAULT_PERIOD_MS);
    const replica = random.pick(fleet.replicas);
    if (round % 3 === 0) await killReplica(fleet, replica, 500);
    if (round % 3 === 1) await killEntry(fleet, random.pick(fleet.entries), 300);
    if (round % 3 === 2) await loseResponses(fleet, replica.name);
  }
}

/** Drops the responses of a replica for a while, then cuts its route and restores it. */
async function loseResponses(fleet: Fleet, route: string): Promise<void> {
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
    const faults = injectFaults(fleet, random);
    const pending: Promise<KeyedResult>[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(sendKeyed(fleet, random, index));
      await pause(REQUEST_SPACING_MS);
    }
    const results = await Promise.all(pending);
    await faults;
    const check = checkKeyed(results, fleet.receivedRequests());
    const unanswered = results.filter((result) => result.text === undefined);
    note(
      `requests without a response, by last error: ${unanswered.map((result) => result.lastError?.code ?? '').join(', ')}`,
    );
    return { plots: [], figures: { requests: REQUESTS, ...check, withoutAnswer: unanswered.length } };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run once` starts. */
export const once: Experiment = {
  name: 'once',
  summary: 'non-idempotent requests with an idempotency key under kills and lost responses',
  bounds: [
    { figure: 'ranTwice', atMost: 0 },
    { figure: 'falseNotRun', atMost: 0 },
    { figure: 'crossedAnswers', atMost: 0 },
  ],
  run,
};

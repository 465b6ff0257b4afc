/** Clients that keep channels open for many requests, and what became of their requests. */
import { Agent, request } from 'node:http';

import { HOST, now, sleep } from './fleet.mjs';

/** The rate of the sheet of the site, and the kept channels to each front machine. */
const REQUESTS_A_SECOND = 27;
const CHANNELS_A_FRONT = 12;
/** Number of different shared parts of prompts, as in the site file. */
const SHARED_PARTS = 1_198;
/** More than three requests have to be lost for the rule to be broken. */
const ALLOWED_LOST = 3;

/** Sends requests to all front machines in turn until `untilMs`; `onSend` is called before each. Returns all attempts. */
export async function sendKept(fleet, untilMs, onSend = () => undefined) {
  const agents = fleet.fronts.map(() => new Agent({ keepAlive: true, maxSockets: CHANNELS_A_FRONT }));
  const attempts = [];
  const open = [];
  for (let index = 0; now() < untilMs; index += 1) {
    onSend();
    const at = index % fleet.fronts.length;
    const attempt = { id: `q${String(index)}`, front: fleet.fronts[at], bytes: 0, end: '' };
    attempts.push(attempt);
    open.push(sendOne(attempt, agents[at], (index * 7) % SHARED_PARTS));
    await sleep(1_000 / REQUESTS_A_SECOND);
  }
  await Promise.all(open);
  return attempts;
}

function sendOne(attempt, agent, sharedPart) {
  const { id, front } = attempt;
  const [host, port] = front.frontend.split(':');
  const headers = {
    Host: HOST,
    'Attempt-Id': id,
    'Deadline-Ms': 5_000,
    'Token-Count': '450,35',
    'Prompt-Prefix': `a${String(sharedPart)}:200,${id}:250`,
  };
  return new Promise((resolve) => {
    const req = request({ host, port, method: 'POST', path: `/obed/${id}`, headers, agent }, (res) => {
      attempt.status = res.statusCode;
      res.on('data', (part) => (attempt.bytes += part.length));
      res.once('close', () => {
        attempt.end ||= res.complete ? 'complete' : 'cut';
        resolve();
      });
      res.on('error', () => undefined);
    });
    req.on('error', (error) => {
      attempt.end ||= error.code ?? error.message;
      attempt.kept = req.reusedSocket;
      resolve();
    });
    req.end('a prompt');
  });
}

/**
 * Judges the rule LOST for kept channels: requests that were passed on to a replica of which `isSound` is true, and whose channel was
 * closed without any byte of an answer. Returns whether the rule was broken, and the counts as text.
 */
export function judgeKept(fleet, attempts, isSound) {
  const runs = new Map(fleet.replicas.flatMap(({ runs: own }) => own.map((run) => [run.requestId, run])));
  const ranSoundly = ({ id }) => runs.has(id) && isSound(runs.get(id).replica);
  const lost = attempts
    .filter(({ status, end, kept }) => kept && status === undefined && end === 'ECONNRESET')
    .filter(ranSoundly);
  const cut = attempts.filter(({ end }) => end === 'cut').filter(ranSoundly);
  const refused = attempts.filter(({ end }) => end === 'ECONNREFUSED');
  const served = attempts.filter(({ status, end }) => status === 200 && end === 'complete');
  lost.forEach(({ id, front }) =>
    fleet.record.add(`lost     ${id} on a kept channel of ${front.name}, run by ${runs.get(id).replica}`),
  );
  cut.forEach(({ id, front, bytes }) =>
    fleet.record.add(`cut      ${id} at ${front.name} after ${String(bytes)} bytes`),
  );
  const counts = [
    `${String(served.length)} of ${String(attempts.length)} requests were served`,
    `${String(lost.length)} on kept channels got no answer though sound replicas ran them`,
    `${String(cut.length)} sound streams were cut`,
    `${String(refused.length)} found no process`,
  ];
  return { isBroken: lost.length > ALLOWED_LOST, text: counts.join(', ') };
}

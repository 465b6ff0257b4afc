/**
 * Some replicas spoil a few of their answers: the status line has a code that is none. Judges the rule LOST for requests on kept
 * channels that were passed on to sound replicas, and counts the processes that end by themselves.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { finish, main, now, ownExits } from '../lib/fleet.mjs';
import { judgeKept, sendKept } from '../lib/traffic.mjs';

/** As in the list of troubles of the site file: `garble` on 0.35 of the replicas, 0.02 of their answers, for 5.5 s. */
const FAULTY_SHARE = 0.35;
const SPOILED_SHARE = 0.02;
const FAULTY_MS = 5_500;
const CALM_MS = 3_500;
const ROUNDS = 9;
/** Within the aim of 300 ms. */
const FIRST_EVENT_MS = 250;

main(dirname(fileURLToPath(import.meta.url)), {}, async (fleet, trouble) => {
  const { record, replicas } = fleet;
  const faultyIds = new Set(
    replicas.slice(0, Math.floor(replicas.length * FAULTY_SHARE)).map((replica) => replica.id),
  );
  let isFaulty = false;
  let answers = 0;
  replicas.forEach((replica) => {
    replica.firstEventMs = FIRST_EVENT_MS;
    replica.behaviour = (req, res, run) => {
      if (!isFaulty || !faultyIds.has(replica.id)) return false;
      answers += 1;
      // Evenly spread, so that no more than the share is spoiled.
      if (Math.floor(answers * SPOILED_SHARE) === Math.floor((answers - 1) * SPOILED_SHARE)) return false;
      record.add(`replica  ${replica.id} spoils the status line of its answer to ${run.requestId}`);
      const head = [
        `HTTP/1.1 000 OK`,
        `Attempt-Id: ${run.requestId}`,
        'Response-Seal: s',
        'Content-Length: 2',
      ];
      res.socket.end(`${head.join('\r\n')}\r\n\r\nok`);
      return true;
    };
  });

  const startMs = now();
  const attempts = await sendKept(fleet, startMs + ROUNDS * (FAULTY_MS + CALM_MS), () => {
    isFaulty = trouble && (now() - startMs) % (FAULTY_MS + CALM_MS) >= CALM_MS;
  });
  const { isBroken, text } = judgeKept(fleet, attempts, (replicaId) => !faultyIds.has(replicaId));
  finish(fleet, isBroken, `${text}; ${ownExits(fleet)}`);
});

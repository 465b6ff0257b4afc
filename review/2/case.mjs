/**
 * The store turns one machine away, that which read the list of replicas last, while the operator adds a batch route, and clients
 * use the route at once. Judges the rule MIXED: an item may be given up only after a 422, enough answers of 500, `maxWaitS`, or the
 * end of its batch job or route, none of which happens here.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { finish, job, main, ownExits, readAll, sleep, submit } from '../lib/fleet.mjs';

/** The disruption comes several times, as which instance holds a job and when it hears of a route is left to chance. */
const ROUNDS = 7;
const JOBS_A_ROUND = 9;
const ITEMS = 5;
/** The store turns the machine away for this long; the site file has up to 9 s. */
const TURNED_AWAY_MS = 4_000;
const CALM_MS = 5_000;
/** Time from the start of the disruption to the new version. */
const BEFORE_CHANGE_MS = 300;

main(
  dirname(fileURLToPath(import.meta.url)),
  { replica: { events: 12, eventMs: 20 } },
  async (fleet, trouble) => {
    const { store, record } = fleet;
    const routes = [];
    const accepted = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const machine = fleet.nodes.find(({ ip }) => ip === store.lastReader);
      if (trouble && machine) {
        store.refuse(machine.ip);
        record.add(`store    turns ${machine.name} away`);
      }
      await sleep(BEFORE_CHANGE_MS);
      const prefix = `/okres${String(round)}/`;
      routes.push({ name: `okres${String(round)}`, prefix });
      fleet.configure(routes);
      const jobs = Array.from({ length: JOBS_A_ROUND }, (_, index) =>
        job(`r${String(round)}j${String(index)}`, ITEMS, { prefix }),
      );
      await Promise.all(
        jobs.map(async (submitted, index) => {
          // A node that does not know the route yet answers 404; the client then tries a while longer.
          for (let tries = 0; tries < 40; tries += 1) {
            const status = await submit(
              fleet,
              fleet.fronts[(index + tries) % fleet.fronts.length],
              submitted,
            );
            if (status === 202) {
              accepted.push(submitted);
              return;
            }
            await sleep(10);
          }
        }),
      );
      await sleep(TURNED_AWAY_MS - BEFORE_CHANGE_MS);
      if (machine && store.refused.delete(machine.ip)) record.add(`store    serves ${machine.name} again`);
      await sleep(CALM_MS);
    }
    await sleep(6_000);

    const runs = fleet.replicas.flatMap((replica) => replica.runs);
    let givenUp = 0;
    let neverRun = 0;
    for (const { id, items } of accepted) {
      const results = await readAll(fleet, id);
      const dead = results.filter(({ state }) => state === 'dead_letter');
      givenUp += dead.length;
      neverRun += dead.filter((result) => !runs.some(({ requestId }) => requestId === result.id)).length;
      record.add(
        `judged   ${id}: ${String(results.length)} of ${String(items.length)} items listed, ${String(dead.length)} given up`,
      );
    }
    finish(
      fleet,
      givenUp > 0,
      `${String(givenUp)} items of ${String(accepted.length)} accepted jobs were given up, ${String(neverRun)} of them never sent to a replica, though their route is in force; ${ownExits(fleet)}`,
    );
  },
);

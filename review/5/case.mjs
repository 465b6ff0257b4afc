/**
 * Another writer puts one entry into the list of replicas, whose id no HTTP header can hold. Judges the rule LOST for requests on kept
 * channels that were passed on to sound replicas, and counts the processes that end by themselves.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { SERVICE, ZONES, finish, main, now, ownExits, sleep } from '../lib/fleet.mjs';
import { judgeKept, sendKept } from '../lib/traffic.mjs';

const BEFORE_MS = 8_000;
const ENTRY_MS = 30_000;
const AFTER_MS = 8_000;
/** Within the aim of 300 ms. */
const FIRST_EVENT_MS = 250;
/** No process listens there. */
const ADDRESS = '127.0.0.1:9';

main(dirname(fileURLToPath(import.meta.url)), {}, async (fleet, trouble) => {
  const { record, replicas, store } = fleet;
  replicas.forEach((replica) => (replica.firstEventMs = FIRST_EVENT_MS));
  // Without the disruption the same entry has an id of plain letters.
  const key = `servers/${trouble ? 'záloha č. 1' : 'zaloha-1'}`;
  const entry = {
    service: SERVICE,
    address: ADDRESS,
    zone: ZONES[0],
    version: 'v1',
    capacity: 8,
    state: 'ready',
    coldLeftMs: 0,
    sequence: 1,
  };
  const sending = sendKept(fleet, now() + BEFORE_MS + ENTRY_MS + AFTER_MS);
  await sleep(BEFORE_MS);
  store.put(key, entry);
  record.add(`store    another writer adds ${key} at ${ADDRESS}`);
  await sleep(ENTRY_MS);
  store.remove(key);
  record.add(`store    ${key} is gone`);
  const { isBroken, text } = judgeKept(fleet, await sending, () => true);
  finish(fleet, isBroken, `${text}; ${ownExits(fleet)}`);
});

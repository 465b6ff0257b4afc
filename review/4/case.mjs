/**
 * The replicas are sound, and one event of each output holds the character U+2028, which a model may write. Judges the rule MIXED:
 * the result of an item that is `done` has to be the whole output.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { eventText, finish, job, main, ownExits, readAll, sleep, submit } from '../lib/fleet.mjs';

const JOBS = 4;
const ITEMS = 5;
const EVENTS = 20;
const SPECIAL_EVENT = 7;

main(
  dirname(fileURLToPath(import.meta.url)),
  { replica: { events: EVENTS, eventMs: 15 } },
  async (fleet, trouble) => {
    const separator = trouble ? '\u2028' : ' ';
    const textOf = (requestId, index) =>
      index === SPECIAL_EVENT
        ? `${eventText(requestId, index)} wear a hat.${separator}Stay in the shade from noon.`
        : eventText(requestId, index);
    fleet.replicas.forEach((replica) => (replica.text = textOf));

    const jobs = Array.from({ length: JOBS }, (_, index) => job(`u${String(index)}`, ITEMS));
    for (const [index, submitted] of jobs.entries())
      await submit(fleet, fleet.fronts[index % fleet.fronts.length], submitted);
    await sleep(8_000);

    let done = 0;
    const wrong = [];
    for (const { id } of jobs) {
      const results = (await readAll(fleet, id)).filter(({ state }) => state === 'done');
      done += results.length;
      results.forEach((result) => {
        const whole = Array.from({ length: EVENTS }, (_, index) => textOf(result.id, index + 1)).join('\n');
        if (result.output === whole) return;
        wrong.push(result);
        const line = result.output.split('\n')[SPECIAL_EVENT - 1];
        fleet.record.add(`judged   ${result.id}: event ${String(SPECIAL_EVENT)} is ${JSON.stringify(line)}`);
        fleet.record.add(`         the replica sent ${JSON.stringify(textOf(result.id, SPECIAL_EVENT))}`);
      });
    }
    if (done === 0) throw new Error('no item was done');
    finish(
      fleet,
      wrong.length > 0,
      `${String(wrong.length)} of ${String(done)} results that are done are not the whole output; ${ownExits(fleet)}`,
    );
  },
);

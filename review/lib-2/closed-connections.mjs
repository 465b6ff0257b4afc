/** Judges the rule LOST for requests on kept connections that are closed without an answer. */
import { HOST, note, say } from './case.mjs';

/** A route whose requests may run once, and are answered as a whole. */
export function ordersRoute() {
  return {
    hostname: HOST,
    service: 'alert-modely',
    priority: 0,
    goalMs: 300,
    sticky: true,
    name: 'orders',
    prefix: '/orders/',
    kind: 'unsafe',
    timeoutMs: 5_000,
    maxAttempts: 1,
  };
}

/** Requests on kept connections that reached a replica, and whose connection was closed without an answer. */
export function closedWithoutAnswer(answers, replicas) {
  const reached = new Set(replicas.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  const closed = answers.filter(({ id, status, gaveUp }) => status === 0 && !gaveUp && reached.has(id));
  closed.forEach(({ id, error }) => note(`closed without an answer: ${id}, ${error}`));
  say(
    `${String(answers.length)} ordinary requests, ${String(answers.filter(({ status, complete }) => status === 200 && complete).length)} served; ` +
      `passed on to a sound replica and closed without an answer: ${String(closed.length)}`,
  );
  return closed.length;
}

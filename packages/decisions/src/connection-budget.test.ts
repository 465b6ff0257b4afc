import { describe, expect, it } from 'vitest';

import { ConnectionLedger, connectionBudget, unprovenConnections } from './connection-budget.js';

/** Limits of the machines of the site files. */
const MACHINES = [
  { memoryMb: 250, maxFds: 4_100 },
  { memoryMb: 350, maxFds: 4_100 },
  { memoryMb: 602, maxFds: 8_192 },
];
const LARGEST_HEADER_MB = 64 / 1_024;
/** Peak under the load of the site files, and the parts of the memory for what is bounded by itself. */
const USUAL_PEAK_MB = 95;
const BUFFERS_FRACTION = 0.4;
/** Files, and what peers, the store and probes need. */
const OTHER_DESCRIPTORS = 500;
const CALLERS = 3_800;

/** Opens as many connections as come, of which those beyond the budget are closed on arrival. */
function arrive(count: number, budget = connectionBudget({ memoryMb: 250, maxFds: 4_100 })) {
  const ledger = new ConnectionLedger<object>(budget);
  const callers = Array.from({ length: count }, () => ({}));
  const closed = new Set(callers.map((caller) => ledger.opened(caller, 0)));
  const taken = callers.filter((caller) => !closed.has(caller));
  return { ledger, taken, budget };
}

describe('connectionBudget', () => {
  it.each(MACHINES)(
    'keeps $memoryMb MB and $maxFds descriptors when any number of callers comes',
    (machine) => {
      const { taken } = arrive(CALLERS * 3, connectionBudget(machine));
      const peakMb = USUAL_PEAK_MB + machine.memoryMb * BUFFERS_FRACTION + taken.length * LARGEST_HEADER_MB;
      expect(peakMb).toBeLessThanOrEqual(machine.memoryMb);
      expect(taken.length * 2 + OTHER_DESCRIPTORS).toBeLessThanOrEqual(machine.maxFds);
      expect(taken.length).toBeGreaterThanOrEqual(800);
    },
  );

  it('leaves descriptors for replicas where there are few', () => {
    const { served, refused } = connectionBudget({ memoryMb: 350, maxFds: 300 });
    expect((served + refused) * 2).toBeLessThanOrEqual(100);
    expect(served).toBeGreaterThan(0);
  });
});

describe('unprovenConnections', () => {
  it('leaves room for all instances of a large fleet that start together', () => {
    expect(unprovenConnections(4_100)).toBeGreaterThanOrEqual(330);
  });

  it('takes few of few descriptors', () => {
    expect(unprovenConnections(300)).toBe(16);
  });
});

describe('ConnectionLedger', () => {
  it('refuses the requests of the connections that came last, until others have closed', () => {
    const { ledger, taken, budget } = arrive(CALLERS);
    const [first = {}, ...others] = taken;
    const last = others[others.length - 1] ?? {};
    expect(taken.filter((caller) => ledger.mayServe(caller, 0).isServed)).toHaveLength(budget.served);
    expect(ledger.mayServe(last, 0).isServed).toBe(false);
    ledger.closed(first);
    expect(ledger.mayServe(last, 0).isServed).toBe(true);
  });

  it('serves a request in the place of the connection that has been idle for longest', () => {
    const { ledger, taken } = arrive(CALLERS);
    const [used = {}, busy = {}, idle = {}] = taken;
    ledger.requestBegan(busy);
    ledger.requestBegan(used);
    ledger.requestEnded(used, 1);
    const newcomer = {};
    ledger.opened(newcomer, 10_000);
    expect(ledger.mayServe(newcomer, 10_001)).toEqual({ isServed: true, closed: idle });
  });

  it('closes connections that have had requests only if no others are idle, and none that has an open request', () => {
    const ledger = new ConnectionLedger<object>({ served: 3, refused: 1 });
    const [used, busy, receiving] = [{ name: 'used' }, { name: 'busy' }, { name: 'receiving' }];
    [used, busy, receiving].forEach((connection) => ledger.opened(connection, 0));
    ledger.requestBegan(busy);
    ledger.requestBegan(used);
    ledger.requestEnded(used, 100);
    ledger.received(receiving, 9_990);
    const newcomer = {};
    ledger.opened(newcomer, 10_000);
    expect(ledger.mayServe(newcomer, 10_000).closed).toBe(used);
  });

  it('refuses a request if no connection is idle', () => {
    const ledger = new ConnectionLedger<object>({ served: 1, refused: 1 });
    ledger.opened({}, 0);
    const newcomer = {};
    ledger.opened(newcomer, 1);
    expect(ledger.mayServe(newcomer, 2)).toEqual({ isServed: false });
  });

  it('closes the connection that has waited for longest over the budget for a new one', () => {
    const ledger = new ConnectionLedger<object>({ served: 1, refused: 1 });
    const waiting = {};
    ledger.opened({}, 0);
    ledger.opened(waiting, 1);
    expect(ledger.opened({}, 2)).toBe(waiting);
  });

  it('forgets closed connections', () => {
    const { ledger, taken } = arrive(CALLERS);
    taken.forEach((caller) => ledger.closed(caller));
    expect(ledger.openCount).toBe(0);
  });
});

import { describe, expect, it } from 'vitest';

import { ConnectionLedger, connectionBudget } from './connection-budget.js';

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
  const taken = callers.filter((caller) => {
    if (ledger.openCount >= budget.served + budget.refused) return false;
    ledger.opened(caller);
    return true;
  });
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

describe('ConnectionLedger', () => {
  it('refuses the requests of the connections that came last, until others have closed', () => {
    const { ledger, taken, budget } = arrive(CALLERS);
    const [first = {}, ...others] = taken;
    const last = others[others.length - 1] ?? {};
    expect(taken.filter((caller) => ledger.mayServe(caller))).toHaveLength(budget.served);
    expect(ledger.mayServe(last)).toBe(false);
    ledger.closed(first);
    expect(ledger.mayServe(last)).toBe(true);
  });

  it('forgets closed connections', () => {
    const { ledger, taken } = arrive(CALLERS);
    taken.forEach((caller) => ledger.closed(caller));
    expect(ledger.openCount).toBe(0);
  });
});

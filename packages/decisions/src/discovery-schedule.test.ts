import { describe, expect, it } from 'vitest';

import type { MembersKnown } from './discovery-schedule.js';
import { isListed, listReadPeriodMs } from './discovery-schedule.js';

const ENTRY: MembersKnown = {
  isCoordinator: false,
  knowsOthers: true,
  knowsCoordinator: true,
  withoutCoordinatorMs: 0,
};
const COORDINATOR: MembersKnown = { ...ENTRY, isCoordinator: true };

/** Calls to the list in a second by a fleet at rest: one to read it, and one to renew an entry. */
function callsPerSecond(entries: number, coordinators: number): number {
  const callsOf = (known: MembersKnown): number =>
    ((isListed(known) ? 2 : 1) * 1_000) / listReadPeriodMs(known);
  return entries * callsOf(ENTRY) + coordinators * callsOf(COORDINATOR);
}

describe('the schedule of the instance list', () => {
  it('makes 15 calls a second at most in a fleet of 195 instances at rest', () => {
    expect(callsPerSecond(165, 5)).toBeLessThan(15);
  });

  it('lists an entry only after it has known no coordinator for some time', () => {
    const without = { ...ENTRY, knowsCoordinator: false };
    expect(isListed({ ...without, withoutCoordinatorMs: 2_999 })).toBe(false);
    expect(isListed({ ...without, withoutCoordinatorMs: 3_000 })).toBe(true);
  });

  it('reads often while an instance is alone or knows no coordinator', () => {
    expect(listReadPeriodMs({ ...ENTRY, knowsOthers: false, knowsCoordinator: false })).toBe(300);
    expect(listReadPeriodMs({ ...ENTRY, knowsCoordinator: false })).toBe(2_000);
    expect(listReadPeriodMs(ENTRY)).toBe(20_000);
  });
});

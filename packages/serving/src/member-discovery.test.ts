import { DecisionLog, ManualClock, Metrics, ok } from '@fighub/core';
import type { InstanceList } from '@fighub/outside';
import type { MemberUpdate } from '@fighub/decisions';
import type { MembershipRunner } from '@fighub/peers';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { MemberDiscovery } from './member-discovery.js';

const ROUND_MS = 2_000;

function member(instanceId: string, schedules: boolean): MemberUpdate {
  const at = { failureDomain: 'd', peerAddress: `${instanceId}:1` };
  return { instanceId, ...at, state: 'alive', incarnation: 1, schedules };
}

/** An instance with a list that counts its calls, and with members that a test changes. */
function setup(self: MemberUpdate) {
  const calls = { announced: 0, read: 0 };
  const members: MemberUpdate[] = [self];
  const list: InstanceList = {
    announce: () => {
      calls.announced += 1;
      return Promise.resolve(ok(undefined));
    },
    read: () => {
      calls.read += 1;
      return Promise.resolve(ok([]));
    },
  };
  const membership = {
    owners: () => members,
    seed: () => Promise.resolve(),
    seedAddresses: () => Promise.resolve(),
  } as unknown as MembershipRunner;
  const clock = new ManualClock();
  const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, new Metrics());
  const discovery = new MemberDiscovery(list, [], self, membership, clock, log);
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      clock.advance(100);
      await vi.advanceTimersByTimeAsync(100);
    }
  };
  return { calls, members, discovery, pass };
}

describe('MemberDiscovery', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it('lets an entry that knows a coordinator neither register nor read the list in each round', async () => {
    const { calls, members, discovery, pass } = setup(member('entry', false));
    members.push(member('coordinator', true));
    discovery.start();
    await pass(9 * ROUND_MS);
    discovery.stop();
    expect(calls).toEqual({ announced: 0, read: 1 });
  });

  it('registers an entry that has lost all coordinators, and reads the list in each round', async () => {
    const { calls, members, discovery, pass } = setup(member('entry', false));
    members.push(member('coordinator', true));
    discovery.start();
    await pass(ROUND_MS);
    members[1] = member('another entry', false);
    await pass(10 * ROUND_MS);
    const before = { ...calls };
    await pass(5 * ROUND_MS);
    discovery.stop();
    expect([calls.announced - before.announced, calls.read - before.read]).toEqual([5, 5]);
  });

  it('keeps a coordinator listed, and lets it read the list in each round', async () => {
    const { calls, members, discovery, pass } = setup(member('coordinator', true));
    members.push(member('entry', false));
    discovery.start();
    await pass(9 * ROUND_MS);
    discovery.stop();
    expect(calls).toEqual({ announced: 10, read: 10 });
  });
});

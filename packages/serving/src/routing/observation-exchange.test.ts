import { DecisionLog, ManualClock, Metrics } from '@fighub/core';
import type { MembershipRunner, PeerNode, PeerNotices } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { FleetView } from './fleet-view.js';
import { ObservationExchange, observationsBody } from './observation-exchange.js';

type Notice = PeerNotices['replicas.observed'];

const MEMBERS = ['owner', 'coordinator', 'entry'].map((instanceId) => ({
  instanceId,
  peerAddress: instanceId,
  schedules: instanceId !== 'entry',
}));
const BLOCK = { partIds: ['bad'], untilMs: 60_000, blockCount: 1 };

/** Instances that exchange notices in this process, unless the network between them is down. */
function fleet() {
  const clock = new ManualClock();
  const handlers = new Map<string, (body: Notice) => void>();
  const network = { isDown: false, sent: 0 };
  const instances = new Map(
    MEMBERS.map(({ instanceId: self }) => {
      const view = new FleetView();
      const node = {
        onNotice: (_name: string, handler: (body: Notice) => void) => handlers.set(self, handler),
        notifyAll: (addresses: readonly string[], _name: string, body: Notice) => {
          network.sent += addresses.length;
          if (!network.isDown) addresses.forEach((to) => handlers.get(to)?.(body));
        },
      } as unknown as PeerNode;
      const members = { owners: () => MEMBERS } as unknown as MembershipRunner;
      const metrics = new Metrics();
      const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
      const exchange = new ObservationExchange(self, { view, clock, metrics, log }, () => members, node);
      return [self, { view, exchange }] as const;
    }),
  );
  const at = (id: string) => {
    const instance = instances.get(id);
    if (!instance) throw new Error(`no instance ${id}`);
    return instance;
  };
  return { at, clock, network };
}

describe('ObservationExchange', () => {
  it('tells the coordinators, with the time that is left', () => {
    const { at, clock } = fleet();
    at('owner').view.blockedPrompts.add(BLOCK, clock.monotonicMs());
    at('owner').exchange.onObserved();
    expect(observationsBody(at('coordinator').view, clock.monotonicMs()).blockedPrompts).toEqual([
      { partIds: ['bad'], leftMs: BLOCK.untilMs - clock.monotonicMs(), blockCount: 1 },
    ]);
    expect(observationsBody(at('entry').view, clock.monotonicMs())).toEqual({});
  });

  it('tells them again when the notice was lost, and no more when the block has ended', () => {
    const { at, clock, network } = fleet();
    network.isDown = true;
    at('owner').view.blockedPrompts.add(BLOCK, 0);
    at('owner').exchange.onObserved();
    network.isDown = false;
    clock.advance(1_000);
    at('owner').exchange.run(clock.monotonicMs());
    expect(at('coordinator').view.blockedPrompts.find(['bad'], 1_000)).toBeDefined();
    clock.advance(60_000);
    const before = network.sent;
    at('owner').exchange.run(clock.monotonicMs());
    expect(network.sent).toBe(before);
  });

  it('sends nothing from an instance that has only been told', () => {
    const { at, clock, network } = fleet();
    at('owner').view.blockedPrompts.add(BLOCK, 0);
    at('owner').exchange.onObserved();
    const before = network.sent;
    clock.advance(5_000);
    at('coordinator').exchange.run(clock.monotonicMs());
    expect(network.sent).toBe(before);
  });

  it('tells of limits of replicas with their age, and of their end', () => {
    const { at, clock } = fleet();
    const state = (requestsPerSecond: number | undefined): void => {
      const nowMs = clock.monotonicMs();
      at('owner').view.requestLimits.observe('r', requestsPerSecond, nowMs, nowMs);
      at('owner').exchange.onObserved();
    };
    state(2.5);
    expect(at('coordinator').view.requestLimits.of('r')).toBe(2.5);
    clock.advance(300);
    expect(observationsBody(at('coordinator').view, clock.monotonicMs()).requestLimits).toEqual([
      { replicaId: 'r', requestsPerSecond: 2.5, ageMs: 300 },
    ]);
    state(undefined);
    expect(at('coordinator').view.requestLimits.of('r')).toBeUndefined();
  });

  it('repeats a limit for a while after the last response with it, since a notice may be lost', () => {
    const { at, clock, network } = fleet();
    network.isDown = true;
    at('owner').view.requestLimits.observe('r', 2, 0, clock.monotonicMs());
    at('owner').exchange.onObserved();
    network.isDown = false;
    clock.advance(1_000);
    at('owner').exchange.run(clock.monotonicMs());
    expect(at('coordinator').view.requestLimits.of('r')).toBe(2);
    clock.advance(5_000);
    const before = network.sent;
    at('owner').exchange.run(clock.monotonicMs());
    expect(network.sent).toBe(before);
  });
});

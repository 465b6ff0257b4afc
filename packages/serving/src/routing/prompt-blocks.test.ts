import { DecisionLog, ManualClock, Metrics } from '@fighub/core';
import type { MembershipRunner, PeerNode, PeerNotices } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { FleetView } from './fleet-view.js';
import { PromptBlocks, blockedPromptBodies } from './prompt-blocks.js';

type Notice = PeerNotices['prompts.blocked'];

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
      const blocks = new PromptBlocks(self, { view, clock, metrics, log }, () => members, node);
      return [self, { view, blocks }] as const;
    }),
  );
  const at = (id: string) => {
    const instance = instances.get(id);
    if (!instance) throw new Error(`no instance ${id}`);
    return instance;
  };
  return { at, clock, network };
}

describe('PromptBlocks', () => {
  it('tells the coordinators, with the time that is left', () => {
    const { at, clock } = fleet();
    at('owner').view.blockedPrompts.add(BLOCK, clock.monotonicMs());
    at('owner').blocks.onFound();
    expect(blockedPromptBodies(at('coordinator').view, clock.monotonicMs())).toEqual([
      { partIds: ['bad'], leftMs: BLOCK.untilMs - clock.monotonicMs(), blockCount: 1 },
    ]);
    expect(blockedPromptBodies(at('entry').view, clock.monotonicMs())).toEqual([]);
  });

  it('tells them again when the notice was lost, and no more when the block has ended', () => {
    const { at, clock, network } = fleet();
    network.isDown = true;
    at('owner').view.blockedPrompts.add(BLOCK, 0);
    at('owner').blocks.onFound();
    network.isDown = false;
    clock.advance(1_000);
    at('owner').blocks.run(clock.monotonicMs());
    expect(at('coordinator').view.blockedPrompts.find(['bad'], 1_000)).toBeDefined();
    clock.advance(60_000);
    const before = network.sent;
    at('owner').blocks.run(clock.monotonicMs());
    expect(network.sent).toBe(before);
  });

  it('sends nothing from an instance that has only been told', () => {
    const { at, clock, network } = fleet();
    at('owner').view.blockedPrompts.add(BLOCK, 0);
    at('owner').blocks.onFound();
    const before = network.sent;
    clock.advance(5_000);
    at('coordinator').blocks.run(clock.monotonicMs());
    expect(network.sent).toBe(before);
  });
});

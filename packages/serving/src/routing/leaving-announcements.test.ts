import { DecisionLog, ManualClock, Metrics } from '@fighub/core';
import type { MembershipRunner, PeerNode, PeerNotices } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { FleetView } from './fleet-view.js';
import { LeavingAnnouncements } from './leaving-announcements.js';

type Notice = PeerNotices['replica.leaving'];

const REPLICA = {
  replicaId: 'r',
  service: 's',
  address: 'r:1',
  failureDomain: 'd',
  softwareVersion: 'v1',
  slots: 8,
  leaving: false,
};
const MEMBERS = ['owner', 'coordinator', 'entry'].map((instanceId) => ({
  instanceId,
  peerAddress: instanceId,
  schedules: instanceId !== 'entry',
}));

/** Instances that exchange notices in this process, and the log of those notices. */
function fleet() {
  const sent: string[] = [];
  const handlers = new Map<string, (body: Notice) => void>();
  const instances = new Map(
    MEMBERS.map(({ instanceId: self }) => {
      const view = new FleetView();
      view.applyDirectory({ revision: 1, replicas: [REPLICA] });
      const notify = (to: string, _name: string, body: Notice): void => {
        sent.push(`${self} to ${to}`);
        handlers.get(to)?.(body);
      };
      const node = {
        onNotice: (_name: string, handler: (body: Notice) => void) => handlers.set(self, handler),
        notify,
        notifyAll: (addresses: readonly string[], name: string, body: Notice) =>
          addresses.forEach((to) => notify(to, name, body)),
      } as unknown as PeerNode;
      const members = {
        owners: () => MEMBERS,
        membership: { get: (id: string) => MEMBERS.find(({ instanceId }) => instanceId === id) },
      } as unknown as MembershipRunner;
      const clock = new ManualClock();
      const metrics = new Metrics();
      const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
      const announcements = new LeavingAnnouncements(
        self,
        view,
        () => 'owner',
        () => members,
        node,
        clock,
        metrics,
        log,
      );
      return [self, { view, announcements }] as const;
    }),
  );
  const instance = (id: string) => {
    const found = instances.get(id);
    if (!found) throw new Error(`no instance ${id}`);
    return found;
  };
  return { sent, instance };
}

describe('LeavingAnnouncements', () => {
  it('tells the owner of the pool, which tells the other coordinators', () => {
    const { sent, instance } = fleet();
    instance('entry').announcements.onResponse('r');
    expect(sent).toEqual(['entry to owner', 'owner to coordinator']);
    expect(MEMBERS.map(({ instanceId }) => instance(instanceId).view.isUsable('r'))).toEqual([
      false,
      false,
      false,
    ]);
  });

  it('tells nobody again of what all have been told', () => {
    const { sent, instance } = fleet();
    instance('entry').announcements.onResponse('r');
    const before = sent.length;
    instance('entry').announcements.onResponse('r');
    instance('owner').announcements.onResponse('r');
    expect(sent.length).toBe(before);
  });

  it('tells an owner that has granted a slot there, since it may be a new one', () => {
    const { sent, instance } = fleet();
    instance('entry').announcements.onResponse('r');
    sent.length = 0;
    instance('entry').announcements.onUnusableSlot('r');
    expect(sent).toEqual(['entry to owner']);
  });

  it('tells nobody of a slot at a replica that only its entry lists as leaving', () => {
    const { sent, instance } = fleet();
    instance('entry').announcements.onUnusableSlot('r');
    expect(sent).toEqual([]);
  });
});

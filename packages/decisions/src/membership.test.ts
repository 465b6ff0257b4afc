import { describe, expect, it } from 'vitest';

import type { MemberUpdate } from './membership.js';
import { Membership } from './membership.js';
import { rankMembers } from './rendezvous.js';

function member(id: string, changes: Partial<MemberUpdate> = {}): MemberUpdate {
  return { instanceId: id, failureDomain: 'd', peerAddress: id, state: 'alive', incarnation: 1, ...changes };
}

function membership(): Membership {
  return new Membership(member('self'), 1_000, () => 0.5);
}

describe('Membership', () => {
  it('declares a suspect dead only after the suspicion time', () => {
    const members = membership();
    members.merge([member('a')], 0);
    members.suspect('a', 0);
    members.run(999);
    expect(members.get('a')?.state).toBe('suspect');
    members.run(1_000);
    expect(members.get('a')?.state).toBe('dead');
  });

  it('lets a suspect refute the suspicion with a higher incarnation', () => {
    const members = membership();
    members.merge([member('a')], 0);
    members.suspect('a', 0);
    members.merge([member('a', { incarnation: 1 })], 1);
    expect(members.get('a')?.state).toBe('suspect');
    members.merge([member('a', { incarnation: 2 })], 2);
    expect(members.get('a')?.state).toBe('alive');
  });

  it('refutes a report of its own death with a higher incarnation', () => {
    const members = membership();
    members.merge([member('self', { state: 'dead', incarnation: 4 })], 0);
    expect(members.get('self')).toMatchObject({ state: 'alive', incarnation: 5 });
  });

  it('removes a leaving member from the owners at once', () => {
    const members = membership();
    members.merge([member('a')], 0);
    members.merge([member('a', { state: 'leaving', incarnation: 2 })], 1);
    expect(members.owners().map((owner) => owner.instanceId)).toEqual(['self']);
  });

  it('declares a member dead when another one responds at its address', () => {
    const members = membership();
    members.merge([member('a', { peerAddress: 'x:1' }), member('b')], 0);
    members.recordAnswer(member('a2', { peerAddress: 'x:1' }), 1);
    expect(members.get('a')?.state).toBe('dead');
    expect(
      members
        .owners()
        .map((owner) => owner.instanceId)
        .sort(),
    ).toEqual(['a2', 'b', 'self']);
  });

  it('probes its neighbours on the ring only, each once in a round', () => {
    const members = membership();
    members.merge(
      Array.from({ length: 63 }, (_, index) => member(`m${String(index)}`)),
      0,
    );
    const round = Array.from({ length: 6 }, () => members.nextProbe()?.instanceId);
    expect(new Set(round)).toEqual(new Set(members.neighbours().map(({ instanceId }) => instanceId)));
    expect(new Set(round).size).toBe(6);
  });

  it('probes members next that a peer counts as live and this instance as dead, or the reverse', () => {
    const members = membership();
    members.merge([member('gone'), member('back', { state: 'dead' }), member('both')], 0);
    members.mergeSnapshot([member('back'), member('both')], 1);
    const probed = [members.nextProbe()?.instanceId, members.nextProbe()?.instanceId];
    expect(probed.sort()).toEqual(['back', 'gone']);
  });

  it('ignores an alive update of an older incarnation for a leaving member', () => {
    const members = membership();
    members.merge([member('a', { state: 'leaving', incarnation: 2 })], 0);
    members.merge([member('a')], 1);
    expect(members.get('a')?.state).toBe('leaving');
  });
});

describe('rankMembers', () => {
  it('reassigns only the keys of the removed member', () => {
    const all = Array.from({ length: 9 }, (_, index) => `i${String(index)}`);
    const keys = Array.from({ length: 200 }, (_, index) => `k${String(index)}`);
    const without = all.slice(1);
    const moved = keys.filter((key) => rankMembers(key, all)[0] !== rankMembers(key, without)[0]);
    expect(moved.every((key) => rankMembers(key, all)[0] === 'i0')).toBe(true);
  });
});

import { describe, expect, it } from 'vitest';

import { MemberRing } from './member-ring.js';

const IDS = Array.from({ length: 195 }, (_, index) => `member-${String(index)}`);

function ringOf(selfId: string, ids: readonly string[] = IDS): MemberRing {
  const ring = new MemberRing(selfId);
  ring.setOthers(ids.filter((id) => id !== selfId));
  return ring;
}

describe('MemberRing', () => {
  it('makes each member a neighbour of as many others as it has neighbours', () => {
    const counts = new Map<string, number>();
    IDS.forEach((selfId) =>
      ringOf(selfId).neighbourIds.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1)),
    );
    expect(new Set(counts.values())).toEqual(new Set([8]));
  });

  it('reaches every member in as many steps as a member has neighbours', () => {
    const reached = new Set(['member-0']);
    for (let step = 0; step < 8; step += 1) {
      [...reached].flatMap((id) => ringOf(id).neighbourIds).forEach((id) => reached.add(id));
    }
    expect(reached.size).toBe(IDS.length);
  });

  it.each([0, 1, 2, 3, 4])(
    'has only existing neighbours, without this instance, beside %d others',
    (count) => {
      const others = IDS.slice(1, count + 1);
      const { neighbourIds } = ringOf('member-0', IDS.slice(0, count + 1));
      expect(neighbourIds.every((id) => others.includes(id))).toBe(true);
      expect(new Set(neighbourIds).size).toBe(Math.ceil(Math.log2(count + 1)));
    },
  );

  it('has the same digest of the same members at each of them, and another one without a member', () => {
    const digests = new Set(IDS.map((id) => ringOf(id, [...IDS].reverse()).setDigest));
    expect(digests.size).toBe(1);
    expect(digests).not.toContain(ringOf('member-0', IDS.slice(0, -1)).setDigest);
  });
});

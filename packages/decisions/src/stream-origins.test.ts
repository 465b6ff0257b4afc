import { describe, expect, it } from 'vitest';

import { MAX_KEPT_ORIGINS, StreamOrigins, canContinue, keepersOf, membersToAsk } from './stream-origins.js';

const ORIGIN = { service: 's', softwareVersion: 'v1' };
const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f'].map((instanceId) => ({
  instanceId,
  peerAddress: `${instanceId}:1`,
  schedules: true,
}));

describe('StreamOrigins', () => {
  it('forgets an origin when its caller no longer waits', () => {
    const origins = new StreamOrigins();
    origins.add('q1', ORIGIN, 5_000);
    expect(origins.find('q1', 4_999)).toEqual(ORIGIN);
    expect(origins.find('q1', 5_000)).toBeUndefined();
    origins.run(5_000);
    expect(origins.size).toBe(0);
  });

  it('drops the oldest origins of a load that exceeds its limit', () => {
    const origins = new StreamOrigins();
    Array.from({ length: MAX_KEPT_ORIGINS + 10 }, (_, index) =>
      origins.add(`q${String(index)}`, ORIGIN, 5_000),
    );
    expect(origins.size).toBe(MAX_KEPT_ORIGINS);
    expect(origins.find('q9', 0)).toBeUndefined();
    expect(origins.find('q10', 0)).toEqual(ORIGIN);
  });
});

describe('keepersOf', () => {
  const requestIds = Array.from({ length: 200 }, (_, index) => `q${String(index)}`);

  it('leaves a keeper among the members that are asked when a keeper is replaced', () => {
    requestIds.forEach((requestId) => {
      const keepers = keepersOf(requestId, MEMBERS);
      const after = MEMBERS.map((member) =>
        member.instanceId === keepers[0] ? { ...member, instanceId: 'new', peerAddress: 'new:1' } : member,
      );
      expect(membersToAsk(requestId, after)).toContain(keepers[1]);
    });
  });

  it('are the processes at the same addresses after all members have restarted', () => {
    const restarted = MEMBERS.map((member) => ({ ...member, instanceId: `${member.instanceId}2` }));
    requestIds.forEach((requestId) =>
      expect(keepersOf(requestId, restarted)).toEqual(keepersOf(requestId, MEMBERS).map((id) => `${id}2`)),
    );
  });

  it('spreads the streams over all coordinators and uses no other members', () => {
    const entries = [{ instanceId: 'entry', peerAddress: 'entry:1', schedules: false }];
    const keepers = new Set(
      requestIds.flatMap((requestId) => keepersOf(requestId, [...MEMBERS, ...entries])),
    );
    expect([...keepers].sort()).toEqual(MEMBERS.map((member) => member.instanceId));
    expect(keepersOf('q1', entries)).toEqual(['entry']);
  });
});

describe('canContinue', () => {
  it('requires the same service and the same software version', () => {
    const began = { service: 's', softwareVersion: 'v1' };
    expect(canContinue(began, { ...began })).toBe(true);
    expect(canContinue(began, { ...began, softwareVersion: 'v2' })).toBe(false);
    expect(canContinue(began, { ...began, service: 't' })).toBe(false);
  });
});

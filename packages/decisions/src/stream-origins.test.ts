import { describe, expect, it } from 'vitest';

import { MAX_KEPT_ORIGINS, StreamOrigins, canContinue, keepersOf, membersToAsk } from './stream-origins.js';

const ORIGIN = { service: 's', softwareVersion: 'v1' };
const STREAM = { requestId: 'q1', requestDigest: 'd1', origin: ORIGIN };
const NAMED = { requestId: 'q1', requestDigest: 'd1' };
const UNNAMED = { requestDigest: 'd1' };
const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f'].map((instanceId) => ({
  instanceId,
  peerAddress: `${instanceId}:1`,
  schedules: true,
}));

describe('StreamOrigins', () => {
  it('forgets an origin when its caller no longer waits', () => {
    const origins = new StreamOrigins();
    origins.add(STREAM, 5_000, 0);
    expect(origins.find(NAMED, 4_999).origin).toEqual(ORIGIN);
    expect(origins.find(UNNAMED, 4_999).origin).toEqual(ORIGIN);
    expect(origins.find(NAMED, 5_000).origin).toBeUndefined();
    expect(origins.find(UNNAMED, 5_000).origin).toBeUndefined();
    origins.run(5_000);
    expect(origins.size).toBe(0);
  });

  it('does not guess which of several streams of one request is resumed while they began at different versions', () => {
    const origins = new StreamOrigins();
    const other = { ...STREAM, requestId: 'q2', origin: { ...ORIGIN, softwareVersion: 'v2' } };
    origins.add(STREAM, 5_000, 0);
    origins.add(other, 3_000, 0);
    origins.add({ ...STREAM, requestId: 'q3' }, 4_000, 0);
    expect(origins.find(UNNAMED, 4_999)).toMatchObject({ origin: undefined, isAmbiguous: true });
    expect(origins.find(NAMED, 4_999).origin).toEqual(ORIGIN);
    origins.add(other, 9_000, 5_000);
    expect(origins.find(UNNAMED, 5_000).origin).toEqual(other.origin);
  });

  it('finds a stream by its request that began again at the same version', () => {
    const origins = new StreamOrigins();
    origins.add(STREAM, 5_000, 0);
    origins.add({ ...STREAM, requestId: 'q2' }, 6_000, 0);
    expect(origins.find(UNNAMED, 5_500).origin).toEqual(ORIGIN);
  });

  it('drops the oldest origins of a load that exceeds its limit', () => {
    const origins = new StreamOrigins();
    Array.from({ length: MAX_KEPT_ORIGINS + 10 }, (_, index) =>
      origins.add({ ...STREAM, requestId: `q${String(index)}` }, 5_000, 0),
    );
    expect(origins.size).toBe(MAX_KEPT_ORIGINS);
    expect(origins.find({ ...NAMED, requestId: 'q9' }, 0).origin).toBeUndefined();
    expect(origins.find({ ...NAMED, requestId: 'q10' }, 0).origin).toEqual(ORIGIN);
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

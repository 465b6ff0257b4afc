import { describe, expect, it } from 'vitest';

import { PoolSpeed, ReplicaSpeed } from './replica-speed.js';

const SLOTS = 8;

function poolAt(betweenEventsMs: number): PoolSpeed {
  const pool = new PoolSpeed();
  pool.replace(undefined, betweenEventsMs);
  return pool;
}

describe('ReplicaSpeed', () => {
  it('counts a slow replica as fuller and a fast one as emptier', () => {
    const slow = new ReplicaSpeed();
    const fast = new ReplicaSpeed();
    slow.observe(80, 0);
    fast.observe(20, 0);
    expect(slow.extraStreams(poolAt(40), SLOTS, 1)).toBe(4);
    expect(fast.extraStreams(poolAt(40), SLOTS, 1)).toBe(-2);
  });

  it('takes no account of small differences, and bounds large ones', () => {
    const replica = new ReplicaSpeed();
    replica.observe(48, 0);
    expect(replica.extraStreams(poolAt(40), SLOTS, 1)).toBe(0);
    const stuck = new ReplicaSpeed();
    stuck.observe(4_000, 0);
    expect(stuck.extraStreams(poolAt(40), SLOTS, 1)).toBe(SLOTS);
  });

  it('tries a slow replica again when nothing has run there for a while', () => {
    const replica = new ReplicaSpeed();
    replica.observe(400, 0);
    expect(replica.extraStreams(poolAt(40), SLOTS, 3_999)).toBeGreaterThan(0);
    expect(replica.extraStreams(poolAt(40), SLOTS, 4_000)).toBe(0);
  });

  it('is not thrown off by single streams when the speed changes many times a second', () => {
    const replica = new ReplicaSpeed();
    Array.from({ length: 50 }, (_, index) => replica.observe(index % 2 === 0 ? 20 : 60, index * 20));
    expect(replica.extraStreams(poolAt(40), SLOTS, 1_001)).toBe(0);
  });
});

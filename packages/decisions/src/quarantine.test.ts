import { describe, expect, it } from 'vitest';

import type { SlotRequest, PoolReplica } from './pool-types.js';
import { Quarantine } from './quarantine.js';

const REPLICAS = ['r0', 'r1'].map((replicaId) => ({ replicaId }) as PoolReplica);
const SUSPECT = { requestId: 'q', holder: 'h' } as SlotRequest;

describe('Quarantine', () => {
  it('waits until the least loaded replica is empty and then runs the suspect alone', () => {
    const quarantine = new Quarantine();
    const streams: Record<string, number> = { r0: 3, r1: 1 };
    const inFlight = (id: string): number => streams[id] ?? 0;
    quarantine.push(SUSPECT);
    expect(quarantine.step(REPLICAS, inFlight, 0)).toEqual({ replica: REPLICAS[1] });
    expect(quarantine.replicaId).toBe('r1');
    expect(quarantine.step(REPLICAS, inFlight, 1)).toBeUndefined();
    streams.r1 = 0;
    expect(quarantine.step(REPLICAS, inFlight, 2)?.grant).toBe(SUSPECT);
    quarantine.onRelease('q');
    expect(quarantine.replicaId).toBeUndefined();
  });

  it('never isolates the only replica', () => {
    const quarantine = new Quarantine();
    quarantine.push(SUSPECT);
    expect(quarantine.step(REPLICAS.slice(0, 1), () => 0, 0)).toBeUndefined();
  });

  it('ends the isolation of the replica when the suspect is withdrawn', () => {
    const quarantine = new Quarantine();
    quarantine.push(SUSPECT);
    quarantine.step(REPLICAS, () => 1, 0);
    quarantine.remove('q');
    expect(quarantine.replicaId).toBeUndefined();
    expect(quarantine.size).toBe(0);
  });
});

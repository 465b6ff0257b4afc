import type { ReplicaRecord } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { ReplicaDirectory } from './replica-directory.js';

function replica(replicaId: string, leaving = false): ReplicaRecord {
  return { replicaId, service: 's', address: `${replicaId}:1`, failureDomain: 'd', slots: 8, leaving };
}

function idsOf(directory: ReplicaDirectory): string[] {
  return directory.snapshot.replicas.map((entry) => entry.replicaId);
}

describe('ReplicaDirectory', () => {
  it('takes a replica that is missing from a reading as gone', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    directory.apply({ revision: 2, replicas: [replica('a')] }, 500);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('holds replicas whose entries lapsed in an outage, and drops them when they do not come back', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    directory.onReadFailed(3_000);
    directory.apply({ revision: 9, replicas: [replica('a')] }, 4_000);
    expect(idsOf(directory)).toEqual(['a', 'b']);
    directory.apply({ revision: 9, replicas: [replica('a')] }, 5_000);
    directory.apply({ revision: 9, replicas: [replica('a')] }, 6_000);
    directory.apply({ revision: 9, replicas: [replica('a')] }, 7_000);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('does not bring back replicas that left while another instance did the reading', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    directory.adopt({ revision: 7, replicas: [replica('a')] }, 20_000);
    directory.apply({ revision: 8, replicas: [replica('a')] }, 21_200);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('does not hold a replica that was leaving, nor one whose address another has', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a', true), replica('b')] }, 0);
    directory.apply({ revision: 2, replicas: [{ ...replica('c'), address: 'b:1' }] }, 9_000);
    expect(idsOf(directory)).toEqual(['c']);
  });

  it('ignores a reading that is older than the last one', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 5, replicas: [replica('a', true)] }, 0);
    directory.apply({ revision: 4, replicas: [replica('a')] }, 100);
    directory.adopt({ revision: 4, replicas: [replica('a')] }, 100);
    expect(directory.snapshot).toEqual({ revision: 5, replicas: [replica('a', true)] });
  });
});

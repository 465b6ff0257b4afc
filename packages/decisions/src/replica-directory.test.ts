import type { ReplicaRecord } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { ReplicaDirectory } from './replica-directory.js';

function replica(replicaId: string, leaving = false): ReplicaRecord {
  const address = `${replicaId}:1`;
  return { replicaId, service: 's', address, failureDomain: 'd', softwareVersion: 'v1', slots: 8, leaving };
}

function idsOf(directory: ReplicaDirectory): string[] {
  return directory.snapshot.replicas.map((entry) => entry.replicaId);
}

describe('ReplicaDirectory', () => {
  it('removes a replica that is missing from a read', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    directory.apply({ revision: 2, replicas: [replica('a')] }, 500);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('keeps replicas whose records expired in an outage, and removes them when they do not register again', () => {
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

  it('does not restore replicas that ended while another instance read the store', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    directory.applyFromPeer({ revision: 7, replicas: [replica('a')] }, 20_000);
    directory.apply({ revision: 8, replicas: [replica('a')] }, 21_200);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('does not keep replicas that ended while only this instance could not read the store', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a'), replica('b')] }, 0);
    [1_500, 3_000, 4_500].forEach((nowMs) => {
      directory.applyFromPeer({ revision: nowMs, replicas: [replica('a'), replica('b')] }, nowMs - 500);
      directory.onReadFailed(nowMs);
    });
    directory.apply({ revision: 5_000, replicas: [replica('a')] }, 5_000);
    expect(idsOf(directory)).toEqual(['a']);
  });

  it('does not keep a leaving replica or one whose address another replica has taken', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 1, replicas: [replica('a', true), replica('b')] }, 0);
    directory.apply({ revision: 2, replicas: [{ ...replica('c'), address: 'b:1' }] }, 9_000);
    expect(idsOf(directory)).toEqual(['c']);
  });

  it('ignores a read that is older than the current snapshot', () => {
    const directory = new ReplicaDirectory();
    directory.apply({ revision: 5, replicas: [replica('a', true)] }, 0);
    directory.apply({ revision: 4, replicas: [replica('a')] }, 100);
    directory.applyFromPeer({ revision: 4, replicas: [replica('a')] }, 100);
    expect(directory.snapshot).toEqual({ revision: 5, replicas: [replica('a', true)] });
  });
});

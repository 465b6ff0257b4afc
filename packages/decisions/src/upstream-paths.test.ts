import { describe, expect, it } from 'vitest';

import { UpstreamPaths } from './upstream-paths.js';

const target = (replicaId: string) => ({ replicaId, address: `${replicaId}:1` });

/** Paths that were lost at time 0, of an instance whose requests others relay to replica `a`. */
function lostPaths(): UpstreamPaths {
  const paths = new UpstreamPaths();
  paths.onFailed(target('a'), 0);
  paths.onFailed(target('b'), 0);
  paths.onRelayed(target('a'), 10);
  return paths;
}

/** Times of the probes until `endMs`, each of which ends at once with the result that `connects` gives. */
function probeTimes(paths: UpstreamPaths, endMs: number, connects: (nowMs: number) => boolean): number[] {
  const times: number[] = [];
  for (let nowMs = 0; nowMs < endMs; nowMs += 10) {
    const probe = paths.takeProbe(nowMs);
    if (!probe) continue;
    times.push(nowMs);
    paths.onProbed(probe, connects(nowMs), nowMs);
  }
  return times;
}

describe('UpstreamPaths of an instance that is cut off from all replicas', () => {
  it('are lost after two replicas could not be reached in a row, and all requests are relayed', () => {
    const paths = new UpstreamPaths();
    paths.onConnected('a', 0);
    expect(paths.onFailed(target('a'), 500)).toBe(false);
    expect(paths.wayTo('b', 500)).toBe('direct');
    expect(paths.onFailed(target('b'), 1_000)).toBe(true);
    expect(['a', 'b', 'c'].map((id) => paths.wayTo(id, 1_000))).toEqual(['relayed', 'relayed', 'relayed']);
  });

  it('are lost once, however many attempts under way fail', () => {
    const paths = new UpstreamPaths();
    const lost = ['a', 'b', 'c', 'd', 'a', 'b'].map((id, index) => paths.onFailed(target(id), index));
    expect(lost).toEqual([false, true, false, false, false, false]);
  });

  it('are probed now and then, at replicas that others reach, and regained after two connections', () => {
    const paths = lostPaths();
    const times = probeTimes(paths, 3_000, (nowMs) => nowMs >= 2_000);
    expect(times.length).toBeLessThanOrEqual(8);
    expect(paths.areLost).toBe(false);
    expect(times.at(-1)).toBeLessThan(2_800);
    expect(paths.wayTo('b', 3_000)).toBe('direct');
    expect(probeTimes(paths, 20_000, () => true)).toEqual([]);
  });

  it('are not regained by one connection among failures', () => {
    const paths = lostPaths();
    let probes = 0;
    probeTimes(paths, 5_000, () => (probes += 1) % 2 === 0);
    expect(paths.areLost).toBe(true);
  });

  it('are probed less often each time that they are lost again soon', () => {
    const paths = lostPaths();
    const lossesMs: number[] = [];
    for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
      const probe = paths.takeProbe(nowMs);
      if (!probe || paths.onProbed(probe, true, nowMs) === undefined) continue;
      lossesMs.push(nowMs);
      ['a', 'b'].forEach((id) => paths.onFailed(target(id), nowMs + 1));
    }
    const gapsMs = lossesMs.slice(1).map((atMs, index) => atMs - (lossesMs[index] ?? 0));
    expect(Math.max(...gapsMs)).toBeGreaterThan(2_000);
  });

  it('are probed also while no other instance reaches a replica', () => {
    const paths = new UpstreamPaths();
    ['a', 'b'].forEach((id) => paths.onFailed(target(id), 0));
    expect(probeTimes(paths, 2_000, () => false).length).toBeGreaterThanOrEqual(3);
  });
});

describe('UpstreamPaths of an instance that reaches replicas', () => {
  it('are not lost when one replica has ended', () => {
    const paths = new UpstreamPaths();
    const lost = Array.from({ length: 10 }, (_, index) => {
      paths.onConnected('b', 100 * index);
      return paths.onFailed(target('a'), 100 * index + 50);
    });
    expect(lost).not.toContain(true);
  });

  it('are not lost when a failure domain has ended, as long as others are reached in between', () => {
    const paths = new UpstreamPaths();
    const lost = Array.from({ length: 30 }, (_, index) => {
      paths.onConnected('c', 100 * index);
      return paths.onFailed(target(index % 2 === 0 ? 'a' : 'b'), 100 * index + 50);
    });
    expect(lost).not.toContain(true);
  });

  it('relays to a replica that only others reach, and sends directly when a probe succeeds', () => {
    const paths = new UpstreamPaths();
    paths.onFailed(target('a'), 0);
    expect(paths.wayTo('a', 10)).toBe('direct');
    paths.onConnected('b', 10);
    paths.onFailed(target('a'), 500);
    paths.onConnected('b', 600);
    expect([paths.wayTo('a', 600), paths.wayTo('b', 600)]).toEqual(['relayed', 'direct']);
    paths.onRelayed(target('a'), 600);
    const times = probeTimes(paths, 3_000, (nowMs) => nowMs >= 2_000);
    expect(times.length).toBeGreaterThanOrEqual(1);
    expect(paths.wayTo('a', 3_000)).toBe('direct');
  });

  it('does not relay in vain to a replica that others do not reach either', () => {
    const paths = new UpstreamPaths();
    [0, 500].forEach((nowMs) => {
      paths.onFailed(target('a'), nowMs);
      paths.onConnected('b', nowMs + 10);
    });
    paths.onNotRelayed('a', 520);
    expect(paths.wayTo('a', 1_000)).toBe('direct');
  });

  it('forgets replicas that could not be reached long ago', () => {
    const paths = new UpstreamPaths();
    paths.onFailed(target('a'), 0);
    expect(paths.onFailed(target('b'), 20_000)).toBe(false);
    expect(paths.failedReplicaIds).toEqual(['b']);
  });
});

import type { ReplicaRecord, Route } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { OriginHistory } from './origin-history.js';

const ROUTE = { name: 'r', timeoutMs: 5_000, backends: [{ service: 's', weight: 1 }] } as unknown as Route;
const READ_PERIOD_MS = 500;

function replicas(...softwareVersions: string[]): ReplicaRecord[] {
  return softwareVersions.map((softwareVersion) => ({ service: 's', softwareVersion }) as ReplicaRecord);
}

function observe(history: OriginHistory, ms: number, versions: readonly string[], isOwnRead = false): void {
  history.observeReplicas(replicas(...versions), { monotonicMs: ms, unixMs: ms }, isOwnRead);
}

/** A history that was passed these versions each half second, in the given spans of seconds. */
function historyOf(...spans: readonly (readonly [fromS: number, toS: number, ...versions: string[]])[]) {
  const history = new OriginHistory();
  history.observeRoutes([ROUTE], 0);
  spans.forEach(([fromS, toS, ...versions]) => {
    for (let ms = fromS * 1_000; ms < toS * 1_000; ms += READ_PERIOD_MS) observe(history, ms, versions);
  });
  return history;
}

/** Where a stream began that is taken up at `arrivedAtMs`, after a reading of the store that finds these versions. */
function originAfterReading(history: OriginHistory, arrivedAtMs: number, ...versions: string[]) {
  observe(history, arrivedAtMs, versions, true);
  return history.soleOrigin(ROUTE, arrivedAtMs);
}

describe('OriginHistory', () => {
  it('knows the origin while one version has served for longer than streams live', () => {
    const origin = originAfterReading(historyOf([0, 10, 'v1']), 10_000, 'v1');
    expect(origin).toEqual({ service: 's', softwareVersion: 'v1' });
  });

  // Guards against streams that go on at an old version, at an instance that has not heard of the version at which they began.
  it('knows no origin from what it was told before the request arrived, when a version may have joined since', () => {
    const history = historyOf([0, 10, 'v1']);
    expect(history.soleOrigin(ROUTE, 10_000)).toBeUndefined();
    observe(history, 9_900, ['v1'], true);
    expect(history.soleOrigin(ROUTE, 10_000)).toBeUndefined();
    expect(originAfterReading(history, 10_100, 'v1', 'v2')).toBeUndefined();
  });

  it('does not take what was passed on late for a reading after the request', () => {
    const history = historyOf([0, 10, 'v1']);
    observe(history, 10_200, ['v1']);
    expect(history.soleOrigin(ROUTE, 10_100)).toBeUndefined();
  });

  it('knows no origin during a release, until streams of the version that left have ended', () => {
    const history = historyOf([0, 10, 'v1'], [10, 15, 'v1', 'v2'], [15, 30, 'v2']);
    expect(
      originAfterReading(historyOf([0, 10, 'v1'], [10, 11, 'v1', 'v2']), 11_000, 'v1', 'v2'),
    ).toBeUndefined();
    expect(originAfterReading(historyOf([0, 10, 'v1'], [10, 15, 'v2']), 15_000, 'v2')).toBeUndefined();
    expect(originAfterReading(history, 30_000, 'v2')).toEqual({ service: 's', softwareVersion: 'v2' });
  });

  it('knows no origin right after a start, a gap in the readings, or a time in which its machine was suspended', () => {
    expect(originAfterReading(historyOf([0, 5, 'v1']), 5_000, 'v1')).toBeUndefined();
    expect(originAfterReading(historyOf([0, 10, 'v1'], [13, 17, 'v1']), 17_000, 'v1')).toBeUndefined();
    const suspended = historyOf([0, 10, 'v1']);
    suspended.observeReplicas(replicas('v1'), { monotonicMs: 10_000, unixMs: 14_000 }, true);
    expect(suspended.soleOrigin(ROUTE, 10_000)).toBeUndefined();
  });

  it('knows no origin right after the route was led to another service, or with several services', () => {
    const history = historyOf([0, 20, 'v1']);
    const moved = { ...ROUTE, backends: [{ service: 't', weight: 1 }] };
    history.observeRoutes([moved], 15_000);
    history.observeRoutes([ROUTE], 16_000);
    expect(originAfterReading(history, 20_000, 'v1')).toBeUndefined();
    const split = { ...ROUTE, backends: [...ROUTE.backends, { service: 't', weight: 1 }] };
    expect(history.soleOrigin(split, 20_000)).toBeUndefined();
  });
});

import type { ReplicaRecord, Route } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { OriginHistory } from './origin-history.js';

const ROUTE = { name: 'r', timeoutMs: 5_000, backends: [{ service: 's', weight: 1 }] } as unknown as Route;
const READ_PERIOD_MS = 500;

function replicas(...softwareVersions: string[]): ReplicaRecord[] {
  return softwareVersions.map((softwareVersion) => ({ service: 's', softwareVersion }) as ReplicaRecord);
}

/** A history that has read these versions each half second, in the given spans of seconds. */
function historyOf(...spans: readonly (readonly [fromS: number, toS: number, ...versions: string[]])[]) {
  const history = new OriginHistory();
  history.observeRoutes([ROUTE], 0);
  spans.forEach(([fromS, toS, ...versions]) => {
    for (let ms = fromS * 1_000; ms < toS * 1_000; ms += READ_PERIOD_MS)
      history.observeReplicas(replicas(...versions), ms);
  });
  return history;
}

describe('OriginHistory', () => {
  it('knows the origin while one version has served for longer than streams live', () => {
    const history = historyOf([0, 10, 'v1']);
    expect(history.soleOrigin(ROUTE, 10_000)).toEqual({ service: 's', softwareVersion: 'v1' });
  });

  it('knows no origin during a release, until streams of the version that left have ended', () => {
    const history = historyOf([0, 10, 'v1'], [10, 15, 'v1', 'v2'], [15, 30, 'v2']);
    expect(historyOf([0, 10, 'v1'], [10, 11, 'v1', 'v2']).soleOrigin(ROUTE, 11_000)).toBeUndefined();
    expect(historyOf([0, 10, 'v1'], [10, 15, 'v2']).soleOrigin(ROUTE, 15_000)).toBeUndefined();
    expect(history.soleOrigin(ROUTE, 30_000)).toEqual({ service: 's', softwareVersion: 'v2' });
  });

  it('knows no origin right after a start or a gap in the readings, or by an old directory', () => {
    expect(historyOf([0, 5, 'v1']).soleOrigin(ROUTE, 5_000)).toBeUndefined();
    expect(historyOf([0, 10, 'v1'], [13, 17, 'v1']).soleOrigin(ROUTE, 17_000)).toBeUndefined();
    expect(historyOf([0, 10, 'v1']).soleOrigin(ROUTE, 12_000)).toBeUndefined();
  });

  it('knows no origin right after the route was led to another service, or with several services', () => {
    const history = historyOf([0, 20, 'v1']);
    const moved = { ...ROUTE, backends: [{ service: 't', weight: 1 }] };
    history.observeRoutes([moved], 15_000);
    history.observeRoutes([ROUTE], 16_000);
    expect(history.soleOrigin(ROUTE, 20_000)).toBeUndefined();
    const split = { ...ROUTE, backends: [...ROUTE.backends, { service: 't', weight: 1 }] };
    expect(history.soleOrigin(split, 20_000)).toBeUndefined();
  });
});

import { describe, expect, it } from 'vitest';

import { FleetView } from './fleet-view.js';

function replica(startedAtUnixMs: number) {
  return {
    replicaId: 'r',
    service: 's',
    address: 'r:1',
    failureDomain: 'd',
    softwareVersion: 'v1',
    slots: 8,
    leaving: false,
    startedAtUnixMs,
  };
}

describe('a replica that starts again under the same id', () => {
  it('takes requests although the process before it was leaving, and has no limit', () => {
    const view = new FleetView();
    view.applyDirectory({ revision: 1, replicas: [replica(100)] });
    view.announceLeaving('r', 0);
    view.requestLimits.observe('r', 3, 0, 0);
    expect(view.isUsable('r')).toBe(false);
    view.applyDirectory({ revision: 2, replicas: [{ ...replica(100), address: 'r:2' }] });
    expect(view.isUsable('r')).toBe(false);
    view.applyDirectory({ revision: 3, replicas: [replica(200)] });
    expect(view.isUsable('r')).toBe(true);
    expect(view.requestLimits.of('r')).toBeUndefined();
  });
});

import type { Route } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { FleetView } from './fleet-view.js';
import { RouteTable } from './route-table.js';

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'safe',
    backends: [{ service: 's', weight: 1 }],
    timeoutMs: 1_000,
    targetMs: 300,
    maxAttempts: 1,
    priority: 0,
    resumable: false,
  };
}

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function configuration(version: number, routes: readonly Route[]) {
  return { version, routes, services: [], limits: LIMITS };
}

describe('RouteTable', () => {
  const table = new RouteTable(
    configuration(1, [
      route('short', 'a.example', '/x/'),
      route('long', 'a.example', '/x/y/'),
      route('b', 'b.example', '/x/'),
    ]),
  );

  it('matches the longest path prefix among the routes of the host', () => {
    expect(table.match('a.example', '/x/y/z')?.name).toBe('long');
    expect(table.match('A.example:8080', '/x/z')?.name).toBe('short');
    expect(table.match('b.example', '/x/y/z')?.name).toBe('b');
  });

  it('matches no route for an unknown host or path', () => {
    expect(table.match('c.example', '/x/')).toBeUndefined();
    expect(table.match('a.example', '/x')).toBeUndefined();
  });
});

describe('FleetView', () => {
  it('never goes back to an older configuration or directory', () => {
    const view = new FleetView();
    expect(view.applyConfiguration(configuration(7, []))).toBe(true);
    expect(view.applyConfiguration(configuration(5, []))).toBe(false);
    expect(view.configurationVersion).toBe(7);
    const at = { address: 'r:1', failureDomain: 'd' };
    const replica = { replicaId: 'r', service: 's', ...at, softwareVersion: 'v1', slots: 8 };
    view.applyDirectory({ revision: 9, replicas: [{ ...replica, leaving: true }] });
    view.applyDirectory({ revision: 8, replicas: [{ ...replica, leaving: false }] });
    expect(view.isUsable('r')).toBe(false);
    expect(view.isUsable('unknown')).toBe(false);
  });

  it('does not use a replica again that announced that it is leaving, but another one at its address', () => {
    const view = new FleetView();
    const replica = { service: 's', address: 'r:1', failureDomain: 'd', softwareVersion: 'v1', slots: 8 };
    const old = { ...replica, replicaId: 'old', leaving: false };
    view.applyDirectory({ revision: 1, replicas: [old] });
    view.announceLeaving('old', 0);
    expect([view.isUsable('old'), view.serves(replica)]).toEqual([false, false]);
    view.applyDirectory({ revision: 2, replicas: [] });
    view.applyDirectory({ revision: 3, replicas: [old, { ...old, replicaId: 'new' }] });
    expect([view.isUsable('old'), view.isUsable('new'), view.serves(replica)]).toEqual([false, true, true]);
  });
});

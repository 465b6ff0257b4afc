import type { LineWriter, ReplicaRecord, RoutingConfiguration } from '@fighub/core';
import { DecisionLog, ManualClock, Metrics, fail, ok } from '@fighub/core';
import { StoreErrorKind } from '@fighub/outside';
import type { FleetViewBody, MembershipRunner, PeerNode } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import { BacklogView } from '../batch/backlog-view.js';
import type { FleetSource, RejectedEntry } from './fleet-source.js';
import { FleetView } from './fleet-view.js';
import { FleetViewUpdater } from './fleet-view-updater.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const SELF = { instanceId: 'self', failureDomain: 'd', peerAddress: 'a:1', state: 'alive', incarnation: 1 };

function configuration(version: number): RoutingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits };
}

function replica(replicaId: string, address = '10.0.0.1:80'): ReplicaRecord {
  return {
    replicaId,
    service: 's',
    address,
    failureDomain: 'd',
    softwareVersion: 'v1',
    slots: 8,
    leaving: false,
  };
}

function memberOf(instanceId: string) {
  return { instanceId, failureDomain: 'd', peerAddress: instanceId, schedules: true };
}

function setup(isRelay = false, memberIds: readonly string[] = [], selfId = 'self') {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const store: {
    isUp: boolean;
    isSilent?: boolean;
    current?: RoutingConfiguration;
    replicas?: ReplicaRecord[];
    rejected?: RejectedEntry[];
  } = { isUp: false };
  const newestReads: number[] = [];
  const directoryReads = { count: 0 };
  const source: FleetSource = {
    nextConfiguration: (revision) =>
      revision === 0 && store.isUp
        ? Promise.resolve(ok({ revision: 5, rejection: 'routes: expected array' }))
        : new Promise(() => undefined),
    currentConfiguration: () =>
      store.current
        ? Promise.resolve(ok({ revision: 5, configuration: store.current }))
        : new Promise(() => undefined),
    readDirectory: () => {
      directoryReads.count += 1;
      if (store.isSilent) return new Promise(() => undefined);
      return Promise.resolve(
        store.isUp
          ? ok({ revision: 1, replicas: store.replicas ?? [], rejected: store.rejected ?? [] })
          : fail({ kind: StoreErrorKind.unavailable, detail: 'down' }),
      );
    },
  };
  const handlers = new Map<string, (body: FleetViewBody) => void>();
  const pushes = { count: 0 };
  const node = {
    onNotice: (name: string, handler: (body: FleetViewBody) => void) => handlers.set(name, handler),
    onRequest: () => undefined,
    notifyAll: () => (pushes.count += 1),
    detach: (_name: string, task: Promise<unknown>) => void task,
  } as unknown as PeerNode;
  const view = new FleetView();
  const updater = new FleetViewUpdater(
    view,
    source,
    node,
    () =>
      ({ owners: () => memberIds.map(memberOf), membership: { version: 1 } }) as unknown as MembershipRunner,
    () => ({ ...SELF, instanceId: selfId }) as ReturnType<ConstructorParameters<typeof FleetViewUpdater>[4]>,
    isRelay,
    clock,
    metrics,
    new DecisionLog(DISCARDING_WRITER, clock, metrics),
    new BacklogView(clock),
    ({ monotonicMs }) => newestReads.push(monotonicMs),
  );
  const push = (ageMs: number, configurationVersion = 0, replicas: ReplicaRecord[] = []): void =>
    handlers.get('view.pushed')?.({
      configurationVersion,
      directory: { revision: 1, replicas },
      ageMs,
    });
  return { view, metrics, directoryReads, clock, updater, push, pushes, store, newestReads };
}

describe('FleetViewUpdater', () => {
  it('is cut off when neither a relay nor the store is reached', () => {
    const { clock, updater, push } = setup();
    expect(updater.isCutOff).toBe(false);
    push(100);
    clock.advance(999);
    expect(updater.isCutOff).toBe(false);
    clock.advance(1);
    expect(updater.isCutOff).toBe(true);
  });

  it('is not cut off while the store is down as long as relays push their views', () => {
    const { clock, updater, push } = setup();
    push(100);
    clock.advance(5_000);
    push(5_100);
    expect(updater.isCutOff).toBe(false);
  });

  it('is not cut off once it has read the store itself', async () => {
    const { clock, updater, push, store } = setup();
    push(100);
    clock.advance(1_500);
    store.isUp = true;
    updater.run(clock.monotonicMs());
    await Promise.resolve();
    await Promise.resolve();
    expect(updater.isCutOff).toBe(false);
  });

  it('tells when it began to read the newest configuration, whether or not that one is valid', async () => {
    const { clock, updater, store, newestReads } = setup();
    store.isUp = true;
    updater.run(clock.monotonicMs());
    const askedAtMs = clock.monotonicMs();
    clock.advance(70);
    await new Promise((resolve) => setImmediate(resolve));
    expect(newestReads).toEqual([askedAtMs]);
  });

  it('reads the directory on one relay while views are fresh, and on every relay once they are not', () => {
    const relays = ['a', 'b', 'c', 'd', 'e'];
    const updaters = relays.map((selfId) => setup(true, relays, selfId));
    updaters.forEach(({ push }) => push(100));
    expect(updaters.filter(({ updater }) => updater.reads)).toHaveLength(1);
    updaters.forEach(({ clock }) => clock.advance(1_001));
    expect(updaters.filter(({ updater }) => updater.reads)).toHaveLength(5);
  });

  it('passes a reading on once, although it arrives again through other relays', () => {
    const { clock, updater, push, pushes } = setup(true, ['self', 'b', 'c'], 'self');
    const passedOnAfter = (ageMs: number): number => {
      push(ageMs);
      updater.run(clock.monotonicMs());
      return pushes.count;
    };
    expect(passedOnAfter(100)).toBe(1);
    expect(passedOnAfter(99)).toBe(1);
    expect(passedOnAfter(98)).toBe(1);
    clock.advance(500);
    expect(passedOnAfter(100)).toBe(2);
  });

  it('refuses nothing for good while a newer version was named to it, until it has that version', () => {
    const { updater, push } = setup();
    push(100, 6);
    expect(updater.mayRefuseForGood).toBe(false);
    updater.applyConfigurationFrom(configuration(6), 'peer');
    expect(updater.mayRefuseForGood).toBe(true);
  });

  it('reads the store when a version that was named does not arrive, and forgets one that no longer exists', async () => {
    const { clock, updater, push, store } = setup();
    updater.applyConfigurationFrom(configuration(3), 'store');
    push(100, 6);
    store.current = configuration(3);
    clock.advance(900);
    push(100, 3);
    updater.run(clock.monotonicMs());
    await new Promise((resolve) => setImmediate(resolve));
    expect(updater.mayRefuseForGood).toBe(false);
    clock.advance(200);
    updater.run(clock.monotonicMs());
    await new Promise((resolve) => setImmediate(resolve));
    expect(updater.mayRefuseForGood).toBe(true);
  });

  it('refuses nothing for good while it is cut off', () => {
    const { clock, updater, push } = setup();
    push(100);
    expect(updater.mayRefuseForGood).toBe(true);
    clock.advance(1_000);
    expect(updater.mayRefuseForGood).toBe(false);
  });

  // Guards against replicas that a relay of an earlier release has not checked, on which sending throws.
  it('uses no replica that a relay passes on if no request can be sent to it', () => {
    const { view, push } = setup();
    push(100, 0, [
      replica('r1'),
      replica('z\u00e1loha \u010d. 1'),
      replica('r2', '10.0.0.1:70000'),
      replica(''),
    ]);
    expect(view.replicas.replicas.map(({ replicaId }) => replicaId)).toEqual(['r1']);
  });

  it('logs an entry that it rejects once, as long as the reason stays the same', async () => {
    const { clock, updater, store, metrics } = setup();
    const readOnce = async (): Promise<number> => {
      clock.advance(600);
      updater.run(clock.monotonicMs());
      await new Promise((resolve) => setImmediate(resolve));
      return metrics.value('decision_replica_entry_rejected');
    };
    store.isUp = true;
    store.rejected = [{ key: 'servers/a', reason: 'x' }];
    expect(await readOnce()).toBe(1);
    expect(await readOnce()).toBe(1);
    store.rejected = [{ key: 'servers/a', reason: 'y' }];
    expect(await readOnce()).toBe(2);
  });

  // Guards against a reading that was begun before a request, and may lack what was registered since, counting as one after it.
  it('reads the directory for a request with a reading that is begun after it, once for all that wait', async () => {
    const { updater, store, directoryReads, clock } = setup();
    store.isUp = true;
    updater.run(clock.monotonicMs());
    expect(directoryReads.count).toBe(1);
    await Promise.all([updater.readDirectoryNow(1_000), updater.readDirectoryNow(1_000)]);
    expect(directoryReads.count).toBe(2);
  });

  it('keeps no request waiting for a store that does not respond', async () => {
    const { updater, store } = setup();
    store.isSilent = true;
    await updater.readDirectoryNow(20);
    expect(updater.ageMs).toBe(Number.POSITIVE_INFINITY);
  });
});

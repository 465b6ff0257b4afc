import type { LineWriter } from '@fighub/core';
import { DecisionLog, Metrics, SystemClock, ok } from '@fighub/core';
import type { KeyChange } from '@fighub/outside';
import { MemoryKeyValueService, RecordStore } from '@fighub/outside';
import type { MembershipRunner, PeerNode, StoreCall } from '@fighub/peers';
import { describe, expect, it, vi } from 'vitest';

import { RelayedStore } from './relayed-store.js';

const DISCARDING_WRITER: LineWriter = { info: () => undefined, warn: () => undefined };
const SELF = 'entry';
const COORDINATOR = { instanceId: 'coordinator', peerAddress: 'a:1', schedules: true };

/** A path to the store on which writes take effect but no response ever arrives. */
class UnresponsiveStore extends MemoryKeyValueService {
  constructor(private readonly backing: MemoryKeyValueService) {
    super();
  }

  override get(): Promise<never> {
    return new Promise(() => undefined);
  }

  override async transact(changes: readonly KeyChange[]): Promise<never> {
    await this.backing.transact(changes);
    return this.get();
  }
}

function setup(direct: MemoryKeyValueService, store: MemoryKeyValueService) {
  const relayed: StoreCall[] = [];
  const errors: unknown[] = [];
  const node = {
    onRequest: () => undefined,
    detach: (_name: string, task: Promise<unknown>) =>
      void task.catch((error: unknown) => errors.push(error)),
    request: async (_address: string, _name: string, call: StoreCall) => {
      relayed.push(call);
      if (call.kind === 'get') return ok({ outcome: await store.get(call.key) });
      if (call.kind === 'list') return ok({ outcome: await store.list(call.prefix, call.limit) });
      return ok({ outcome: await store.transact(call.changes) });
    },
  } as unknown as PeerNode;
  const members = { owners: () => [COORDINATOR] } as unknown as MembershipRunner;
  const clock = new SystemClock();
  const metrics = new Metrics();
  const log = new DecisionLog(DISCARDING_WRITER, clock, metrics);
  const service = new RelayedStore(
    direct,
    () => SELF,
    () => members,
    node,
    clock,
    metrics,
    log,
    () => 0,
  );
  const options = { readsPerSecond: 1_000, writesPerSecond: 1_000, deadlineMs: 5_000 };
  return { records: new RecordStore(service, options, clock, metrics), relayed, errors, metrics };
}

describe('RelayedStore', () => {
  it('makes no relayed call while the direct path responds', async () => {
    const store = new MemoryKeyValueService();
    const { records, relayed } = setup(store, store);
    expect(await records.write('k', undefined, 1)).toMatchObject({ ok: true });
    expect(relayed).toEqual([]);
  });

  it('reads through a coordinator when the direct path does not respond', async () => {
    const store = new MemoryKeyValueService();
    await store.compareAndSwap('k', 0, JSON.stringify({ writeIds: [], value: 7 }));
    const { records, metrics } = setup(new UnresponsiveStore(store), store);
    expect(await records.read('k')).toMatchObject({ ok: true, value: { value: 7 } });
    expect(metrics.value('store_calls_hedged')).toBe(1);
  });

  it('recognises its own write when it was sent over both paths', async () => {
    const store = new MemoryKeyValueService();
    const { records } = setup(new UnresponsiveStore(store), store);
    const changes = [{ key: 'a', value: 1 }];
    expect(await records.transact(changes)).toMatchObject({ ok: true });
    expect(store.writtenKeys).toEqual(['a']);
  });

  it('uses the response of a coordinator when the direct path ends with an unexpected error after that', async () => {
    const store = new MemoryKeyValueService();
    await store.compareAndSwap('k', 0, JSON.stringify({ writeIds: [], value: 7 }));
    const unexpected = new TypeError('unexpected');
    let failDirectCall: () => void = () => undefined;
    const direct = new MemoryKeyValueService();
    direct.get = () => new Promise<never>((_, reject) => (failDirectCall = () => reject(unexpected)));
    const { records, errors } = setup(direct, store);
    expect(await records.read('k')).toMatchObject({ ok: true, value: { value: 7 } });
    failDirectCall();
    await vi.waitFor(() => expect(errors).toEqual([unexpected]));
  });

  it('reports the failure when both paths fail', async () => {
    const down = new MemoryKeyValueService();
    down.down = true;
    const { records, relayed } = setup(down, down);
    expect(await records.read('k')).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
    expect(relayed).toHaveLength(1);
  });

  it('tries the relayed path first after only the direct path has failed', async () => {
    const down = new MemoryKeyValueService();
    down.down = true;
    const { records, relayed, metrics } = setup(down, new MemoryKeyValueService());
    await records.read('k');
    await records.read('k');
    expect(relayed).toHaveLength(2);
    expect(metrics.value('store_calls_relayed')).toBe(1);
  });
});

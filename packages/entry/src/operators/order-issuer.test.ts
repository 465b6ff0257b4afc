import { UpstreamStates } from '@fighub/admission';
import { ManualClock, Metrics } from '@fighub/core';
import type { EngineOrder, EngineOrders } from '@fighub/outside';
import { MemoryKeyValueService, OrderEnd, RecordStore } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { OrderIssuer } from './order-issuer.js';
import { TableStore } from '../table/table-store.js';
import { reportedTasks } from '../testing/background-tasks.js';

class FakeOrders implements EngineOrders {
  readonly sent: EngineOrder[] = [];
  end: OrderEnd = OrderEnd.done;
  executedSequence = 0;

  send(_address: string, order: EngineOrder): Promise<{ end: OrderEnd; detail: string }> {
    this.sent.push(order);
    if (this.end === OrderEnd.done) this.executedSequence = order.sequence;
    return Promise.resolve({ end: this.end, detail: '' });
  }

  lastSequence(): Promise<number | undefined> {
    return Promise.resolve(this.executedSequence);
  }
}

async function setup(fencingChecked: boolean, replicas = 2) {
  const clock = new ManualClock();
  const options = { readsPerSecond: 10_000, writesPerSecond: 10_000, deadlineMs: 100 };
  const store = new RecordStore(new MemoryKeyValueService(), options, clock, new Metrics());
  const table = new TableStore(store, reportedTasks().tasks, new Metrics(), () => 0);
  for (let index = 0; index < replicas; index += 1) {
    const value = { serves: 'm', address: `http://r${String(index)}`, failureDomain: 'd', fencingChecked };
    await table.edit({ key: `upstream/r${String(index)}`, value, changedBy: '' });
  }
  const orders = new FakeOrders();
  const issuer = new OrderIssuer(store, orders, table, new UpstreamStates(clock), 60, clock, new Metrics());
  const issue = async () => {
    clock.advance(2_000);
    return issuer.issue('r0', 'load_model', 'v2', 'ops');
  };
  return { clock, orders, issuer, issue };
}

describe('OrderIssuer', () => {
  it('increases the sequence with each order to a replica', async () => {
    const { orders, issue } = await setup(false);
    await issue();
    await issue();
    expect(orders.sent.map((order) => order.sequence)).toEqual([1, 2]);
  });

  it('sends no further order to a replica without fencing checks while an earlier order may still arrive', async () => {
    const { orders, issue } = await setup(false);
    orders.end = OrderEnd.unknown;
    expect(await issue()).toMatchObject({ ok: false, error: { run: 'may_have_run' } });
    orders.end = OrderEnd.done;
    expect(await issue()).toMatchObject({ ok: false, error: { code: 'in_progress', run: 'not_run' } });
    expect(orders.sent).toHaveLength(1);
    orders.executedSequence = 1;
    expect((await issue()).ok).toBe(true);
  });

  it('sends the next order after an unconfirmed one to a replica that checks fencing numbers', async () => {
    const { orders, issue } = await setup(true);
    orders.end = OrderEnd.unknown;
    await issue();
    orders.end = OrderEnd.done;
    expect((await issue()).ok).toBe(true);
    expect(orders.sent.map((order) => order.sequence)).toEqual([1, 2]);
  });

  it('sends no order to the last replica of a pool', async () => {
    const { orders, issue } = await setup(false, 1);
    expect(await issue()).toMatchObject({ ok: false, error: { code: 'conflict' } });
    expect(orders.sent).toEqual([]);
  });

  it('limits the rate of loads from the weight store for the whole fleet', async () => {
    const { issuer, issue } = await setup(false);
    await issue();
    const second = await issuer.issue('r1', 'load_model', 'v2', 'ops');
    expect(second).toMatchObject({ ok: false, error: { code: 'limit_reached' } });
  });
});

/** Issues orders to engines, one at a time a replica, fenced by a number from the key-value service. */
import type { UpstreamStates } from '@fighub/admission';
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import { fail, mayHaveRun, notRun, ok } from '@fighub/core';
import type { EngineOrders, OrderKind, RecordStore, Versioned } from '@fighub/outside';
import { OrderEnd, StoreErrorKind } from '@fighub/outside';

import type { TableStore } from '../table/table-store.js';
import type { NamedUpstream } from '../table/table-view.js';

/** States of the last order of a replica. */
export const OrderState = { issued: 'issued', done: 'done', refused: 'refused' } as const;
export type OrderState = (typeof OrderState)[keyof typeof OrderState];

/** The last order of a replica. */
export interface OrderRecord {
  readonly upstreamId: string;
  readonly sequence: number;
  readonly kind: OrderKind;
  readonly argument: string;
  readonly state: OrderState;
  readonly issuedBy: string;
  readonly issuedAtUnixMs: number;
  readonly detail: string;
}

/** The fleet's next free moment at the weight store. */
interface WeightStoreSlot {
  readonly nextFreeUnixMs: number;
}

const WEIGHT_STORE_KEY = 'weight-store';

/**
 * The record is written as issued before the order is sent. While it is issued, no other order is sent to a
 * replica that does not check fencing numbers: a late order could otherwise undo a newer one. The replica's own
 * report settles it. A replica that checks the number refuses the late one itself, so it can be ordered again.
 */
export class OrderDesk {
  constructor(
    private readonly store: RecordStore,
    private readonly orders: EngineOrders,
    private readonly table: TableStore,
    private readonly upstreams: UpstreamStates,
    private readonly loadsPerMinute: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Issues one order and waits for its end. */
  async issue(
    upstreamId: string,
    kind: OrderKind,
    argument: string,
    by: string,
  ): Promise<Outcome<OrderRecord, Problem>> {
    const upstream = this.table.view.upstreams().find((candidate) => candidate.upstreamId === upstreamId);
    if (!upstream) return fail(notRun('unknown_row', `there is no upstream ${upstreamId}`));
    if (!this.canSpare(upstream))
      return fail(notRun('conflict', `the pool of ${upstreamId} cannot spare it`));
    const present = await this.store.read<OrderRecord>(orderKey(upstreamId));
    if (!present.ok) return fail(notRun('store_unavailable', present.error.detail, 1_000));
    const settled = await this.settle(upstream, present.value);
    if (!settled.ok) return settled;
    const slot = await this.takeWeightStoreSlot();
    if (!slot.ok) return slot;
    const record: OrderRecord = {
      upstreamId,
      sequence: (settled.value?.value.sequence ?? 0) + 1,
      kind,
      argument,
      state: OrderState.issued,
      issuedBy: by,
      issuedAtUnixMs: this.clock.nowUnixMs(),
      detail: '',
    };
    return this.send(upstream, settled.value, record);
  }

  /** The last order of a replica. */
  async last(upstreamId: string): Promise<Outcome<OrderRecord | undefined, Problem>> {
    const present = await this.store.read<OrderRecord>(orderKey(upstreamId));
    return present.ok
      ? ok(present.value?.value)
      : fail(notRun('store_unavailable', present.error.detail, 1_000));
  }

  /** A replica is never taken from a pool in which no other one takes work. */
  private canSpare(upstream: NamedUpstream): boolean {
    return this.table.view
      .upstreamsOf(upstream.serves)
      .filter((other) => other.failureDomain === upstream.failureDomain)
      .some(
        (other) => other.upstreamId !== upstream.upstreamId && !this.upstreams.isLeaving(other.upstreamId),
      );
  }

  /** Returns the record when another order may be issued on top of it. */
  private async settle(
    upstream: NamedUpstream,
    present: Versioned<OrderRecord> | undefined,
  ): Promise<Outcome<Versioned<OrderRecord> | undefined, Problem>> {
    if (present?.value.state !== OrderState.issued || upstream.fencingChecked) return ok(present);
    const carriedOut = await this.orders.lastSequence(upstream.address);
    if (carriedOut !== present.value.sequence) {
      const detail = `order ${String(present.value.sequence)} of ${upstream.upstreamId} may still be carried out`;
      return fail({ ...notRun('in_progress', detail, 5_000), present: present.value });
    }
    const done = await this.store.write(present.key, present, { ...present.value, state: OrderState.done });
    return done.ok ? ok(done.value) : fail(notRun('conflict', 'another order was issued'));
  }

  private async send(
    upstream: NamedUpstream,
    previous: Versioned<OrderRecord> | undefined,
    record: OrderRecord,
  ): Promise<Outcome<OrderRecord, Problem>> {
    const issued = await this.store.write(orderKey(upstream.upstreamId), previous, record);
    if (!issued.ok) {
      const isLost = issued.error.kind === StoreErrorKind.conflict;
      return fail(notRun(isLost ? 'conflict' : 'store_unavailable', issued.error.detail, 1_000));
    }
    this.metrics.count('orders_issued');
    const { sequence, kind, argument } = record;
    const sent = await this.orders.send(upstream.address, { sequence, kind, argument });
    if (sent.end === OrderEnd.unknown) {
      this.metrics.count('orders_unknown');
      return fail(mayHaveRun('outcome_unknown', `the order may be carried out: ${sent.detail}`));
    }
    const state = sent.end === OrderEnd.done ? OrderState.done : OrderState.refused;
    const ended = { ...record, state, detail: sent.detail };
    await this.store.write(orderKey(upstream.upstreamId), issued.value, ended);
    return ok(ended);
  }

  /** Reserves the fleet's next moment at the weight store. */
  private async takeWeightStoreSlot(): Promise<Outcome<void, Problem>> {
    const present = await this.store.read<WeightStoreSlot>(WEIGHT_STORE_KEY);
    if (!present.ok) return fail(notRun('store_unavailable', present.error.detail, 1_000));
    const nowUnixMs = this.clock.nowUnixMs();
    const waitMs = (present.value?.value.nextFreeUnixMs ?? 0) - nowUnixMs;
    if (waitMs > 0) return fail(notRun('limit_reached', 'the weight store is busy', waitMs));
    const next = { nextFreeUnixMs: nowUnixMs + 60_000 / this.loadsPerMinute };
    const taken = await this.store.write<WeightStoreSlot>(WEIGHT_STORE_KEY, present.value, next);
    return taken.ok ? ok(undefined) : fail(notRun('limit_reached', 'the weight store is busy', 1_000));
  }
}

function orderKey(upstreamId: string): string {
  return `orders/${upstreamId}`;
}

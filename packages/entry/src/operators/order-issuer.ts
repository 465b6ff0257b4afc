/** Issues orders to engines, one at a time for each replica, with fencing numbers from the key-value service. */
import type { UpstreamStates } from '@fighub/admission';
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import { fail, mayHaveRun, notRun, ok } from '@fighub/core';
import type { EngineOrders, OrderKind, RecordStore, Versioned } from '@fighub/outside';
import { OrderEnd, StoreErrorKind } from '@fighub/outside';

import type { TableStore } from '../table/table-store.js';
import type { NamedUpstream } from '../table/table-view.js';

/** States of the last order to a replica. */
export const OrderState = { issued: 'issued', done: 'done', refused: 'refused' } as const;
export type OrderState = (typeof OrderState)[keyof typeof OrderState];

/** The record of the last order to a replica. */
export interface OrderRecord {
  readonly upstreamId: string;
  /** Fencing number; it increases by one with each order to the replica. */
  readonly sequence: number;
  readonly kind: OrderKind;
  readonly argument: string;
  readonly state: OrderState;
  /** Organisation of the operator. */
  readonly issuedBy: string;
  readonly issuedAtUnixMs: number;
  /** The error of the replica, if the order was refused. */
  readonly detail: string;
}

/** State of the fleet-wide rate limit on loads from the weight store. */
interface WeightStoreReservation {
  /** No order is sent before this time. */
  readonly nextFreeUnixMs: number;
}

const WEIGHT_STORE_KEY = 'weight-store';

/**
 * Issues orders to replicas. The record of an order is written in the state `issued` before the order is sent. While
 * it is in this state, no other order is sent to a replica that does not check fencing numbers, since the earlier
 * order could arrive late and undo the newer one. The order counts as done once the replica reports that it has
 * executed it. A replica that checks fencing numbers refuses a late order itself, so the next order can be sent to it
 * at once.
 */
export class OrderIssuer {
  constructor(
    private readonly store: RecordStore,
    private readonly orders: EngineOrders,
    private readonly table: TableStore,
    private readonly upstreams: UpstreamStates,
    private readonly loadsPerMinute: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Issues one order and waits until it has ended. Fails with `conflict` when no other replica of the pool accepts
   * work or another order was issued at the same time, `in_progress` while an earlier order may still be executed,
   * `limit_reached` when the rate limit of the weight store is reached, and `outcome_unknown` when the replica did
   * not confirm the order.
   */
  async issue(
    upstreamId: string,
    kind: OrderKind,
    argument: string,
    issuedBy: string,
  ): Promise<Outcome<OrderRecord, Problem>> {
    const upstream = this.table.view.upstreams().find((candidate) => candidate.upstreamId === upstreamId);
    if (!upstream) return fail(notRun('unknown_row', `there is no upstream ${upstreamId}`));
    if (!this.hasOtherReplicaInPool(upstream))
      return fail(
        notRun(
          'conflict',
          `no other replica of the pool of ${upstreamId} accepts work; the order is not sent`,
        ),
      );
    const present = await this.store.read<OrderRecord>(orderKey(upstreamId));
    if (!present.ok) return fail(notRun('store_unavailable', present.error.detail, 1_000));
    const previous = await this.resolvePrevious(upstream, present.value);
    if (!previous.ok) return previous;
    const reserved = await this.reserveWeightStore();
    if (!reserved.ok) return reserved;
    const record: OrderRecord = {
      upstreamId,
      sequence: (previous.value?.value.sequence ?? 0) + 1,
      kind,
      argument,
      state: OrderState.issued,
      issuedBy,
      issuedAtUnixMs: this.clock.nowUnixMs(),
      detail: '',
    };
    return this.send(upstream, previous.value, record);
  }

  /** Returns the last order to a replica; undefined when there was none. */
  async last(upstreamId: string): Promise<Outcome<OrderRecord | undefined, Problem>> {
    const present = await this.store.read<OrderRecord>(orderKey(upstreamId));
    return present.ok
      ? ok(present.value?.value)
      : fail(notRun('store_unavailable', present.error.detail, 1_000));
  }

  /** Returns whether another replica of the pool accepts work, since an order must not leave the pool without any. */
  private hasOtherReplicaInPool(upstream: NamedUpstream): boolean {
    return this.table.view
      .upstreamsOf(upstream.serves)
      .filter((other) => other.failureDomain === upstream.failureDomain)
      .some(
        (other) => other.upstreamId !== upstream.upstreamId && !this.upstreams.isLeaving(other.upstreamId),
      );
  }

  /**
   * Returns the record of the previous order, if it has ended or the replica would refuse it as late. Records an issued
   * order as done when the replica reports that it has executed it, and fails with `in_progress` when it may still be
   * executed.
   */
  private async resolvePrevious(
    upstream: NamedUpstream,
    present: Versioned<OrderRecord> | undefined,
  ): Promise<Outcome<Versioned<OrderRecord> | undefined, Problem>> {
    if (present?.value.state !== OrderState.issued || upstream.fencingChecked) return ok(present);
    const executedSequence = await this.orders.lastSequence(upstream.address);
    if (executedSequence !== present.value.sequence) {
      const detail = `order ${String(present.value.sequence)} to ${upstream.upstreamId} may still be executed`;
      return fail({ ...notRun('in_progress', detail, 5_000), present: present.value });
    }
    const written = await this.store.write(present.key, present, {
      ...present.value,
      state: OrderState.done,
    });
    return written.ok ? ok(written.value) : fail(notRun('conflict', 'another order was issued'));
  }

  /** Records the order as issued, sends it, and records how it ended. */
  private async send(
    upstream: NamedUpstream,
    previous: Versioned<OrderRecord> | undefined,
    record: OrderRecord,
  ): Promise<Outcome<OrderRecord, Problem>> {
    const issued = await this.store.write(orderKey(upstream.upstreamId), previous, record);
    if (!issued.ok) {
      const isConflict = issued.error.kind === StoreErrorKind.conflict;
      return fail(notRun(isConflict ? 'conflict' : 'store_unavailable', issued.error.detail, 1_000));
    }
    this.metrics.count('orders_issued');
    const { sequence, kind, argument } = record;
    const sent = await this.orders.send(upstream.address, { sequence, kind, argument });
    if (sent.end === OrderEnd.unknown) {
      this.metrics.count('orders_unknown');
      return fail(
        mayHaveRun(
          'outcome_unknown',
          `the replica did not confirm the order, which may still be executed: ${sent.detail}`,
        ),
      );
    }
    const state = sent.end === OrderEnd.done ? OrderState.done : OrderState.refused;
    const ended = { ...record, state, detail: sent.detail };
    await this.store.write(orderKey(upstream.upstreamId), issued.value, ended);
    return ok(ended);
  }

  /** Reserves a load from the weight store within the rate limit of the fleet. Every kind of order counts as a load. */
  private async reserveWeightStore(): Promise<Outcome<void, Problem>> {
    const present = await this.store.read<WeightStoreReservation>(WEIGHT_STORE_KEY);
    if (!present.ok) return fail(notRun('store_unavailable', present.error.detail, 1_000));
    const nowUnixMs = this.clock.nowUnixMs();
    const waitMs = (present.value?.value.nextFreeUnixMs ?? 0) - nowUnixMs;
    if (waitMs > 0)
      return fail(
        notRun('limit_reached', 'the rate limit on loads from the weight store is reached', waitMs),
      );
    const next = { nextFreeUnixMs: nowUnixMs + 60_000 / this.loadsPerMinute };
    const reserved = await this.store.write<WeightStoreReservation>(WEIGHT_STORE_KEY, present.value, next);
    return reserved.ok
      ? ok(undefined)
      : fail(notRun('limit_reached', 'the rate limit on loads from the weight store is reached', 1_000));
  }
}

function orderKey(upstreamId: string): string {
  return `orders/${upstreamId}`;
}

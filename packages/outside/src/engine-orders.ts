/** Orders to engines: load a model, adapter or version, or change role. */
import got, { HTTPError } from 'got';

import { newConnectionsAgent } from './connection-pool.js';
import { isNotSent } from './not-sent.js';

/** Kinds of orders. */
export const OrderKind = {
  loadModel: 'load_model',
  unloadModel: 'unload_model',
  loadAdapter: 'load_adapter',
  changeRole: 'change_role',
} as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** An order as sent. */
export interface EngineOrder {
  /** Fencing number: an engine that checks it refuses orders below the highest it has seen. */
  readonly sequence: number;
  readonly kind: OrderKind;
  readonly argument: string;
}

/** How sending an order ended. */
export const OrderEnd = {
  done: 'done',
  /** The engine refused it, or nothing of it was sent. */
  refused: 'refused',
  /** The answer was lost: it may be carried out, now or later. */
  unknown: 'unknown',
} as const;
export type OrderEnd = (typeof OrderEnd)[keyof typeof OrderEnd];

/** Sends orders and reads what an engine has carried out. */
export interface EngineOrders {
  send(address: string, order: EngineOrder): Promise<{ end: OrderEnd; detail: string }>;
  /** Sequence of the last order that was carried out; undefined when there is no answer. */
  lastSequence(address: string): Promise<number | undefined>;
}

const ORDER_TIMEOUT_MS = 30_000;
const READ_TIMEOUT_MS = 1_000;

/** Orders over HTTP. */
export class HttpEngineOrders implements EngineOrders {
  private readonly agent;

  constructor(localAddress?: string) {
    this.agent = newConnectionsAgent(localAddress);
  }

  async send(address: string, order: EngineOrder): Promise<{ end: OrderEnd; detail: string }> {
    try {
      await got.post(`${address}/orders`, {
        json: order,
        agent: { http: this.agent },
        timeout: { request: ORDER_TIMEOUT_MS },
        retry: { limit: 0 },
      });
      return { end: OrderEnd.done, detail: '' };
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const isRefusal = error instanceof HTTPError && error.response.statusCode < 500;
      return { end: isRefusal || isNotSent(error) ? OrderEnd.refused : OrderEnd.unknown, detail };
    }
  }

  async lastSequence(address: string): Promise<number | undefined> {
    try {
      const answer = await got(`${address}/orders`, {
        agent: { http: this.agent },
        timeout: { request: READ_TIMEOUT_MS },
        retry: { limit: 0 },
      }).json<{ lastSequence: number }>();
      return answer.lastSequence;
    } catch {
      return undefined;
    }
  }
}

/** Orders, which are operators' commands to engines: load or unload a model, load an adapter, change the role. */
import got, { HTTPError } from 'got';

import { nonPersistentAgent } from './connection-pool.js';
import { isNotSent } from './not-sent.js';

/** Kinds of orders. */
export const OrderKind = {
  loadModel: 'load_model',
  unloadModel: 'unload_model',
  loadAdapter: 'load_adapter',
  changeRole: 'change_role',
} as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** An order as it is sent to an engine. */
export interface EngineOrder {
  /** Fencing number. An engine that checks it refuses an order below the highest number that it has received. */
  readonly sequence: number;
  readonly kind: OrderKind;
  readonly argument: string;
}

/** Result of sending an order. */
export const OrderEnd = {
  done: 'done',
  /** The engine refused the order, or nothing of it was sent. */
  refused: 'refused',
  /** No definite response was received: the engine may have executed the order, or may still do so. */
  unknown: 'unknown',
} as const;
export type OrderEnd = (typeof OrderEnd)[keyof typeof OrderEnd];

/** Sends orders to engines and reads which order an engine executed last. */
export interface EngineOrders {
  /** Sends an order to the engine at the base URL `address`. Never rejects; `detail` describes a failure. */
  send(address: string, order: EngineOrder): Promise<{ end: OrderEnd; detail: string }>;
  /** Returns the sequence of the last order that the engine executed; undefined when it does not respond. */
  lastSequence(address: string): Promise<number | undefined>;
}

const ORDER_TIMEOUT_MS = 30_000;
const READ_TIMEOUT_MS = 1_000;

/** Sends orders over HTTP. */
export class HttpEngineOrders implements EngineOrders {
  private readonly agent;

  constructor(localAddress?: string) {
    this.agent = nonPersistentAgent(localAddress);
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
      const response = await got(`${address}/orders`, {
        agent: { http: this.agent },
        timeout: { request: READ_TIMEOUT_MS },
        retry: { limit: 0 },
      }).json<{ lastSequence: number }>();
      return response.lastSequence;
    } catch {
      return undefined;
    }
  }
}

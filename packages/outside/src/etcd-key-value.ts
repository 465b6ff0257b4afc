/** Client of a key-value service that offers the JSON gateway of etcd v3. */
import type { Agent } from 'node:http';
import { StringDecoder } from 'node:string_decoder';

import type { Outcome } from '@fighub/core';
import { fail, ok } from '@fighub/core';
import got, { HTTPError, TimeoutError } from 'got';
import { z } from 'zod';

import { ResetReportingAgent } from './connection-reset.js';
import type { EtcdKeyValue, EtcdRangeResponse, EtcdRequestOp, EtcdTxnResponse } from './etcd-wire.js';
import { fromBase64, prefixEnd, toBase64 } from './etcd-wire.js';
import type {
  KeyChange,
  KeyValueEntry,
  KeyValueService,
  StoreError,
  WatchHandle,
  WatchListener,
} from './key-value-service.js';
import { StoreErrorKind } from './key-value-service.js';
import { parseJson } from './json.js';
import { isNotSent } from './not-sent.js';

/** Settings of the etcd client. */
export interface EtcdOptions {
  /** Base address, for example `http://127.0.0.1:2379`. */
  readonly address: string;
  /**
   * Timeout of one call, in milliseconds. For a watch it applies to connecting and to receiving the response headers,
   * but not to the stream of events.
   */
  readonly callTimeoutMs: number;
  /** Local address from which connections are made. */
  readonly localAddress?: string;
}

/** HTTP statuses with which the service refuses a call before the call takes effect. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429]);

/** `KeyValueService` over the JSON gateway of etcd v3. */
export class EtcdKeyValueService implements KeyValueService {
  private agent: Agent;

  constructor(private readonly options: EtcdOptions) {
    this.agent = this.newAgent();
  }

  async get(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>> {
    const outcome = await this.call<EtcdRangeResponse>('kv/range', { key: toBase64(key) }, false);
    return outcome.ok ? ok(outcome.value.kvs?.map(toEntry)[0]) : outcome;
  }

  async list(
    prefix: string,
    limit: number,
    afterKey?: string,
  ): Promise<Outcome<KeyValueEntry[], StoreError>> {
    const start = afterKey === undefined ? prefix : `${afterKey}\0`;
    const request = { key: toBase64(start), range_end: toBase64(prefixEnd(prefix)), limit };
    const outcome = await this.call<EtcdRangeResponse>('kv/range', request, false);
    return outcome.ok ? ok((outcome.value.kvs ?? []).map(toEntry)) : outcome;
  }

  async compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
  ): Promise<Outcome<number, StoreError>> {
    return this.transact([{ key, expectedRevision, value }]);
  }

  async compareAndDelete(key: string, expectedRevision: number): Promise<Outcome<void, StoreError>> {
    const outcome = await this.transact([{ key, expectedRevision }]);
    return outcome.ok ? ok(undefined) : outcome;
  }

  watch(prefix: string, listener: WatchListener): WatchHandle {
    const stream = got.stream.post(`${this.options.address}/v3/watch`, {
      json: { create_request: { key: toBase64(prefix), range_end: toBase64(prefixEnd(prefix)) } },
      retry: { limit: 0 },
      localAddress: this.options.localAddress,
      timeout: { connect: this.options.callTimeoutMs, response: this.options.callTimeoutMs },
    });
    const decoder = new StringDecoder('utf8');
    let buffered = '';
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      stream.destroy();
      listener.onEnd();
    };
    stream.on('data', (part: Buffer) => {
      buffered += decoder.write(part);
      const lines = buffered.split('\n');
      buffered = lines.pop() ?? '';
      const isWellFormed = lines
        .filter((line) => line.trim() !== '')
        .every((line) => !ended && emitEvents(line, listener));
      // The reader reads the keys again after the end of the watch.
      if (!isWellFormed) end();
    });
    stream.on('error', end);
    stream.on('end', end);
    stream.on('close', end);
    return {
      close: () => {
        ended = true;
        stream.destroy();
      },
    };
  }

  async transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>> {
    const request = {
      compare: changes.map(({ key, expectedRevision }) => ({
        key: toBase64(key),
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(expectedRevision),
      })),
      success: changes.filter((change) => !change.compareOnly).map(toOperation),
      failure: changes.map(({ key }) => ({ request_range: { key: toBase64(key) } })),
    };
    const outcome = await this.call<EtcdTxnResponse>('kv/txn', request, true);
    if (!outcome.ok) return outcome;
    if (outcome.value.succeeded) return ok(Number(outcome.value.header.revision));
    const presentEntries = (outcome.value.responses ?? []).flatMap((response) =>
      (response.response_range?.kvs ?? []).map(toEntry),
    );
    const detail = `not all keys are at their expected revision: ${changes.map((change) => change.key).join(', ')}`;
    return fail({ kind: StoreErrorKind.conflict, detail, present: presentEntries[0], presentEntries });
  }

  private async call<T>(path: string, json: object, writes: boolean): Promise<Outcome<T, StoreError>> {
    try {
      const response = await got.post(`${this.options.address}/v3/${path}`, {
        json,
        agent: { http: this.agent },
        retry: { limit: 0 },
        timeout: { request: this.options.callTimeoutMs },
      });
      return ok(JSON.parse(response.body) as T);
    } catch (error) {
      if (error instanceof TimeoutError) this.replaceAgent();
      return fail(toStoreError(error, writes));
    }
  }

  private newAgent(): Agent {
    return new ResetReportingAgent({
      keepAlive: true,
      maxSockets: 32,
      localAddress: this.options.localAddress,
    });
  }

  /**
   * Closes the idle connections, so that the next call opens a new one. A network device on the path may have dropped
   * the state of the old connections.
   */
  private replaceAgent(): void {
    const oldAgent = this.agent;
    this.agent = this.newAgent();
    Object.values(oldAgent.freeSockets).forEach((sockets) => sockets?.forEach((socket) => socket.destroy()));
  }
}

function toOperation({ key, value }: KeyChange): EtcdRequestOp {
  if (value === undefined) return { request_delete_range: { key: toBase64(key) } };
  return { request_put: { key: toBase64(key), value: toBase64(value) } };
}

const watchMessageSchema = z.object({
  result: z.object({
    events: z
      .array(
        z.object({
          type: z.string().optional(),
          kv: z.object({ key: z.string(), value: z.string().optional(), mod_revision: z.string() }),
        }),
      )
      .optional(),
  }),
});

/** Passes on the events of one line of a watch. Returns false when the line is malformed. */
function emitEvents(line: string, listener: WatchListener): boolean {
  const message = watchMessageSchema.safeParse(parseJson(line));
  if (!message.success) return false;
  (message.data.result.events ?? []).forEach((event) =>
    listener.onEvent({
      key: fromBase64(event.kv.key),
      value: event.type === 'DELETE' ? undefined : fromBase64(event.kv.value ?? ''),
      revision: Number(event.kv.mod_revision),
    }),
  );
  return true;
}

function toEntry(kv: EtcdKeyValue): KeyValueEntry {
  return { key: fromBase64(kv.key), value: fromBase64(kv.value ?? ''), revision: Number(kv.mod_revision) };
}

function toStoreError(error: unknown, writes: boolean): StoreError {
  const detail = error instanceof Error ? error.message : String(error);
  if (error instanceof HTTPError) {
    const status = error.response.statusCode;
    if (status === 413) return { kind: StoreErrorKind.tooLarge, detail };
    if (REFUSED_STATUSES.has(status) || !writes) return { kind: StoreErrorKind.unavailable, detail };
    return { kind: StoreErrorKind.unknown, detail };
  }
  return { kind: isNotSent(error) || !writes ? StoreErrorKind.unavailable : StoreErrorKind.unknown, detail };
}

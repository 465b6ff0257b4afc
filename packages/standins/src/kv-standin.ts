/** Stand-in for the key-value service: the JSON gateway of etcd v3 in memory, with rate limits and faults. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  EtcdKeyValue,
  EtcdRangeRequest,
  EtcdRangeResponse,
  EtcdRequestOp,
  EtcdTxnRequest,
  EtcdWatchMessage,
} from '@fighub/outside';
import { fromBase64, toBase64 } from '@fighub/outside';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';
import { RateLimit } from './rate-limit.js';

/** Settings of the key-value stand-in. */
export interface KvStandinOptions {
  readonly port: number;
  /** Delay before each call is processed. */
  readonly latencyMs: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Largest value that a write may contain, after base64 decoding. */
  readonly maxValueBytes: number;
}

/** Faults of the service, which can be changed through `/faults` while it runs. */
export interface KvFaults {
  /** All new calls to the service fail with status 503, while open watches stay open. */
  down: boolean;
  /** Delay that is added to `latencyMs`. */
  slowMs: number;
  /** Probability that the connection breaks after a transaction was executed and before its response. */
  loseAnswerProbability: number;
  /** Watches stay open, but their events are dropped for good. */
  silentWatches: boolean;
}

interface StoredValue {
  readonly value: string;
  readonly revision: number;
}

interface OpenWatch {
  readonly from: string;
  readonly to: string;
  readonly res: ServerResponse;
}

/**
 * Default settings. The rates and the largest value are the limits that the hosting platform states for its key-value
 * service.
 */
export const KV_DEFAULTS: KvStandinOptions = {
  port: 0,
  latencyMs: 5,
  writesPerSecond: 300,
  readsPerSecond: 2_000,
  maxValueBytes: 1_048_576,
};

/** Starts the key-value stand-in. Besides the API of the service, it serves `/faults` and `/stats`. */
export async function startKvStandin(options: KvStandinOptions): Promise<RunningServer> {
  const standin = new KvStandin(options);
  return serve(options.port, (req, res) => void standin.handle(req, res));
}

class KvStandin {
  private readonly data = new Map<string, StoredValue>();
  private sortedKeys: string[] | undefined;
  private revision = 1;
  private readonly watches = new Set<OpenWatch>();
  private readonly writes: RateLimit;
  private readonly reads: RateLimit;
  private readonly faults: KvFaults = {
    down: false,
    slowMs: 0,
    loseAnswerProbability: 0,
    silentWatches: false,
  };
  private answersLost = 0;
  private readonly writesByKind = new Map<string, number>();

  constructor(private readonly options: KvStandinOptions) {
    this.writes = new RateLimit(options.writesPerSecond);
    this.reads = new RateLimit(options.readsPerSecond);
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? '';
    if (path === '/faults') {
      Object.assign(this.faults, await readJsonBody<Partial<KvFaults>>(req));
      sendJsonBody(res, 200, this.faults);
      return;
    }
    if (path === '/stats') {
      sendJsonBody(res, 200, this.stats());
      return;
    }
    const body = await readJsonBody<unknown>(req);
    const delayMs = this.options.latencyMs + this.faults.slowMs;
    await new Promise((resolve) => setTimeout(resolve, delayMs));
    if (this.faults.down) sendJsonBody(res, 503, { error: 'unavailable' });
    else if (path === '/v3/kv/range') this.range(body as EtcdRangeRequest, res);
    else if (path === '/v3/kv/txn') this.transact(body as EtcdTxnRequest, res);
    else if (path === '/v3/watch') this.watch(body as { create_request: EtcdRangeRequest }, res);
    else sendJsonBody(res, 404, { error: 'not found' });
  }

  private stats(): Record<string, unknown> {
    return {
      keys: this.data.size,
      watches: this.watches.size,
      writes: this.writes.admitted,
      reads: this.reads.admitted,
      writesRefused: this.writes.refused,
      readsRefused: this.reads.refused,
      answersLost: this.answersLost,
      writesByKind: Object.fromEntries(this.writesByKind),
    };
  }

  private range(request: EtcdRangeRequest, res: ServerResponse): void {
    if (!this.reads.admit()) sendJsonBody(res, 429, { error: 'too many reads' });
    else sendJsonBody(res, 200, this.read(request));
  }

  private read(request: EtcdRangeRequest): EtcdRangeResponse {
    const from = fromBase64(request.key);
    if (request.range_end === undefined) {
      const stored = this.data.get(from);
      return stored ? { kvs: [toKv(from, stored)], count: '1' } : { count: '0' };
    }
    const to = fromBase64(request.range_end);
    const keys = this.keys().filter((key) => key >= from && key < to);
    const kvs = keys
      .slice(0, request.limit ?? keys.length)
      .map((key) => toKv(key, this.data.get(key) as StoredValue));
    return { kvs, count: String(keys.length) };
  }

  private transact(request: EtcdTxnRequest, res: ServerResponse): void {
    const tooLarge = request.success.some(
      (operation) => (operation.request_put?.value.length ?? 0) * 0.75 > this.options.maxValueBytes,
    );
    if (tooLarge) {
      sendJsonBody(res, 413, { error: 'the value is too large' });
      return;
    }
    if (!this.writes.admit()) {
      sendJsonBody(res, 429, { error: 'too many writes' });
      return;
    }
    const conditionsHold = request.compare.every(
      (compare) => String(this.data.get(fromBase64(compare.key))?.revision ?? 0) === compare.mod_revision,
    );
    const responses = (conditionsHold ? request.success : request.failure).map((operation) =>
      this.apply(operation),
    );
    if (Math.random() < this.faults.loseAnswerProbability) {
      this.answersLost += 1;
      res.destroy();
      return;
    }
    sendJsonBody(res, 200, {
      header: { revision: String(this.revision) },
      succeeded: conditionsHold,
      responses,
    });
  }

  private apply(operation: EtcdRequestOp): { response_range?: EtcdRangeResponse } {
    if (operation.request_range) return { response_range: this.read(operation.request_range) };
    if (operation.request_put) this.store(fromBase64(operation.request_put.key), operation.request_put.value);
    if (operation.request_delete_range) this.remove(fromBase64(operation.request_delete_range.key));
    return {};
  }

  private store(key: string, value: string): void {
    this.revision += 1;
    if (!this.data.has(key)) this.sortedKeys = undefined;
    this.data.set(key, { value, revision: this.revision });
    const kind = /^jobs\//.test(key) ? `jobs/${key.split('/')[2] ?? ''}` : (key.split('/')[0] ?? '');
    this.writesByKind.set(kind, (this.writesByKind.get(kind) ?? 0) + 1);
    this.notify(key, { value, revision: this.revision });
  }

  private remove(key: string): void {
    if (!this.data.delete(key)) return;
    this.revision += 1;
    this.sortedKeys = undefined;
    this.notify(key, undefined);
  }

  private notify(key: string, stored: StoredValue | undefined): void {
    if (this.faults.silentWatches) return;
    const kv = stored ? toKv(key, stored) : { key: toBase64(key), mod_revision: String(this.revision) };
    const message: EtcdWatchMessage = { result: { events: [{ type: stored ? 'PUT' : 'DELETE', kv }] } };
    [...this.watches]
      .filter((watch) => key >= watch.from && key < watch.to)
      .forEach((watch) => watch.res.write(`${JSON.stringify(message)}\n`));
  }

  private watch(request: { create_request: EtcdRangeRequest }, res: ServerResponse): void {
    const from = fromBase64(request.create_request.key);
    const to = request.create_request.range_end ? fromBase64(request.create_request.range_end) : `${from}\0`;
    const watch = { from, to, res };
    this.watches.add(watch);
    res.on('close', () => this.watches.delete(watch));
    res.writeHead(200, { 'Content-Type': 'application/json' });
    res.write(`${JSON.stringify({ result: { created: true } })}\n`);
  }

  private keys(): string[] {
    this.sortedKeys ??= [...this.data.keys()].sort();
    return this.sortedKeys;
  }
}

function toKv(key: string, stored: StoredValue): EtcdKeyValue {
  return { key: toBase64(key), value: stored.value, mod_revision: String(stored.revision) };
}

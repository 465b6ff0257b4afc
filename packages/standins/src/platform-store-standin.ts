/** Stand-in for the metadata store of the hosting platform, with faults that tests set while it runs. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Faults of the metadata store. */
export interface PlatformStoreFaults {
  /** All calls fail with status 503. */
  down: boolean;
  /** Calls get no response and have no effect. */
  silent: boolean;
  /** Calls from this IP address fail with status 503, as if the store refused one machine; empty for none. */
  refusedAddress: string;
  /** Number of following successful changes whose connection breaks before the response. */
  loseResponses: number;
  /**
   * If not 0, the connection of the next change breaks without a response, and the change is applied after this delay
   * if its conditions hold then. The change resets the value to 0.
   */
  applyDelayMs: number;
}

interface StoredItem {
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

interface Change {
  readonly expected?: readonly { key: string; revision: number }[];
  readonly setKeys?: readonly { key: string; value: string; lease?: number }[];
  readonly deleteKeys?: readonly string[];
}

interface HistoryEntry {
  readonly key: string;
  readonly revision: number;
  readonly item?: StoredItem;
}

/** Maximum number of items in the response to a range query. */
const MAX_PAGE_ITEMS = 500;

/** The metadata store. Tests run it in their own process, where they read and change its data and set its faults. */
export class PlatformStoreStandin {
  private readonly items = new Map<string, StoredItem>();
  private readonly history: HistoryEntry[] = [];
  private readonly changeListeners = new Set<() => void>();
  private readonly leases = new Map<number, NodeJS.Timeout>();
  private revision = 1;
  private nextLease = 1;
  private discardedUpToRevision = 0;
  /** Number of calls received, including failed ones. */
  calls = 0;
  /** Number of watches refused with status 410 because the history that they need was discarded. */
  watchesRefused = 0;
  readonly faults: PlatformStoreFaults = {
    down: false,
    silent: false,
    refusedAddress: '',
    loseResponses: 0,
    applyDelayMs: 0,
  };

  /** Starts the stand-in on a free port of 127.0.0.1. */
  static async start(): Promise<{ standin: PlatformStoreStandin; running: RunningServer }> {
    const standin = new PlatformStoreStandin();
    const running = await serve(0, (req, res) => void standin.handle(req, res));
    return { standin, running };
  }

  /** Writes a key as an operator or a replica does. A value that is not a string is encoded as JSON. */
  write(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.apply({ setKeys: [{ key, value: Buffer.from(text).toString('base64') }] });
  }

  remove(key: string): void {
    this.apply({ deleteKeys: [key] });
  }

  /** Discards the watch history: watches from before the current revision get status 410. */
  discardHistory(): void {
    this.discardedUpToRevision = this.revision;
  }

  /** Returns the value of a key as text, or undefined if the key does not exist. */
  read(key: string): string | undefined {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  /** Returns all keys with the prefix, sorted. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.calls += 1;
    if (this.faults.silent) return;
    const url = new URL(req.url ?? '', 'http://store');
    const body = req.method === 'POST' ? await readJsonBody<Change & { ttlMs?: number }>(req) : {};
    if (this.refuses(req)) {
      sendJsonBody(res, 503, {});
      return;
    }
    const call = url.pathname.replace('/api/', '');
    if (call === 'kv-key') this.sendItem(res, url.searchParams.get('key') ?? '');
    else if (call === 'kv-range') this.sendRange(res, url);
    else if (call === 'kv-watch') await this.sendEvents(req, res, url);
    else if (call === 'kv-txn') this.commitChange(res, body);
    else if (call === 'kv-lease') sendJsonBody(res, 200, this.grantLease(body.ttlMs ?? 1_000));
    else if (call.startsWith('kv-keep/')) this.renewLease(res, Number(call.split('/')[1]));
    else if (call.startsWith('kv-lease-end/')) {
      this.endLease(Number(call.split('/')[1]));
      sendJsonBody(res, 200, {});
    } else sendJsonBody(res, 404, {});
  }

  private sendItem(res: ServerResponse, key: string): void {
    const item = this.items.get(key);
    if (item) sendJsonBody(res, 200, { key, createdAt: 1, at: this.revision, ...item });
    else sendJsonBody(res, 404, {});
  }

  private sendRange(res: ServerResponse, url: URL): void {
    const after = url.searchParams.get('after') ?? '';
    const keys = this.keys(url.searchParams.get('prefix') ?? '').filter((key) => key > after);
    const items = keys.slice(0, MAX_PAGE_ITEMS).map((key) => ({ key, createdAt: 1, ...this.items.get(key) }));
    sendJsonBody(res, 200, { items, hasMore: keys.length > MAX_PAGE_ITEMS, at: this.revision });
  }

  private refuses(req: IncomingMessage): boolean {
    return this.faults.down || req.socket.remoteAddress === this.faults.refusedAddress;
  }

  private async sendEvents(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    if (after < this.discardedUpToRevision) {
      this.watchesRefused += 1;
      sendJsonBody(res, 410, {});
      return;
    }
    const found = (): HistoryEntry[] =>
      this.history.filter((entry) => entry.revision > after && entry.key.startsWith(prefix));
    if (found().length === 0) await this.waitForChange(Number(url.searchParams.get('waitMs')), prefix, after);
    // A watch that began before the fault is cut off by it.
    if (this.refuses(req)) {
      sendJsonBody(res, 503, {});
      return;
    }
    const events = found().map(({ key, revision, item }) =>
      item ? { key, createdAt: 1, ...item } : { key, revision, deleted: true },
    );
    sendJsonBody(res, 200, { events, at: this.revision });
  }

  private waitForChange(waitMs: number, prefix: string, after: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.changeListeners.delete(check);
        resolve();
      };
      const check = (): void => {
        const last = this.history[this.history.length - 1];
        if (last && last.revision > after && last.key.startsWith(prefix)) finish();
      };
      const timer = setTimeout(finish, waitMs);
      this.changeListeners.add(check);
    });
  }

  private commitChange(res: ServerResponse, change: Change): void {
    if (this.faults.applyDelayMs > 0) {
      setTimeout(() => this.conditionsHold(change) && this.apply(change), this.faults.applyDelayMs);
      this.faults.applyDelayMs = 0;
      res.destroy();
      return;
    }
    if (!this.conditionsHold(change)) {
      const items = (change.expected ?? []).map(({ key }) => ({
        key,
        value: '',
        revision: 0,
        ...this.items.get(key),
      }));
      sendJsonBody(res, 412, { items });
      return;
    }
    this.apply(change);
    if (this.faults.loseResponses > 0) {
      this.faults.loseResponses -= 1;
      res.destroy();
      return;
    }
    sendJsonBody(res, 200, { revision: this.revision });
  }

  private conditionsHold(change: Change): boolean {
    return (change.expected ?? []).every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
  }

  private apply(change: Change): void {
    this.revision += 1;
    const { revision } = this;
    (change.setKeys ?? []).forEach(({ key, value, lease = 0 }) => {
      const item = { value, revision, lease };
      this.items.set(key, item);
      this.history.push({ key, revision, item });
    });
    (change.deleteKeys ?? []).forEach((key) => {
      if (this.items.delete(key)) this.history.push({ key, revision });
    });
    [...this.changeListeners].forEach((check) => check());
  }

  private grantLease(ttlMs: number): { lease: number; ttlMs: number } {
    const lease = this.nextLease++;
    this.startLease(lease, ttlMs);
    return { lease, ttlMs };
  }

  private startLease(lease: number, ttlMs: number): void {
    clearTimeout(this.leases.get(lease));
    this.leases.set(
      lease,
      setTimeout(() => this.endLease(lease), ttlMs),
    );
  }

  private renewLease(res: ServerResponse, lease: number): void {
    if (!this.leases.has(lease)) {
      sendJsonBody(res, 404, {});
      return;
    }
    this.startLease(lease, RENEWED_LEASE_MS);
    sendJsonBody(res, 200, { ttlMs: RENEWED_LEASE_MS });
  }

  private endLease(lease: number): void {
    clearTimeout(this.leases.get(lease));
    this.leases.delete(lease);
    const keys = [...this.items].filter(([, item]) => item.lease === lease).map(([key]) => key);
    if (keys.length > 0) this.apply({ deleteKeys: keys });
  }
}

/** Time to live of a lease after each renewal, whatever time to live it was granted with. */
const RENEWED_LEASE_MS = 10_000;

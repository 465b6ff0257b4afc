/**
 * Binds servers to their addresses, which another process may hold for a while. Errors that a server reports after that, such as for
 * a connection that cannot be accepted, are logged and do not end the process. The servers are passed in.
 */
import type { Server } from 'node:net';

import VError from 'verror';

import type { HostPort } from './address.js';
import { sleep } from './clock.js';
import type { DecisionLog } from './decision-log.js';
import { LogCategory } from './decision-log.js';

/**
 * Time beyond the grace period for which a required address is waited for: a process before this one is killed at the end of its
 * grace period at the latest, and the system then frees its addresses.
 */
export const ADDRESS_WAIT_MARGIN_MS = 2_000;

/** Codes of errors that may end without any change of the settings. All others end the wait for a required address at once. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);
const REQUIRED_RETRY_MS = 100;
/** Delays between attempts at an optional address, which double from the first to the longest. */
const OPTIONAL_RETRY_MS = { first: 500, longest: 10_000 } as const;

/** Where a listener logs its events. */
export type ListenerLog = Pick<DecisionLog, 'record'>;

/** Binds one server to one address. */
export class Listener {
  private isAttempting = false;
  private isClosed = false;
  private hasReported = false;
  private retryTimer: NodeJS.Timeout | undefined;

  /** `name` says in the log what the server is for. */
  constructor(
    private readonly server: Server,
    private readonly address: HostPort,
    private readonly name: string,
    private readonly log: ListenerLog,
  ) {
    server.on('error', (error: NodeJS.ErrnoException) => this.onServerError(error));
  }

  /**
   * Binds an address that the process needs. While another process holds it, tries again until the monotonic time `untilMs`. Rejects
   * when the address cannot be bound.
   */
  async bind(untilMs: number): Promise<void> {
    const startedMs = performance.now();
    let error = await this.attempt();
    while (error && !this.isClosed && isPassing(error) && performance.now() < untilMs) {
      this.reportUnavailable(error, true);
      await sleep(REQUIRED_RETRY_MS);
      error = this.isClosed ? error : await this.attempt();
    }
    if (this.isClosed) return;
    if (!error) this.reportRegained();
    else throw this.failure(error, performance.now() - startedMs);
  }

  /**
   * Binds an address that the process does without. Resolves after the first attempt; while it cannot be bound, tries again until the
   * listener is closed.
   */
  async bindWhenFree(retryMs: number = OPTIONAL_RETRY_MS.first): Promise<void> {
    const error = await this.attempt();
    if (this.isClosed) return;
    if (!error) {
      this.reportRegained();
      return;
    }
    this.reportUnavailable(error, false);
    const nextRetryMs = Math.min(retryMs * 2, OPTIONAL_RETRY_MS.longest);
    this.retryTimer = setTimeout(() => void this.bindWhenFree(nextRetryMs), retryMs);
  }

  /** Stops listening, and trying to. Open connections stay. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.server.close();
  }

  /** Resolves with the error if the address cannot be bound, and without one if the server is closed meanwhile. */
  private attempt(): Promise<NodeJS.ErrnoException | undefined> {
    const { server, address } = this;
    this.isAttempting = true;
    return new Promise((resolve) => {
      const finish = (error?: NodeJS.ErrnoException): void => {
        this.isAttempting = false;
        server.off('error', finish);
        server.off('listening', onEnd);
        server.off('close', onEnd);
        resolve(error);
      };
      const onEnd = (): void => finish();
      server.once('error', finish);
      server.once('listening', onEnd);
      // A server that is closed while it begins to listen reports neither.
      server.once('close', onEnd);
      server.listen(address.port, address.host);
    });
  }

  private onServerError(error: NodeJS.ErrnoException): void {
    if (this.isAttempting) return;
    this.log.record(LogCategory.failure, 'listener_error', { ...this.fields(error), error: error.message });
  }

  /** Logs the first of several failures in a row. */
  private reportUnavailable(error: NodeJS.ErrnoException, required: boolean): void {
    if (this.hasReported) return;
    this.hasReported = true;
    this.log.record(LogCategory.state, 'listener_unavailable', { ...this.fields(error), required });
  }

  private reportRegained(): void {
    if (!this.hasReported) return;
    this.hasReported = false;
    this.log.record(LogCategory.state, 'listener_regained', this.fields());
  }

  private failure(error: NodeJS.ErrnoException, waitedMs: number): VError {
    const fields = { ...this.fields(error), waitedMs: Math.round(waitedMs) };
    return new VError(
      { name: 'ListenError', cause: error, info: fields },
      'the %s cannot listen on %s after %d ms',
      this.name,
      fields.address,
      fields.waitedMs,
    );
  }

  private fields(error?: NodeJS.ErrnoException) {
    const { host, port } = this.address;
    return { listener: this.name, address: `${host}:${String(port)}`, code: error?.code };
  }
}

function isPassing({ code }: NodeJS.ErrnoException): boolean {
  return code !== undefined && PASSING_CODES.has(code);
}

/** Starts an entry instance from its settings, and drains and stops it. */
import type { ManagedPart, MetricsSink } from '@fighub/core';
import {
  ADDRESS_WAIT_MARGIN_MS,
  LifeCycle,
  LogCategory,
  TickLoop,
  errorFields,
  isFatalError,
  newId,
  sleep,
} from '@fighub/core';
import type { Container } from 'inversify';
import type { Logger } from 'pino';

import { TableApi } from '../operators/table-api.js';
import { bindSelf, buildContainer } from './entry-container.js';
import { Authenticator } from '../ingress/http-helpers.js';
import { HttpServer } from '../ingress/http-server.js';
import { InstanceListPoller } from './instance-list-poller.js';
import { JobApi } from '../batch/job-api.js';
import { OrderApi } from '../operators/order-api.js';
import { OrganisationApi } from '../operators/organisation-api.js';
import type { EntrySettings } from '../settings.js';
import { EntryRole } from '../settings.js';
import { dumpState } from '../operators/state-dump.js';
import type { Crash } from './tokens.js';
import { Tokens } from './tokens.js';

/** Periods of the tick loop, with and without work in progress. */
const TICK_PERIODS = { busyMs: 10, idleMs: 50 } as const;
const DRAIN_POLL_PERIOD_MS = 20;
/**
 * Time for which a leaving instance still serves requests, so that peers and load balancers can notice. After the drain
 * it refuses late requests for the same time.
 */
const LEAVE_NOTICE_MS = 300;

/** A running instance. */
export interface EntryInstance {
  readonly instanceId: string;
  /** Base URL for callers and operators. */
  readonly httpAddress: string;
  /** Announced address for other instances, as host:port. */
  readonly peerAddress: string;
  /** The state of all components, for diagnosis. */
  dump(): Record<string, unknown>;
  /** Completes open requests and stops the instance. Repeated calls change nothing. */
  close(): Promise<void>;
  /**
   * Stops the instance without waiting for open requests and idempotency records any longer, but still waits for running items of batch
   * jobs that are not idempotent.
   */
  closeNow(): Promise<void>;
}

/**
 * Starts an instance, which accepts requests once the promise resolves. Ports that another process holds are waited for until a process
 * before this one must have ended. Rejects if a port cannot be opened or a component fails to start. Errors from which the process cannot safely continue go to `crash`.
 */
export async function startEntry(
  settings: EntrySettings,
  logger: Logger,
  crash: Crash,
  sink?: MetricsSink,
): Promise<EntryInstance> {
  const instanceId = newId(settings.instanceName);
  const container = buildContainer({ settings, instanceId, crash, logger, sink });
  return new EntryStarter(settings, instanceId, container, logger).start();
}

/** Starts the components in dependency order and registers their clean-up with the life cycle. */
class EntryStarter {
  private readonly lifeCycle = new LifeCycle();
  /** A process before this one has ended by then. */
  private readonly bindUntilMs: number;

  constructor(
    private readonly settings: EntrySettings,
    private readonly instanceId: string,
    private readonly container: Container,
    private readonly logger: Logger,
  ) {
    this.bindUntilMs = performance.now() + settings.drainLimitMs + ADDRESS_WAIT_MARGIN_MS;
  }

  async start(): Promise<EntryInstance> {
    const { settings, container, instanceId } = this;
    const peerAddress = await this.startPeers();
    await this.startMembership();
    await this.startIdempotencyRecords();
    await this.startSystems();
    const httpPort = await this.startGateway();
    this.logger.info({ instanceId, httpPort, peerAddress }, 'instance started');
    return {
      instanceId,
      httpAddress: `http://${settings.host}:${String(httpPort)}`,
      peerAddress,
      dump: () => dumpState(container),
      close: () => this.lifeCycle.close(),
      closeNow: () => this.lifeCycle.closeNow(),
    };
  }

  /** An unexpected error ends what it was thrown for; a violated invariant ends the process. */
  private onUnexpected(event: string, fields: Readonly<Record<string, unknown>>, error: unknown): void {
    if (isFatalError(error)) this.container.get(Tokens.crash)(error);
    else
      this.container.get(Tokens.log).record(LogCategory.failure, event, { ...fields, ...errorFields(error) });
  }

  private startPart(part: ManagedPart): Promise<void> {
    return this.lifeCycle.start(part);
  }

  private async startPeers(): Promise<string> {
    const { settings, container, instanceId } = this;
    const node = container.get(Tokens.peerNode);
    const peerPort = await node.listen(container.get(Tokens.log), this.bindUntilMs);
    await this.startPart({ name: 'peers', stop: () => node.close() });
    const peerAddress = settings.announcedPeerAddress ?? `${settings.host}:${String(peerPort)}`;
    const { failureDomain } = settings;
    const schedules = settings.roles.includes(EntryRole.scheduler);
    bindSelf(container, {
      instanceId,
      failureDomain,
      peerAddress,
      state: 'alive',
      incarnation: 1,
      schedules,
    });
    return peerAddress;
  }

  private async startMembership(): Promise<void> {
    const { settings, container } = this;
    const membership = container.get(Tokens.membership);
    const replication = container.get(Tokens.tableReplication);
    await this.startPart({ name: 'members', start: () => membership.start(), stop: () => membership.stop() });
    await this.startPart(
      new InstanceListPoller(
        container.get(Tokens.instanceList),
        settings.instanceList.readPeriodMs,
        container.get(Tokens.self),
        membership,
        container.get(Tokens.upstreams),
        container.get(Tokens.tasks),
        container.get(Tokens.metrics),
      ),
    );
    await this.startPart({ name: 'table', start: () => replication.start(), stop: () => replication.stop() });
  }

  private async startIdempotencyRecords(): Promise<void> {
    const records = this.container.get(Tokens.once);
    await this.startPart({
      name: 'idempotency records',
      start: () => records.start(),
      drain: (abort) =>
        records.drain(AbortSignal.any([abort, AbortSignal.timeout(this.settings.drainLimitMs)])),
      stop: () => records.stop(),
    });
  }

  private async startSystems(): Promise<void> {
    const { container } = this;
    const { roles } = this.settings;
    const host = container.get(Tokens.host);
    const permits = container.get(Tokens.permits);
    const batch = container.get(Tokens.batch);
    const systems = [
      ...(roles.includes(EntryRole.scheduler) ? [host] : []),
      permits,
      ...(roles.includes(EntryRole.batch) ? [batch] : []),
    ];
    const tick = new TickLoop(systems, TICK_PERIODS, (error, system) =>
      this.onUnexpected('system_error', { system }, error),
    );
    host.connect(permits, () => tick.wake());
    await this.startPart({ name: 'tick', start: () => tick.start(), stop: () => tick.stop() });
    await this.startPart({ name: 'batch', drain: () => batch.drain() });
    await this.startPart(container.get(Tokens.collector));
  }

  private async startGateway(): Promise<number> {
    const server = this.buildServer();
    const httpPort = await server.listen(
      { host: this.settings.host, port: this.settings.httpPort },
      this.container.get(Tokens.log),
      this.bindUntilMs,
    );
    await this.startPart({
      name: 'gateway',
      drain: (abort) => this.drainGateway(abort),
      stop: () => server.close(),
    });
    return httpPort;
  }

  private buildServer(): HttpServer {
    const { container } = this;
    const table = container.get(Tokens.table);
    const store = container.get(Tokens.store);
    const metrics = container.get(Tokens.metrics);
    return new HttpServer({
      limits: this.settings,
      log: container.get(Tokens.log),
      gateway: container.get(Tokens.gateway),
      jobs: new JobApi(
        container.get(Tokens.intake),
        container.get(Tokens.reader),
        store,
        table,
        container.get(Tokens.clock),
        this.settings.batch.maxItemBytes,
      ),
      table: new TableApi(table, container.get(Tokens.tableReplication), metrics),
      organisations: new OrganisationApi(table),
      orders: new OrderApi(container.get(Tokens.orders)),
      auth: new Authenticator(table, this.settings.bootstrapAdminKey),
      metrics,
      dump: () => dumpState(container),
      models: () => table.view.models(),
      onError: (error, path) => this.onUnexpected('request_error', { path }, error),
    });
  }

  /**
   * Announces to the peers that the instance leaves, and still serves requests for `LEAVE_NOTICE_MS`. Then refuses new
   * requests and waits for the open ones until the drain limit.
   */
  private async drainGateway(abort: AbortSignal): Promise<void> {
    const gateway = this.container.get(Tokens.gateway);
    const untilMs = performance.now() + this.settings.drainLimitMs;
    this.container.get(Tokens.membership).leave();
    this.logger.info({ openRequests: gateway.openRequests }, 'instance is leaving; draining open requests');
    await sleep(LEAVE_NOTICE_MS);
    // The port stays open, so that late requests get a definite `not_run` response and a closed connection.
    gateway.startDraining();
    while (gateway.openRequests > 0 && !abort.aborted && performance.now() < untilMs) {
      await sleep(DRAIN_POLL_PERIOD_MS);
    }
    await sleep(LEAVE_NOTICE_MS);
  }
}

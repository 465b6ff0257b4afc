/** Starts one entry instance from its settings and owns its life. */
import type { ManagedPart, MetricsSink } from '@fighub/core';
import { LifeCycle, TickLoop, newId, sleep } from '@fighub/core';
import type { Container } from 'inversify';
import type { Logger } from 'pino';

import { TableApi } from '../operators/admin-api.js';
import { bindSelf, buildContainer } from './entry-container.js';
import { Authenticator } from '../ingress/http-kit.js';
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

const TICK_PERIODS = { busyMs: 10, idleMs: 50 } as const;
const DRAIN_STEP_MS = 20;
/** Time in which peers and balancers learn that this instance leaves. */
const LEAVE_NOTICE_MS = 300;

/** A running instance. */
export interface EntryInstance {
  readonly instanceId: string;
  readonly httpAddress: string;
  readonly peerAddress: string;
  dump(): Record<string, unknown>;
  /** Drains and stops. A second call hastens. */
  close(): Promise<void>;
}

/** Starts an instance. */
export async function startEntry(
  settings: EntrySettings,
  logger: Logger,
  crash: Crash,
  sink?: MetricsSink,
): Promise<EntryInstance> {
  const instanceId = newId(settings.instanceName);
  const container = buildContainer({ settings, instanceId, crash, sink });
  return new EntryStarter(settings, instanceId, container, logger).start();
}

/** Starts the parts in order and hands their clean-up to the life-cycle manager. */
class EntryStarter {
  private readonly lifeCycle = new LifeCycle();

  constructor(
    private readonly settings: EntrySettings,
    private readonly instanceId: string,
    private readonly container: Container,
    private readonly logger: Logger,
  ) {}

  async start(): Promise<EntryInstance> {
    const { settings, container, instanceId } = this;
    const peerAddress = await this.startPeers();
    await this.startMembers();
    await this.startRecords();
    await this.startSystems();
    const httpPort = await this.startGateway();
    this.logger.info({ instanceId, httpPort, peerAddress }, 'instance started');
    return {
      instanceId,
      httpAddress: `http://${settings.host}:${String(httpPort)}`,
      peerAddress,
      dump: () => dumpState(container),
      close: () => this.lifeCycle.close(),
    };
  }

  private own(part: ManagedPart): Promise<void> {
    return this.lifeCycle.own(part);
  }

  private async startPeers(): Promise<string> {
    const { settings, container, instanceId } = this;
    const node = container.get(Tokens.peerNode);
    const peerPort = await node.listen();
    await this.own({ name: 'peers', stop: () => node.close() });
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

  private async startMembers(): Promise<void> {
    const { settings, container } = this;
    const membership = container.get(Tokens.membership);
    const spread = container.get(Tokens.spread);
    await this.own({ name: 'members', start: () => membership.start(), stop: () => membership.stop() });
    await this.own(
      new InstanceListPoller(
        container.get(Tokens.instanceList),
        settings.instanceList.readPeriodMs,
        container.get(Tokens.self),
        membership,
        container.get(Tokens.upstreams),
        container.get(Tokens.metrics),
      ),
    );
    await this.own({ name: 'table', start: () => spread.start(), stop: () => spread.stop() });
  }

  private async startRecords(): Promise<void> {
    const once = this.container.get(Tokens.once);
    await this.own({
      name: 'once records',
      start: () => once.start(),
      drain: (hasten) =>
        once.drain(AbortSignal.any([hasten, AbortSignal.timeout(this.settings.drainLimitMs)])),
      stop: () => once.stop(),
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
    const tick = new TickLoop(systems, TICK_PERIODS, container.get(Tokens.crash));
    host.connect(permits, () => tick.wake());
    await this.own({ name: 'tick', start: () => tick.start(), stop: () => tick.stop() });
    await this.own({ name: 'batch', drain: () => batch.drain() });
    await this.own(container.get(Tokens.collector));
  }

  private async startGateway(): Promise<number> {
    const server = this.buildServer();
    const httpPort = await server.listen(this.settings.host, this.settings.httpPort);
    await this.own({
      name: 'gateway',
      drain: (hasten) => this.drainGateway(hasten),
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
      gateway: container.get(Tokens.gateway),
      jobs: new JobApi(
        container.get(Tokens.intake),
        container.get(Tokens.reader),
        store,
        table,
        container.get(Tokens.clock),
      ),
      table: new TableApi(table, container.get(Tokens.spread), metrics),
      organisations: new OrganisationApi(table),
      orders: new OrderApi(container.get(Tokens.orders)),
      auth: new Authenticator(table, this.settings.bootstrapAdminKey),
      metrics,
      dump: () => dumpState(container),
      models: () => table.view.models(),
      onError: container.get(Tokens.crash),
    });
  }

  /** Announces the leave, keeps answering while others learn of it, then waits for open requests. */
  private async drainGateway(hasten: AbortSignal): Promise<void> {
    const gateway = this.container.get(Tokens.gateway);
    const untilMs = performance.now() + this.settings.drainLimitMs;
    this.container.get(Tokens.membership).leave();
    this.logger.info({ openRequests: gateway.openRequests }, 'instance is leaving');
    await sleep(LEAVE_NOTICE_MS);
    // The port stays open: whoever still sends gets a true "not run" and a closing connection.
    gateway.startDraining();
    while (gateway.openRequests > 0 && !hasten.aborted && performance.now() < untilMs) {
      await sleep(DRAIN_STEP_MS);
    }
    await sleep(LEAVE_NOTICE_MS);
  }
}

/** Builds one entry instance from its settings and owns its life. */
import 'reflect-metadata';

import type { Clock, ManagedPart, MetricsSink } from '@fighub/core';
import { LifeCycle, Metrics, SystemClock, TickLoop, newId } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { MembershipRunner, PeerNode } from '@fighub/peers';
import type { InstanceList } from '@fighub/platform';
import {
  EtcdKeyValueService,
  HttpEngine,
  HttpEngineOrders,
  HttpInstanceList,
  HttpPlainService,
  RecordStore,
} from '@fighub/platform';
import { Container } from 'inversify';
import type { Logger } from 'pino';

import { TableApi } from './admin-api.js';
import { BatchRunner } from './batch-runner.js';
import { CompletionRunner } from './completion-runner.js';
import { DirectDispatch } from './direct-dispatch.js';
import { Gateway } from './gateway.js';
import { Authenticator } from './http-kit.js';
import { HttpServer } from './http-server.js';
import { JobApi } from './job-api.js';
import { JobCollector } from './job-collector.js';
import { JobIntake } from './job-intake.js';
import { JobReader } from './job-reader.js';
import { OnceRecords } from './once-records.js';
import { OrderApi } from './order-api.js';
import { OrderDesk } from './order-desk.js';
import { OrganisationApi } from './organisation-api.js';
import { PermitClient } from './permit-client.js';
import { PoolHost } from './pool-host.js';
import type { EntrySettings } from './settings.js';
import { TableSpread } from './table-spread.js';
import { TableStore } from './table-store.js';
import type { Crash } from './tokens.js';
import { Tokens } from './tokens.js';
import { UpstreamStates } from './upstream-states.js';

const TICK_PERIOD_MS = 10;
const DRAIN_STEP_MS = 20;
/** Time in which peers and balancers learn that this instance leaves, before its port closes. */
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
  const builder = new EntryBuilder(settings, logger, crash, sink);
  return builder.start();
}

class EntryBuilder {
  private readonly container = new Container({ defaultScope: 'Singleton' });
  private readonly lifeCycle = new LifeCycle();
  private readonly instanceId: string;

  constructor(
    private readonly settings: EntrySettings,
    private readonly logger: Logger,
    private readonly crash: Crash,
    sink: MetricsSink | undefined,
  ) {
    this.instanceId = newId(settings.instanceName);
    this.bindOutside(sink);
  }

  async start(): Promise<EntryInstance> {
    const { settings } = this;
    const peerPort = await this.listenPeers();
    const self: MemberUpdate = {
      instanceId: this.instanceId,
      failureDomain: settings.failureDomain,
      peerAddress: settings.announcedPeerAddress ?? `${settings.host}:${String(peerPort)}`,
      state: 'alive',
      incarnation: 1,
    };
    const parts = this.buildParts(self);
    const httpPort = await this.runParts(parts, self);
    this.logger.info({ instanceId: this.instanceId, httpPort, peerPort }, 'instance started');
    return {
      instanceId: this.instanceId,
      httpAddress: `http://${settings.host}:${String(httpPort)}`,
      peerAddress: self.peerAddress,
      dump: () => dumpOf(parts, self),
      close: () => this.lifeCycle.close(),
    };
  }

  private bindOutside(sink: MetricsSink | undefined): void {
    const { settings, container } = this;
    const clock = new SystemClock();
    const metrics = new Metrics(sink);
    const service = new EtcdKeyValueService({ ...settings.keyValueService, localAddress: settings.host });
    container.bind(Tokens.clock).toConstantValue(clock);
    container.bind(Tokens.metrics).toConstantValue(metrics);
    container.bind(Tokens.keyValueService).toConstantValue(service);
    container
      .bind(Tokens.store)
      .toDynamicValue(() => new RecordStore(service, settings.keyValueService, clock, metrics));
    container
      .bind(Tokens.instanceList)
      .toDynamicValue(
        () =>
          new HttpInstanceList(settings.instanceList.address, settings.instanceList.timeoutMs, settings.host),
      );
    container.bind(Tokens.engine).toDynamicValue(() => new HttpEngine(settings.host));
    container.bind(Tokens.plainService).toDynamicValue(() => new HttpPlainService(settings.host));
    container.bind(Tokens.peerNode).toDynamicValue(
      () =>
        new PeerNode(
          {
            instanceId: this.instanceId,
            host: settings.host,
            port: settings.peerPort,
            secret: settings.fleetSecret,
          },
          metrics,
          this.crash,
        ),
    );
  }

  private async listenPeers(): Promise<number> {
    const node = this.container.get<PeerNode>(Tokens.peerNode);
    const port = await node.listen();
    await this.lifeCycle.own({ name: 'peers', stop: () => node.close() });
    return port;
  }

  private buildParts(self: MemberUpdate): Parts {
    const { container, settings, instanceId } = this;
    const clock = container.get<Clock>(Tokens.clock);
    const metrics = container.get<Metrics>(Tokens.metrics);
    const store = container.get<RecordStore>(Tokens.store);
    const engine = container.get<HttpEngine>(Tokens.engine);
    const node = container.get<PeerNode>(Tokens.peerNode);
    const upstreams = new UpstreamStates(clock);
    const table = new TableStore(store, metrics, () => clock.nowUnixMs());
    const runnerRef = new LateReference<MembershipRunner>();
    const members = runnerRef.get;
    const spread = new TableSpread(table, store, node, members, self, metrics);
    const piggyback = {
      tableDigest: () => ({ revisions: table.revisions() }),
      storeDown: () => store.isDown,
      onPeerTable: spread.onPeerTable.bind(spread),
    };
    const membership = new MembershipRunner(self, settings.peers, node, piggyback, metrics, Math.random);
    runnerRef.set(membership);
    const host = new PoolHost(instanceId, table, upstreams, members, node, engine, clock, metrics);
    const baseline = settings.online.admission === 'lagging-load';
    const direct = new DirectDispatch(
      instanceId,
      settings.failureDomain,
      table,
      upstreams,
      members,
      engine,
      !baseline,
      clock,
      metrics,
    );
    const permits = new PermitClient(
      instanceId,
      settings.failureDomain,
      host,
      direct,
      members,
      node,
      settings.peers.acquireTimeoutMs,
      baseline,
      clock,
      metrics,
      Math.random,
    );
    const limits = { headersMs: settings.online.headersLimitMs, gapMs: settings.online.gapLimitMs };
    const runner = new CompletionRunner(
      permits,
      engine,
      upstreams,
      limits,
      settings.online.retryFraction,
      clock,
      metrics,
    );
    const once = new OnceRecords(instanceId, store, node, members, clock, metrics);
    const services = container.get<HttpPlainService>(Tokens.plainService);
    const gateway = new Gateway(table, runner, services, once, settings.online.maxBodyBytes, clock, metrics);
    const reader = new JobReader(store, clock, (jobId) => {
      membership
        .owners()
        .filter((member) => member.instanceId !== instanceId)
        .forEach((member) => node.notify(member.peerAddress, 'job.cancelled', { jobId }));
      batch.onCancelled(jobId);
    });
    const batch = new BatchRunner(
      instanceId,
      store,
      runner,
      reader,
      permits,
      table,
      members,
      node,
      settings.batch,
      clock,
      metrics,
    );
    const intake = new JobIntake(store, settings.batch, clock, metrics);
    return {
      store,
      node,
      table,
      spread,
      membership,
      upstreams,
      host,
      direct,
      permits,
      runner,
      once,
      gateway,
      reader,
      batch,
      intake,
      metrics,
      clock,
    };
  }

  private async runParts(parts: Parts, self: MemberUpdate): Promise<number> {
    const { settings } = this;
    const server = this.buildServer(parts, self);
    const systems = [
      ...(settings.roles.includes('scheduler') ? [parts.host] : []),
      parts.permits,
      ...(settings.roles.includes('batch') ? [parts.batch] : []),
    ];
    const tick = new TickLoop(systems, TICK_PERIOD_MS, this.crash);
    parts.host.connect(parts.permits, () => tick.wake());
    await this.lifeCycle.own({
      name: 'members',
      start: () => parts.membership.start(),
      stop: () => parts.membership.stop(),
    });
    await this.lifeCycle.own(
      new InstanceListPoller(settings, this.container.get(Tokens.instanceList), parts, self),
    );
    await this.lifeCycle.own({
      name: 'table',
      start: () => parts.spread.start(),
      stop: () => parts.spread.stop(),
    });
    await this.lifeCycle.own({
      name: 'once records',
      start: () => parts.once.start(),
      drain: (hasten) =>
        parts.once.drain(AbortSignal.any([hasten, AbortSignal.timeout(settings.drainLimitMs)])),
      stop: () => parts.once.stop(),
    });
    await this.lifeCycle.own({ name: 'tick', start: () => tick.start(), stop: () => tick.stop() });
    await this.lifeCycle.own({ name: 'batch', drain: () => parts.batch.drain() });
    await this.lifeCycle.own(
      new JobCollector(
        self.instanceId,
        parts.store,
        parts.table,
        () => parts.membership.owners(),
        parts.clock,
        parts.metrics,
      ),
    );
    const httpPort = await server.listen(settings.host, settings.httpPort);
    await this.lifeCycle.own({
      name: 'gateway',
      drain: (hasten) => this.drainGateway(parts, hasten),
      stop: () => server.close(),
    });
    return httpPort;
  }

  private buildServer(parts: Parts, self: MemberUpdate): HttpServer {
    return new HttpServer({
      gateway: parts.gateway,
      jobs: new JobApi(parts.intake, parts.reader, parts.store, parts.table, parts.clock),
      table: new TableApi(parts.table, parts.spread, parts.metrics),
      organisations: new OrganisationApi(parts.table),
      orders: new OrderApi(this.buildOrderDesk(parts)),
      auth: new Authenticator(parts.table, this.settings.bootstrapAdminKey),
      metrics: parts.metrics,
      dump: () => dumpOf(parts, self),
      models: () => parts.table.view.models(),
      onError: this.crash,
    });
  }

  private buildOrderDesk(parts: Parts): OrderDesk {
    return new OrderDesk(
      parts.store,
      new HttpEngineOrders(this.settings.host),
      parts.table,
      parts.upstreams,
      this.settings.weightStoreLoadsPerMinute,
      parts.clock,
      parts.metrics,
    );
  }

  /** Announces the leave, keeps answering while others learn of it, then waits for open requests. */
  private async drainGateway(parts: Parts, hasten: AbortSignal): Promise<void> {
    const untilMs = performance.now() + this.settings.drainLimitMs;
    parts.membership.leave();
    this.logger.info({ openRequests: parts.gateway.openRequests }, 'instance is leaving');
    await pause(LEAVE_NOTICE_MS);
    // The port stays open: whoever still sends gets a true "not run" and a closing connection.
    parts.gateway.startDraining();
    while (parts.gateway.openRequests > 0 && !hasten.aborted && performance.now() < untilMs) {
      await pause(DRAIN_STEP_MS);
    }
    await pause(LEAVE_NOTICE_MS);
  }
}

/** Parts of an instance. */
interface Parts {
  readonly store: RecordStore;
  readonly node: PeerNode;
  readonly table: TableStore;
  readonly spread: TableSpread;
  readonly membership: MembershipRunner;
  readonly upstreams: UpstreamStates;
  readonly host: PoolHost;
  readonly direct: DirectDispatch;
  readonly permits: PermitClient;
  readonly runner: CompletionRunner;
  readonly once: OnceRecords;
  readonly gateway: Gateway;
  readonly reader: JobReader;
  readonly batch: BatchRunner;
  readonly intake: JobIntake;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** A reference that is set once, for parts that refer to each other. */
class LateReference<T> {
  private value: T | undefined;

  readonly get = (): T => {
    if (this.value === undefined) throw new Error('the reference is not set yet');
    return this.value;
  };

  set(value: T): void {
    this.value = value;
  }
}

/** Registers this instance and reads who else is there. */
class InstanceListPoller implements ManagedPart {
  readonly name = 'instance list';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: EntrySettings,
    private readonly list: InstanceList,
    private readonly parts: Parts,
    private readonly self: MemberUpdate,
  ) {}

  async start(): Promise<void> {
    await this.announce('live');
    await this.read();
    this.timer = setInterval(() => void this.read(), this.settings.instanceList.readPeriodMs);
  }

  async drain(): Promise<void> {
    await this.announce('leaving');
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async announce(state: 'live' | 'leaving'): Promise<void> {
    await this.list.announce({
      instanceId: this.self.instanceId,
      kind: 'entry',
      failureDomain: this.self.failureDomain,
      address: this.self.peerAddress,
      state,
    });
  }

  private async read(): Promise<void> {
    const listed = await this.list.read();
    if (!listed.ok) {
      this.parts.metrics.count('instance_list_errors');
      return;
    }
    this.parts.upstreams.applyList(listed.value);
    const entries = listed.value.filter((item) => item.kind === 'entry' && item.state === 'live');
    await this.parts.membership.seed(
      entries.map((item) => ({ instanceId: item.instanceId, peerAddress: item.address })),
    );
  }
}

function dumpOf(parts: Parts, self: MemberUpdate): Record<string, unknown> {
  return {
    instanceId: self.instanceId,
    failureDomain: self.failureDomain,
    nowUnixMs: parts.clock.nowUnixMs(),
    memoryBytes: process.memoryUsage().rss,
    processorTimeMs: (process.cpuUsage().user + process.cpuUsage().system) / 1_000,
    openRequests: parts.gateway.openRequests,
    members: parts.membership.membership.all(),
    memberUpdatesToSpread: parts.membership.membership.updatesLeftToSpread,
    table: { ...parts.spread.dump(), rows: parts.table.rows().length },
    pools: parts.host.dump(),
    permits: parts.permits.dump(),
    direct: parts.direct.dump(),
    upstreams: parts.upstreams.dump(),
    retriesAvailable: parts.runner.retriesAvailable,
    once: parts.once.dump(),
    batch: parts.batch.dump(),
    store: parts.store.dump(),
    peers: parts.node.dump(),
    metrics: parts.metrics.dump(),
  };
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

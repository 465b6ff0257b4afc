/** Builds and starts the parts of a serving instance around the adapters of a platform. */
import { DirectDispatch, PermitClient, PoolHost, UpstreamStates } from '@fighub/admission';
import type { Clock, ManagedPart } from '@fighub/core';
import { DecisionLog, LifeCycle, LogWeight, Metrics, SystemClock, TickLoop, newId } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import type { InstanceList, KeyValueService, LoadReader } from '@fighub/outside';
import { RecordStore } from '@fighub/outside';
import { MembershipRunner, PeerNode } from '@fighub/peers';
import type { ServiceIdentifier } from 'inversify';
import { Container } from 'inversify';
import type { Logger } from 'pino';

import { InputCache } from './batch/input-cache.js';
import type { ItemParts } from './batch/item-run.js';
import { JobAcceptance } from './batch/job-acceptance.js';
import { JobReader } from './batch/job-reader.js';
import { JobRunner } from './batch/job-runner.js';
import { MembershipLog } from './membership-log.js';
import { MemberFinder } from './member-finder.js';
import type { UpstreamTransport } from './online/forwarding.js';
import type { ForwardParts } from './online/forward-runner.js';
import { ForwardRunner } from './online/forward-runner.js';
import type { FleetSource } from './routing/fleet-source.js';
import { RelayedStore } from './relayed-store.js';
import { FleetView } from './routing/fleet-view.js';
import { ServicePoolCatalogue } from './routing/service-pool-catalogue.js';
import { ViewKeeper } from './routing/view-keeper.js';
import type { ServingSettings } from './settings.js';

/** What a platform gives. */
export interface ServingAdapters {
  readonly keyValueService: KeyValueService;
  readonly fleetSource: FleetSource;
  readonly instanceList: InstanceList;
  readonly transport: UpstreamTransport;
}

/** What the doors of an instance lead to. */
export interface ServingParts {
  readonly settings: ServingSettings;
  readonly view: FleetView;
  readonly runner: ForwardRunner;
  readonly acceptance: JobAcceptance;
  readonly reader: JobReader;
  readonly jobs: JobRunner;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  /** Whether callers should be sent here. */
  isReady(): boolean;
  /** Whether this instance is about to stop. */
  isStopping(): boolean;
  /** When doors must have closed; monotonic time, infinite until this instance stops. */
  stopByMs(): number;
  dump(): Record<string, unknown>;
}

/** A running instance. */
export interface ServingInstance {
  readonly instanceId: string;
  readonly parts: ServingParts;
  /** Starts a door and takes ownership of its clean-up. */
  own(part: ManagedPart): Promise<void>;
  /** Finishes what was begun and stops. A second call hastens. */
  close(): Promise<void>;
}

const TICK_PERIODS = { busyMs: 10, idleMs: 50 } as const;
/** Time before the end by force in which clean-up must fit. */
const STOP_MARGIN_MS = 700;
/** Load reports cost calls; replicas are judged by the permits and the streams themselves. */
const NO_LOAD_READER: LoadReader = { load: () => Promise.resolve(undefined) };

function token<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`fighub/serving/${name}`) as ServiceIdentifier<T>;
}

const Tokens = {
  settings: token<ServingSettings>('settings'),
  adapters: token<ServingAdapters>('adapters'),
  self: token<MemberUpdate>('self'),
  clock: token<Clock>('clock'),
  metrics: token<Metrics>('metrics'),
  log: token<DecisionLog>('log'),
  store: token<RecordStore>('store'),
  node: token<PeerNode>('node'),
  membership: token<MembershipRunner>('membership'),
  view: token<FleetView>('view'),
  keeper: token<ViewKeeper>('keeper'),
  catalogue: token<ServicePoolCatalogue>('catalogue'),
  host: token<PoolHost>('host'),
  direct: token<DirectDispatch>('direct'),
  permits: token<PermitClient>('permits'),
  runner: token<ForwardRunner>('runner'),
  inputs: token<InputCache>('inputs'),
  jobs: token<JobRunner>('jobs'),
  reader: token<JobReader>('reader'),
  acceptance: token<JobAcceptance>('acceptance'),
} as const;

/** Starts an instance without doors. */
export async function startServing(
  settings: ServingSettings,
  adapters: ServingAdapters,
  logger: Logger,
  onError: (error: unknown) => void,
): Promise<ServingInstance> {
  const instanceId = newId(settings.instanceName);
  const container = buildContainer(settings, adapters, instanceId, logger, onError);
  return new ServingStarter(settings, instanceId, container, onError).start();
}

type Get = <T>(identifier: ServiceIdentifier<T>) => T;

function buildContainer(
  settings: ServingSettings,
  adapters: ServingAdapters,
  instanceId: string,
  logger: Logger,
  onError: (error: unknown) => void,
): Container {
  const container = new Container({ defaultScope: 'Singleton' });
  const clock = new SystemClock();
  const metrics = new Metrics();
  const log = new DecisionLog(logger, clock, metrics);
  const host = settings.peerAddress.slice(0, settings.peerAddress.lastIndexOf(':'));
  const port = Number(settings.peerAddress.slice(host.length + 1));
  const nodeOptions = { instanceId, host, port, secret: settings.fleetSecret };
  container.bind(Tokens.settings).toConstantValue(settings);
  container.bind(Tokens.adapters).toConstantValue(adapters);
  container.bind(Tokens.clock).toConstantValue(clock);
  container.bind(Tokens.metrics).toConstantValue(metrics);
  container.bind(Tokens.log).toConstantValue(log);
  container.bind(Tokens.node).toConstantValue(new PeerNode(nodeOptions, metrics, onError));
  container.bind(Tokens.view).toConstantValue(new FleetView());
  container.bind(Tokens.self).toConstantValue({
    instanceId,
    failureDomain: settings.failureDomain,
    peerAddress: settings.peerAddress,
    state: 'alive',
    incarnation: 1,
    schedules: settings.coordinates,
  });
  bindFleet(container);
  bindAdmission(container);
  bindBatch(container);
  return container;
}

function part<T>(container: Container, identifier: ServiceIdentifier<T>, build: (get: Get) => T): void {
  const get: Get = (wanted) => container.get(wanted);
  container.bind(identifier).toDynamicValue(() => build(get));
}

function bindFleet(container: Container): void {
  part(container, Tokens.store, (get) => {
    const { readsPerSecond, writesPerSecond, fleetShare, deadlineMs } = get(Tokens.settings).store;
    const options = {
      readsPerSecond: readsPerSecond * fleetShare,
      writesPerSecond: writesPerSecond * fleetShare,
      deadlineMs,
    };
    return new RecordStore(relayedStore(get), options, get(Tokens.clock), get(Tokens.metrics));
  });
  part(
    container,
    Tokens.keeper,
    (get) =>
      new ViewKeeper(
        get(Tokens.view),
        get(Tokens.adapters).fleetSource,
        get(Tokens.node),
        () => get(Tokens.membership),
        () => get(Tokens.self),
        get(Tokens.settings).coordinates,
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  part(
    container,
    Tokens.membership,
    (get) =>
      new MembershipRunner(
        get(Tokens.self),
        get(Tokens.settings).peers,
        get(Tokens.node),
        get(Tokens.keeper),
        get(Tokens.metrics),
        Math.random,
      ),
  );
}

function bindAdmission(container: Container): void {
  part(container, Tokens.catalogue, (get) => new ServicePoolCatalogue(get(Tokens.view)));
  part(
    container,
    Tokens.host,
    (get) =>
      new PoolHost(
        get(Tokens.self).instanceId,
        get(Tokens.catalogue),
        new UpstreamStates(get(Tokens.clock)),
        () => get(Tokens.membership),
        get(Tokens.node),
        undefined,
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  part(
    container,
    Tokens.direct,
    (get) =>
      new DirectDispatch(
        get(Tokens.self).instanceId,
        get(Tokens.self).failureDomain,
        get(Tokens.catalogue),
        () => get(Tokens.membership),
        NO_LOAD_READER,
        true,
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
  part(
    container,
    Tokens.permits,
    (get) =>
      new PermitClient(
        get(Tokens.self).instanceId,
        get(Tokens.self).failureDomain,
        get(Tokens.host),
        get(Tokens.direct),
        () => get(Tokens.membership),
        get(Tokens.node),
        get(Tokens.settings).peers.acquireTimeoutMs,
        false,
        get(Tokens.clock),
        get(Tokens.metrics),
        Math.random,
      ),
  );
  part(container, Tokens.runner, (get) => new ForwardRunner(forwardParts(get)));
}

function relayedStore(get: Get): RelayedStore {
  return new RelayedStore(
    get(Tokens.adapters).keyValueService,
    () => get(Tokens.self).instanceId,
    () => get(Tokens.membership),
    get(Tokens.node),
    get(Tokens.clock),
    get(Tokens.metrics),
    get(Tokens.log),
    Math.random,
  );
}

function forwardParts(get: Get): ForwardParts & ItemParts {
  return {
    view: get(Tokens.view),
    permits: get(Tokens.permits),
    transport: get(Tokens.adapters).transport,
    clock: get(Tokens.clock),
    metrics: get(Tokens.metrics),
    log: get(Tokens.log),
    random: Math.random,
  };
}

function bindBatch(container: Container): void {
  const selfId = (get: Get) => () => get(Tokens.self).instanceId;
  part(container, Tokens.inputs, (get) => new InputCache(get(Tokens.store)));
  part(
    container,
    Tokens.jobs,
    (get) =>
      new JobRunner(
        selfId(get),
        get(Tokens.settings).coordinates,
        get(Tokens.store),
        get(Tokens.inputs),
        () => get(Tokens.membership),
        get(Tokens.node),
        forwardParts(get),
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  part(
    container,
    Tokens.reader,
    (get) =>
      new JobReader(
        selfId(get),
        get(Tokens.store),
        get(Tokens.inputs),
        () => get(Tokens.membership),
        get(Tokens.node),
        (jobId, afterPosition) => get(Tokens.jobs).results(jobId, afterPosition),
        (jobId) => get(Tokens.jobs).onEnded(jobId),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  part(
    container,
    Tokens.acceptance,
    (get) =>
      new JobAcceptance(
        selfId(get),
        get(Tokens.store),
        get(Tokens.inputs),
        () => get(Tokens.membership),
        (progress) => {
          get(Tokens.reader).remember(progress);
          get(Tokens.jobs).offer(progress);
        },
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
}

/** Starts the parts in order and hands their clean-up to the life-cycle manager. */
class ServingStarter {
  private readonly lifeCycle = new LifeCycle();
  private stopping = false;
  private stopByMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly settings: ServingSettings,
    private readonly instanceId: string,
    private readonly container: Container,
    private readonly onError: (error: unknown) => void,
  ) {}

  async start(): Promise<ServingInstance> {
    const { container, instanceId, settings } = this;
    const node = container.get(Tokens.node);
    await node.listen();
    await this.lifeCycle.own({ name: 'peers', stop: () => node.close() });
    await this.startMembers();
    await this.startSystems();
    const log = container.get(Tokens.log);
    const { failureDomain, coordinates } = settings;
    log.record(LogWeight.state, 'instance_started', { instanceId, failureDomain, coordinates });
    return {
      instanceId,
      parts: this.parts(),
      own: (door) => this.lifeCycle.own(door),
      close: () => this.close(),
    };
  }

  private close(): Promise<void> {
    if (!this.stopping) {
      this.stopping = true;
      const { graceMs } = this.settings.shutdown;
      this.stopByMs = performance.now() + graceMs - STOP_MARGIN_MS;
      this.container.get(Tokens.log).record(LogWeight.state, 'instance_stopping', {
        instanceId: this.instanceId,
        openRequests: this.container.get(Tokens.runner).openRequests,
      });
    }
    return this.lifeCycle.close();
  }

  private async startMembers(): Promise<void> {
    const { container } = this;
    const membership = container.get(Tokens.membership);
    await this.lifeCycle.own({
      name: 'members',
      start: () => membership.start(),
      drain: () => Promise.resolve(membership.leave()),
      stop: () => membership.stop(),
    });
    await this.lifeCycle.own(
      new MemberFinder(
        container.get(Tokens.adapters).instanceList,
        this.settings.seedAddresses,
        container.get(Tokens.self),
        membership,
        container.get(Tokens.log),
      ),
    );
  }

  private async startSystems(): Promise<void> {
    const { container } = this;
    const host = container.get(Tokens.host);
    const permits = container.get(Tokens.permits);
    const jobs = container.get(Tokens.jobs);
    const keeper = container.get(Tokens.keeper);
    const tick = new TickLoop(
      [
        keeper,
        host,
        permits,
        jobs,
        new MembershipLog(() => container.get(Tokens.membership), container.get(Tokens.log)),
      ],
      TICK_PERIODS,
      this.onError,
    );
    host.connect(permits, () => tick.wake());
    container.get(Tokens.view).onChange(() => tick.wake());
    await this.lifeCycle.own({
      name: 'tick',
      start: () => tick.start(),
      stop: () => {
        keeper.stop();
        tick.stop();
      },
    });
    await this.lifeCycle.own({ name: 'jobs', drain: () => jobs.drain() });
  }

  private parts(): ServingParts {
    const { container } = this;
    const view = container.get(Tokens.view);
    return {
      settings: this.settings,
      view,
      runner: container.get(Tokens.runner),
      acceptance: container.get(Tokens.acceptance),
      reader: container.get(Tokens.reader),
      jobs: container.get(Tokens.jobs),
      store: container.get(Tokens.store),
      clock: container.get(Tokens.clock),
      metrics: container.get(Tokens.metrics),
      log: container.get(Tokens.log),
      isReady: () => !this.stopping && view.routes !== undefined && view.replicas.revision > 0,
      isStopping: () => this.stopping,
      stopByMs: () => this.stopByMs,
      dump: () => this.dump(),
    };
  }

  private dump(): Record<string, unknown> {
    const { container } = this;
    const processor = process.cpuUsage();
    return {
      instanceId: this.instanceId,
      nowUnixMs: container.get(Tokens.clock).nowUnixMs(),
      memoryBytes: process.memoryUsage().rss,
      processorTimeMs: (processor.user + processor.system) / 1_000,
      openRequests: container.get(Tokens.runner).openRequests,
      members: container.get(Tokens.membership).membership.all(),
      view: container.get(Tokens.keeper).dump(),
      pools: container.get(Tokens.host).dump(),
      permits: container.get(Tokens.permits).dump(),
      direct: container.get(Tokens.direct).dump(),
      jobs: container.get(Tokens.jobs).dump(),
      store: container.get(Tokens.store).dump(),
      peers: container.get(Tokens.node).dump(),
      metrics: container.get(Tokens.metrics).dump(),
    };
  }
}

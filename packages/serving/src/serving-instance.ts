/** Starts and stops a serving instance on the adapters of a hosting platform. */
import type { Clock, DecisionLog, ManagedPart, Metrics } from '@fighub/core';
import {
  ADDRESS_WAIT_MARGIN_MS,
  LifeCycle,
  LogCategory,
  TickLoop,
  errorFields,
  isFatalError,
  newId,
  timerMs,
} from '@fighub/core';
import type { BufferBudget, StopSchedule } from '@fighub/decisions';
import { stopSchedule } from '@fighub/decisions';
import type { RecordStore } from '@fighub/outside';
import type { Container } from 'inversify';
import type { Logger } from 'pino';

import type { AccessControl } from './access/access-control.js';
import type { OrganisationUsage } from './access/organisation-usage.js';
import type { JobAcceptance } from './batch/job-acceptance.js';
import type { JobReader } from './batch/job-reader.js';
import type { JobRunner } from './batch/job-runner.js';
import { MembershipLog } from './membership-log.js';
import { MemberDiscovery } from './member-discovery.js';
import { MemoryWatch } from './memory-watch.js';
import type { ForwardRunner } from './online/forward-runner.js';
import type { FleetView } from './routing/fleet-view.js';
import type { ServingAdapters } from './serving-container.js';
import { Tokens, buildContainer } from './serving-container.js';
import type { ServingSettings } from './settings.js';

/** Components of a running instance on which its HTTP servers depend. */
export interface ServingComponents {
  readonly settings: ServingSettings;
  readonly view: FleetView;
  readonly access: AccessControl;
  /** Memory for the bodies of requests whose responses have not ended. */
  readonly requestBodies: BufferBudget;
  readonly runner: ForwardRunner;
  readonly acceptance: JobAcceptance;
  readonly reader: JobReader;
  readonly jobs: JobRunner;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly organisationUsage: OrganisationUsage;
  readonly log: DecisionLog;
  /** Whether the load balancer should route callers to this instance. */
  isReady(): boolean;
  /** Whether a request may be refused for good because the configuration in force lacks what it names. */
  mayRefuseForGood(): boolean;
  /** Whether shutdown has begun. */
  isStopping(): boolean;
  /** What happens when until the process is killed; undefined until shutdown begins. */
  stopSchedule(): StopSchedule | undefined;
  /** State of all components, for the state dump endpoint. */
  dump(): Record<string, unknown>;
}

/** A running instance. */
export interface ServingInstance {
  readonly instanceId: string;
  readonly components: ServingComponents;
  /** Starts a component, such as an HTTP server. The instance drains and stops it at shutdown. */
  own(part: ManagedPart): Promise<void>;
  /** Completes accepted work and stops the instance. Repeated calls change nothing. */
  close(): Promise<void>;
  /** Stops the instance without waiting for accepted work any longer. */
  closeNow(): Promise<void>;
}

/** What the process that runs the instance adds to it. */
export interface ProcessHooks {
  /** Aborted when the start is to be given up. The start rejects then, after the parts that had been started are closed. */
  readonly abandon?: AbortSignal;
  /** State of the process for the state dump. */
  readonly dump?: () => Record<string, unknown>;
}

/**
 * Binds the HTTP servers of an instance before it opens its first connection, whose local port may be one that they need. Addresses that
 * another process holds are waited for until the monotonic time `untilMs`. Returns the bound servers, which the instance drains
 * and stops at shutdown.
 */
export type ServerBinder = (
  components: ServingComponents,
  untilMs: number,
) => Promise<readonly ManagedPart[]>;

/** Periods of the tick loop, with and without work in progress. */
const TICK_PERIODS = { busyMs: 10, idleMs: 50 } as const;

/**
 * Starts an instance with the HTTP servers that `bindServers` returns. Addresses that another process holds are waited for until a
 * process before this one must have ended. Rejects when the peer address cannot be bound, or when `bindServers` rejects.
 */
export async function startServing(
  settings: ServingSettings,
  adapters: ServingAdapters,
  logger: Logger,
  onError: (error: unknown) => void,
  bindServers: ServerBinder = () => Promise.resolve([]),
  hooks: ProcessHooks = {},
): Promise<ServingInstance> {
  const instanceId = newId(settings.instanceName);
  const container = buildContainer(settings, adapters, instanceId, logger, onError);
  return new ServingStarter(settings, instanceId, container, onError, hooks).start(bindServers);
}

/** Starts the components in dependency order and registers their clean-up with the life cycle. */
class ServingStarter {
  private readonly lifeCycle: LifeCycle;
  private started = false;
  private stopping = false;
  private schedule: StopSchedule | undefined;

  constructor(
    private readonly settings: ServingSettings,
    private readonly instanceId: string,
    private readonly container: Container,
    private readonly onError: (error: unknown) => void,
    private readonly hooks: ProcessHooks,
  ) {
    this.lifeCycle = new LifeCycle(hooks.abandon);
  }

  /** Starts all components. If one fails, those that had been started are closed. */
  async start(bindServers: ServerBinder): Promise<ServingInstance> {
    try {
      return await this.startAll(bindServers);
    } catch (error) {
      await this.lifeCycle.closeNow();
      throw error;
    }
  }

  private async startAll(bindServers: ServerBinder): Promise<ServingInstance> {
    const { container, instanceId, settings } = this;
    const components = this.components();
    const servers = await this.bindAddresses(bindServers, components);
    await this.startMembers();
    await this.startSystems();
    await servers.reduce(
      (previous, server) => previous.then(() => this.lifeCycle.start(server)),
      Promise.resolve(),
    );
    this.started = true;
    const log = container.get(Tokens.log);
    const { failureDomain, coordinates } = settings;
    log.record(LogCategory.state, 'instance_started', {
      instanceId,
      failureDomain,
      coordinates,
      startUpMs: Math.round(performance.now()),
    });
    return {
      instanceId,
      components,
      own: (part) => this.lifeCycle.start(part),
      close: () => this.close(),
      closeNow: () => {
        void this.close();
        return this.lifeCycle.closeNow();
      },
    };
  }

  /** Binds the address for other instances last, since they rely on an instance that responds there. */
  private async bindAddresses(
    bindServers: ServerBinder,
    components: ServingComponents,
  ): Promise<readonly ManagedPart[]> {
    const { container, settings } = this;
    const untilMs = performance.now() + settings.shutdown.graceMs + ADDRESS_WAIT_MARGIN_MS;
    const originJournal = container.get(Tokens.originJournal);
    const [servers] = await Promise.all([
      bindServers(components, untilMs),
      // Before other instances can ask for what is on the disk.
      originJournal && this.lifeCycle.start(originJournal),
    ]);
    const node = container.get(Tokens.node);
    await node.listen(container.get(Tokens.log), untilMs);
    await this.lifeCycle.start({ name: 'peers', stop: () => node.close() });
    return servers;
  }

  private close(): Promise<void> {
    if (!this.stopping) {
      this.stopping = true;
      this.container.get(Tokens.relayServer).refuseNewCalls();
      const { graceMs, noticeMs } = this.settings.shutdown;
      this.schedule = stopSchedule(performance.now(), graceMs, noticeMs);
      this.container.get(Tokens.log).record(LogCategory.state, 'instance_stopping', {
        instanceId: this.instanceId,
        graceMs,
        openRequests: this.container.get(Tokens.runner).openRequests,
      });
    }
    return this.lifeCycle.close();
  }

  private async startMembers(): Promise<void> {
    const { container } = this;
    const membership = container.get(Tokens.membership);
    await this.lifeCycle.start({
      name: 'members',
      start: () => membership.start(),
      drain: () => Promise.resolve(membership.leave()),
      stop: () => membership.stop(),
    });
    await this.lifeCycle.start(
      new MemberDiscovery(
        container.get(Tokens.adapters).instanceList,
        this.settings.seedAddresses,
        container.get(Tokens.self),
        membership,
        container.get(Tokens.clock),
        container.get(Tokens.log),
      ),
    );
  }

  private async startSystems(): Promise<void> {
    const { container } = this;
    const host = container.get(Tokens.host);
    const permits = container.get(Tokens.permits);
    const jobs = container.get(Tokens.jobs);
    const fleetViewUpdater = container.get(Tokens.fleetViewUpdater);
    const observations = container.get(Tokens.observations);
    const tick = new TickLoop(
      [
        fleetViewUpdater,
        host,
        permits,
        jobs,
        container.get(Tokens.origins),
        observations,
        container.get(Tokens.keyConfirmation),
        container.get(Tokens.transport),
        new MembershipLog(() => container.get(Tokens.membership), container.get(Tokens.log)),
        new MemoryWatch(this.settings.memoryMb, container.get(Tokens.log)),
      ],
      TICK_PERIODS,
      (error, system) => this.onSystemError(error, system),
    );
    host.connect(permits, () => tick.wake());
    host.onObserved(() => observations.onObserved());
    container.get(Tokens.view).onChange(() => tick.wake());
    await this.lifeCycle.start({
      name: 'tick',
      start: () => tick.start(),
      stop: () => {
        fleetViewUpdater.stop();
        tick.stop();
      },
    });
    const relayServer = container.get(Tokens.relayServer);
    await this.lifeCycle.start({
      name: relayServer.name,
      drain: (signal) => relayServer.drain(AbortSignal.any([signal, this.closeTime()])),
      stop: () => relayServer.stop(),
    });
    await this.lifeCycle.start({ name: 'jobs', drain: () => jobs.drain() });
  }

  /** The run of one system has failed; it is run again with the next tick. */
  private onSystemError(error: unknown, system: string): void {
    if (isFatalError(error)) this.onError(error);
    else
      this.container
        .get(Tokens.log)
        .record(LogCategory.failure, 'system_error', { system, ...errorFields(error) });
  }

  /** Aborted when all requests must have ended, so that holders hear of it before the process is killed. */
  private closeTime(): AbortSignal {
    const leftMs = (this.schedule?.closeByMs ?? 0) - performance.now();
    return AbortSignal.timeout(timerMs(Math.ceil(leftMs)));
  }

  private components(): ServingComponents {
    const { container } = this;
    const view = container.get(Tokens.view);
    const fleetViewUpdater = container.get(Tokens.fleetViewUpdater);
    const keyConfirmation = container.get(Tokens.keyConfirmation);
    return {
      settings: this.settings,
      view,
      access: container.get(Tokens.access),
      requestBodies: container.get(Tokens.requestBodies),
      runner: container.get(Tokens.runner),
      acceptance: container.get(Tokens.acceptance),
      reader: container.get(Tokens.reader),
      jobs: container.get(Tokens.jobs),
      store: container.get(Tokens.store),
      clock: container.get(Tokens.clock),
      metrics: container.get(Tokens.metrics),
      organisationUsage: container.get(Tokens.organisationUsage),
      log: container.get(Tokens.log),
      isReady: () =>
        this.started &&
        !this.stopping &&
        view.routes !== undefined &&
        view.replicas.revision > 0 &&
        keyConfirmation.isConfirmed &&
        !fleetViewUpdater.isCutOff,
      mayRefuseForGood: () => fleetViewUpdater.mayRefuseForGood,
      isStopping: () => this.stopping,
      stopSchedule: () => this.schedule,
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
      view: container.get(Tokens.fleetViewUpdater).dump(),
      keys: container.get(Tokens.keyConfirmation).dump(),
      organisations: container.get(Tokens.organisationUsage).dump(),
      pools: container.get(Tokens.host).dump(),
      permits: container.get(Tokens.permits).dump(),
      direct: container.get(Tokens.direct).dump(),
      replicaPaths: container.get(Tokens.transport).dump(),
      streamOrigins: container.get(Tokens.origins).dump(),
      jobs: container.get(Tokens.jobs).dump(),
      store: container.get(Tokens.store).dump(),
      peers: container.get(Tokens.node).dump(),
      metrics: container.get(Tokens.metrics).dump(),
      ...(this.hooks.dump ? { process: this.hooks.dump() } : {}),
    };
  }
}

/** Starts and stops a serving instance on the adapters of a hosting platform. */
import type { Clock, DecisionLog, ManagedPart, Metrics } from '@fighub/core';
import { LifeCycle, LogCategory, TickLoop, newId } from '@fighub/core';
import type { StopSchedule } from '@fighub/decisions';
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
import type { BufferBudget } from './online/buffer-budget.js';
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
  /** Completes accepted work and stops the instance. A second call ends the drain early. */
  close(): Promise<void>;
}

/** Periods of the tick loop, with and without work in progress. */
const TICK_PERIODS = { busyMs: 10, idleMs: 50 } as const;
const MS_PER_S = 1_000;

/**
 * Starts an instance without HTTP servers; the caller adds them with `own`. Rejects when the peer port cannot
 * be opened.
 */
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

/** Starts the components in dependency order and registers their clean-up with the life cycle. */
class ServingStarter {
  private readonly lifeCycle = new LifeCycle();
  private stopping = false;
  private schedule: StopSchedule | undefined;

  constructor(
    private readonly settings: ServingSettings,
    private readonly instanceId: string,
    private readonly container: Container,
    private readonly onError: (error: unknown) => void,
  ) {}

  async start(): Promise<ServingInstance> {
    const { container, instanceId, settings } = this;
    const originJournal = container.get(Tokens.originJournal);
    // Before other instances can ask for what is on the disk.
    if (originJournal) await this.lifeCycle.start(originJournal);
    const node = container.get(Tokens.node);
    await node.listen();
    await this.lifeCycle.start({ name: 'peers', stop: () => node.close() });
    await this.startMembers();
    await this.startSystems();
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
      components: this.components(),
      own: (part) => this.lifeCycle.start(part),
      close: () => this.close(),
    };
  }

  private close(): Promise<void> {
    if (!this.stopping) {
      this.stopping = true;
      this.container.get(Tokens.relayServer).refuseNewCalls();
      const { graceMs, graceS, noticeMs } = this.settings.shutdown;
      const killedAfterMs = graceS === undefined ? graceMs : graceS * MS_PER_S;
      this.schedule = stopSchedule(performance.now(), killedAfterMs, noticeMs);
      this.container.get(Tokens.log).record(LogCategory.state, 'instance_stopping', {
        instanceId: this.instanceId,
        graceMs: killedAfterMs,
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
      ],
      TICK_PERIODS,
      this.onError,
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

  /** Aborted when all requests must have ended, so that holders hear of it before the process is killed. */
  private closeTime(): AbortSignal {
    const leftMs = (this.schedule?.closeByMs ?? 0) - performance.now();
    return AbortSignal.timeout(Math.max(0, Math.ceil(leftMs)));
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
    };
  }
}

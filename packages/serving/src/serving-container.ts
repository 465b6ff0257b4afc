/** Builds the dependency injection container of a serving instance. */
import { DirectDispatch, PermitClient, PoolHost, UpstreamStates } from '@fighub/admission';
import type { Clock } from '@fighub/core';
import {
  DecisionLog,
  LogCategory,
  Metrics,
  SystemClock,
  bindPart,
  errorFields,
  isFatalError,
  splitAddress,
} from '@fighub/core';
import type { GetPart } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { BufferBudget, memoryShares, unprovenConnections } from '@fighub/decisions';
import type { InstanceList, KeyValueService, LoadReader } from '@fighub/outside';
import { ExpiringLog, RecordStore } from '@fighub/outside';
import { MembershipRunner, PeerNode } from '@fighub/peers';
import type { ServiceIdentifier } from 'inversify';
import { Container } from 'inversify';
import type { Logger } from 'pino';

import { AccessControl } from './access/access-control.js';
import { KeyConfirmation } from './access/key-confirmation.js';
import { OrganisationUsage } from './access/organisation-usage.js';
import { BacklogView } from './batch/backlog-view.js';
import { InputCache } from './batch/input-cache.js';
import type { ItemRunDependencies } from './batch/item-run.js';
import { JobAcceptance } from './batch/job-acceptance.js';
import { JobReader } from './batch/job-reader.js';
import { JobRunner } from './batch/job-runner.js';
import type { DirectTransport } from './online/forwarding.js';
import { CopyDelays } from './online/copy-delays.js';
import type { ForwardDependencies } from './online/forward-run.js';
import { ForwardRunner } from './online/forward-runner.js';
import type { FleetSource } from './routing/fleet-source.js';
import { RelayClient } from './relay/relay-client.js';
import { RelayServer } from './relay/relay-server.js';
import { RelayedTransport } from './relay/relayed-transport.js';
import { RelayedStore } from './relayed-store.js';
import { OriginJournal } from './online/origin-journal.js';
import { StreamOriginExchange } from './online/stream-origin-exchange.js';
import { FleetView } from './routing/fleet-view.js';
import { ServicePoolCatalogue } from './routing/service-pool-catalogue.js';
import { FleetViewUpdater } from './routing/fleet-view-updater.js';
import { LeavingAnnouncements } from './routing/leaving-announcements.js';
import { ObservationExchange } from './routing/observation-exchange.js';
import type { ServingSettings } from './settings.js';

/** Adapters that a hosting platform implements so that instances can run on it. */
export interface ServingAdapters {
  readonly keyValueService: KeyValueService;
  readonly fleetSource: FleetSource;
  readonly instanceList: InstanceList;
  readonly transport: DirectTransport;
}

/**
 * Replicas are not polled for load, because each poll costs a call. Their load is judged by the permits that are
 * granted for them and by the numbers of streams that they report with their responses.
 */
const NO_LOAD_READER: LoadReader = { load: () => Promise.resolve(undefined) };

const MS_PER_S = 1_000;
/** Name of the files in which coordinators record where streams began. */
const ORIGIN_LOG_NAME = 'stream-origins';

function token<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`fighub/serving/${name}`) as ServiceIdentifier<T>;
}

/** Injection tokens of the components. */
export const Tokens = {
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
  fleetViewUpdater: token<FleetViewUpdater>('fleetViewUpdater'),
  keyConfirmation: token<KeyConfirmation>('keyConfirmation'),
  access: token<AccessControl>('access'),
  requestBodies: token<BufferBudget>('requestBodies'),
  organisationUsage: token<OrganisationUsage>('organisationUsage'),
  catalogue: token<ServicePoolCatalogue>('catalogue'),
  host: token<PoolHost>('host'),
  direct: token<DirectDispatch>('direct'),
  permits: token<PermitClient>('permits'),
  origins: token<StreamOriginExchange>('origins'),
  originJournal: token<OriginJournal | undefined>('originJournal'),
  leavingAnnouncements: token<LeavingAnnouncements>('leavingAnnouncements'),
  observations: token<ObservationExchange>('observations'),
  transport: token<RelayedTransport>('transport'),
  relayServer: token<RelayServer>('relayServer'),
  runner: token<ForwardRunner>('runner'),
  inputs: token<InputCache>('inputs'),
  backlog: token<BacklogView>('backlog'),
  jobs: token<JobRunner>('jobs'),
  reader: token<JobReader>('reader'),
  acceptance: token<JobAcceptance>('acceptance'),
} as const;

/** Returns a container with all components of an instance, which are built on first use. */
export function buildContainer(
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
  const { host, port } = splitAddress(settings.peerAddress);
  const nodeOptions = {
    instanceId,
    host,
    port,
    secret: settings.fleetSecret,
    maxUnprovenConnections: unprovenConnections(settings.maxFds),
  };
  container.bind(Tokens.settings).toConstantValue(settings);
  container.bind(Tokens.adapters).toConstantValue(adapters);
  container.bind(Tokens.clock).toConstantValue(clock);
  container.bind(Tokens.metrics).toConstantValue(metrics);
  container.bind(Tokens.log).toConstantValue(log);
  const onMessageError = (error: unknown, message: string): void => {
    if (isFatalError(error)) onError(error);
    else log.record(LogCategory.failure, 'peer_message_error', { message, ...errorFields(error) });
  };
  container.bind(Tokens.node).toConstantValue(new PeerNode(nodeOptions, metrics, onMessageError));
  container.bind(Tokens.view).toConstantValue(new FleetView());
  const { requestBodyBytes } = memoryShares(settings.memoryMb);
  container.bind(Tokens.requestBodies).toConstantValue(new BufferBudget(requestBodyBytes));
  container.bind(Tokens.organisationUsage).toConstantValue(new OrganisationUsage());
  container.bind(Tokens.self).toConstantValue({
    instanceId,
    failureDomain: settings.failureDomain,
    peerAddress: settings.peerAddress,
    state: 'alive',
    incarnation: 1,
    schedules: settings.coordinates,
  });
  bindFleet(container);
  bindAccess(container);
  bindAdmission(container);
  bindBatch(container);
  return container;
}

function bindFleet(container: Container): void {
  bindPart(container, Tokens.store, (get) => {
    const { readsPerSecond, writesPerSecond, fleetShare, deadlineMs } = get(Tokens.settings).store;
    const options = {
      readsPerSecond: readsPerSecond * fleetShare,
      writesPerSecond: writesPerSecond * fleetShare,
      deadlineMs,
    };
    return new RecordStore(relayedStore(get), options, get(Tokens.clock), get(Tokens.metrics));
  });
  bindPart(
    container,
    Tokens.fleetViewUpdater,
    (get) =>
      new FleetViewUpdater(
        get(Tokens.view),
        get(Tokens.adapters).fleetSource,
        get(Tokens.node),
        () => get(Tokens.membership),
        () => get(Tokens.self),
        get(Tokens.settings).coordinates,
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
        get(Tokens.backlog),
        (askedAt) => get(Tokens.keyConfirmation).onNewestRead(askedAt),
      ),
  );
  bindPart(
    container,
    Tokens.membership,
    (get) =>
      new MembershipRunner(
        get(Tokens.self),
        get(Tokens.settings).peers,
        get(Tokens.node),
        get(Tokens.fleetViewUpdater),
        get(Tokens.metrics),
        Math.random,
      ),
  );
}

function bindAccess(container: Container): void {
  bindPart(
    container,
    Tokens.keyConfirmation,
    (get) =>
      new KeyConfirmation({
        view: get(Tokens.view),
        source: get(Tokens.adapters).fleetSource,
        selfId: get(Tokens.self).instanceId,
        withdrawalLimitMs: get(Tokens.settings).organisations.keyWithdrawalLimitMs,
        members: () => get(Tokens.membership),
        node: get(Tokens.node),
        apply: (configuration) => get(Tokens.fleetViewUpdater).applyConfigurationFrom(configuration, 'store'),
        fetchFrom: (address) => get(Tokens.fleetViewUpdater).fetchFrom(address),
        clock: get(Tokens.clock),
        metrics: get(Tokens.metrics),
        log: get(Tokens.log),
        random: Math.random,
      }),
  );
  bindPart(
    container,
    Tokens.access,
    (get) =>
      new AccessControl(
        get(Tokens.view),
        get(Tokens.keyConfirmation),
        get(Tokens.metrics),
        get(Tokens.log),
        () => get(Tokens.fleetViewUpdater).mayRefuseForGood,
      ),
  );
}

function bindAdmission(container: Container): void {
  bindPart(container, Tokens.catalogue, (get) => poolCatalogue(get));
  bindPart(
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
  bindPart(
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
        get(Tokens.log),
      ),
  );
  bindPart(
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
        () => get(Tokens.fleetViewUpdater).isCutOff,
        get(Tokens.clock),
        get(Tokens.metrics),
        Math.random,
      ),
  );
  bindPart(
    container,
    Tokens.origins,
    (get) =>
      new StreamOriginExchange(
        () => get(Tokens.self).instanceId,
        () => get(Tokens.membership),
        get(Tokens.node),
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
        get(Tokens.originJournal),
      ),
  );
  bindPart(container, Tokens.originJournal, (get) => {
    const { dataDirectory } = get(Tokens.settings);
    if (dataDirectory === undefined) return undefined;
    return new OriginJournal(
      (nowUnixMs) => ExpiringLog.open(dataDirectory, ORIGIN_LOG_NAME, nowUnixMs),
      (origins) => get(Tokens.origins).restore(origins),
      get(Tokens.clock),
      get(Tokens.metrics),
      get(Tokens.log),
    );
  });
  bindPart(
    container,
    Tokens.leavingAnnouncements,
    (get) =>
      new LeavingAnnouncements(
        get(Tokens.self).instanceId,
        get(Tokens.view),
        (poolId) => get(Tokens.host).ownerOfPool(poolId),
        () => get(Tokens.membership),
        get(Tokens.node),
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  bindPart(
    container,
    Tokens.observations,
    (get) =>
      new ObservationExchange(
        get(Tokens.self).instanceId,
        {
          view: get(Tokens.view),
          clock: get(Tokens.clock),
          metrics: get(Tokens.metrics),
          log: get(Tokens.log),
        },
        () => get(Tokens.membership),
        get(Tokens.node),
      ),
  );
  bindPart(container, Tokens.transport, (get) => relayedTransport(get));
  bindPart(
    container,
    Tokens.relayServer,
    (get) =>
      new RelayServer(
        {
          direct: get(Tokens.transport).directPath,
          view: get(Tokens.view),
          leavingAnnouncements: get(Tokens.leavingAnnouncements),
          members: () => get(Tokens.membership),
          node: get(Tokens.node),
          requestBodies: get(Tokens.requestBodies),
          clock: get(Tokens.clock),
          metrics: get(Tokens.metrics),
          log: get(Tokens.log),
        },
        () => get(Tokens.transport).arePathsLost,
      ),
  );
  bindPart(
    container,
    Tokens.runner,
    (get) =>
      new ForwardRunner({
        ...runDependencies(get),
        readDirectoryNow: (timeoutMs) => get(Tokens.fleetViewUpdater).readDirectoryNow(timeoutMs),
        organisationUsage: get(Tokens.organisationUsage),
        responseBuffers: new BufferBudget(memoryShares(get(Tokens.settings).memoryMb).responseBytes),
        copyDelays: get(Tokens.settings).hedging.maxExtraFraction > 0 ? new CopyDelays() : undefined,
      }),
  );
}

function poolCatalogue(get: GetPart): ServicePoolCatalogue {
  const { quotaWindowS, quotaOverageFraction, quotaSlackRequests } = get(Tokens.settings).organisations;
  const tolerance = {
    windowMs: quotaWindowS * MS_PER_S,
    overageFraction: quotaOverageFraction,
    slackRequests: quotaSlackRequests,
  };
  const { maxExtraFraction } = get(Tokens.settings).hedging;
  return new ServicePoolCatalogue(get(Tokens.view), tolerance, maxExtraFraction);
}

function relayedStore(get: GetPart): RelayedStore {
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

function relayedTransport(get: GetPart): RelayedTransport {
  const self = get(Tokens.self);
  const client = new RelayClient({
    selfId: self.instanceId,
    failureDomain: self.failureDomain,
    members: () => get(Tokens.membership),
    node: get(Tokens.node),
    clock: get(Tokens.clock),
    metrics: get(Tokens.metrics),
  });
  return new RelayedTransport({
    direct: get(Tokens.adapters).transport,
    client,
    clock: get(Tokens.clock),
    metrics: get(Tokens.metrics),
    log: get(Tokens.log),
  });
}

function runDependencies(
  get: GetPart,
): Omit<ForwardDependencies, 'copyDelays' | 'organisationUsage' | 'readDirectoryNow' | 'responseBuffers'> &
  Omit<ItemRunDependencies, 'confirmConfiguration'> {
  return {
    view: get(Tokens.view),
    permits: get(Tokens.permits),
    transport: get(Tokens.transport),
    origins: get(Tokens.origins),
    leavingAnnouncements: get(Tokens.leavingAnnouncements),
    clock: get(Tokens.clock),
    metrics: get(Tokens.metrics),
    log: get(Tokens.log),
    random: Math.random,
  };
}

function bindBatch(container: Container): void {
  const selfId = (get: GetPart) => () => get(Tokens.self).instanceId;
  bindPart(container, Tokens.backlog, (get) => new BacklogView(get(Tokens.clock)));
  bindPart(
    container,
    Tokens.inputs,
    (get) => new InputCache(get(Tokens.store), memoryShares(get(Tokens.settings).memoryMb).jobInputBytes),
  );
  bindPart(
    container,
    Tokens.jobs,
    (get) =>
      new JobRunner(
        selfId(get),
        get(Tokens.settings).coordinates,
        get(Tokens.store),
        get(Tokens.inputs),
        get(Tokens.backlog),
        () => get(Tokens.membership),
        get(Tokens.node),
        {
          ...runDependencies(get),
          confirmConfiguration: () => get(Tokens.fleetViewUpdater).confirmConfiguration(),
        },
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  bindPart(
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
        () => get(Tokens.fleetViewUpdater).mayRefuseForGood,
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
  bindPart(
    container,
    Tokens.acceptance,
    (get) =>
      new JobAcceptance(
        selfId(get),
        get(Tokens.store),
        get(Tokens.inputs),
        get(Tokens.backlog),
        () => get(Tokens.membership),
        () => get(Tokens.fleetViewUpdater).isCutOff,
        (progress) => {
          get(Tokens.reader).recordProgress(progress);
          get(Tokens.jobs).offer(progress);
        },
        get(Tokens.clock),
        get(Tokens.metrics),
        get(Tokens.log),
      ),
  );
}

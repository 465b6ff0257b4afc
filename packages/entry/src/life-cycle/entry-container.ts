/** Dependency injection container of an entry instance. */
import 'reflect-metadata';

import { DirectDispatch, PermitClient, PoolHost, UpstreamStates } from '@fighub/admission';
import {
  BackgroundTasks,
  DecisionLog,
  LogCategory,
  Metrics,
  SystemClock,
  bindPart,
  errorFields,
  isFatalError,
} from '@fighub/core';
import type { GetPart, LineWriter, MetricsSink } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { unprovenConnections } from '@fighub/decisions';
import { MembershipRunner, PeerNode } from '@fighub/peers';
import {
  EtcdKeyValueService,
  HttpEngine,
  HttpEngineOrders,
  HttpInstanceList,
  HttpPlainService,
  RecordStore,
} from '@fighub/outside';
import { Container } from 'inversify';

import { BatchRunner } from '../batch/batch-runner.js';
import { CompletionRunner } from '../online/completion-runner.js';
import { Gateway } from '../online/gateway.js';
import { JobCollector } from '../batch/job-collector.js';
import { JobIntake } from '../batch/job-intake.js';
import { JobReader } from '../batch/job-reader.js';
import { IdempotencyRecords } from '../online/idempotency-records.js';
import { OrderIssuer } from '../operators/order-issuer.js';
import type { EntrySettings } from '../settings.js';
import { AdmissionStrategy } from '../settings.js';
import { TablePoolCatalogue } from '../table/table-pool-catalogue.js';
import { TableReplication } from '../table/table-replication.js';
import { TableStore } from '../table/table-store.js';
import type { Crash } from './tokens.js';
import { Tokens } from './tokens.js';

/** Values that are known before any component is built. */
export interface ContainerInput {
  readonly settings: EntrySettings;
  readonly instanceId: string;
  /** Ends the process after an error from which it cannot safely continue. */
  readonly crash: Crash;
  readonly logger: LineWriter;
  /** Receives all counters and samples, in addition to the state dump. */
  readonly sink?: MetricsSink;
}

/**
 * Builds a container with all components except `Tokens.self`. `bindSelf` binds that one once the peer port is
 * known.
 */
export function buildContainer(input: ContainerInput): Container {
  const container = new Container({ defaultScope: 'Singleton' });
  container.bind(Tokens.settings).toConstantValue(input.settings);
  container.bind(Tokens.crash).toConstantValue(input.crash);
  const clock = new SystemClock();
  const metrics = new Metrics(input.sink);
  container.bind(Tokens.clock).toConstantValue(clock);
  container.bind(Tokens.metrics).toConstantValue(metrics);
  const log = new DecisionLog(input.logger, clock, metrics);
  container.bind(Tokens.log).toConstantValue(log);
  const tasks = new BackgroundTasks((task, error) => {
    if (isFatalError(error)) input.crash(error);
    else log.record(LogCategory.failure, 'background_task_error', { task, ...errorFields(error) });
  });
  container.bind(Tokens.tasks).toConstantValue(tasks);
  bindExternalServices(container);
  bindPeers(container, input.instanceId);
  bindTable(container);
  bindOnline(container);
  bindBatch(container);
  return container;
}

/** Binds `Tokens.self`. Must run before any component that depends on it is requested. */
export function bindSelf(container: Container, self: MemberUpdate): void {
  container.bind(Tokens.self).toConstantValue(self);
}

function bindExternalServices(container: Container): void {
  bindPart(container, Tokens.keyValueService, (get) => {
    const { keyValueService, host } = get(Tokens.settings);
    return new EtcdKeyValueService({ ...keyValueService, localAddress: host });
  });
  bindPart(container, Tokens.store, (get) => {
    const options = get(Tokens.settings).keyValueService;
    return new RecordStore(get(Tokens.keyValueService), options, get(Tokens.clock), get(Tokens.metrics));
  });
  bindPart(container, Tokens.instanceList, (get) => {
    const { instanceList, host } = get(Tokens.settings);
    return new HttpInstanceList(instanceList.address, instanceList.timeoutMs, host);
  });
  bindPart(container, Tokens.engine, (get) => new HttpEngine(get(Tokens.settings).host));
  bindPart(container, Tokens.plainService, (get) => new HttpPlainService(get(Tokens.settings).host));
  bindPart(container, Tokens.upstreams, (get) => new UpstreamStates(get(Tokens.clock)));
  bindPart(
    container,
    Tokens.orders,
    (get) =>
      new OrderIssuer(
        get(Tokens.store),
        new HttpEngineOrders(get(Tokens.settings).host),
        get(Tokens.table),
        get(Tokens.upstreams),
        get(Tokens.settings).weightStoreLoadsPerMinute,
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
}

function bindPeers(container: Container, instanceId: string): void {
  bindPart(container, Tokens.peerNode, (get) => {
    const { host, peerPort, fleetSecret, maxFds } = get(Tokens.settings);
    const maxUnprovenConnections = unprovenConnections(maxFds);
    const options = { instanceId, host, port: peerPort, secret: fleetSecret, maxUnprovenConnections };
    return new PeerNode(options, get(Tokens.metrics), (error, message) => {
      if (isFatalError(error)) get(Tokens.crash)(error);
      else
        get(Tokens.log).record(LogCategory.failure, 'peer_message_error', { message, ...errorFields(error) });
    });
  });
  bindPart(container, Tokens.membership, (get) => {
    const replication = get(Tokens.tableReplication);
    const piggyback = {
      tableDigest: () => ({ revisions: get(Tokens.table).revisions() }),
      onPeerTable: replication.onPeerTable.bind(replication),
    };
    const options = get(Tokens.settings).peers;
    const node = get(Tokens.peerNode);
    return new MembershipRunner(get(Tokens.self), options, node, piggyback, get(Tokens.metrics), Math.random);
  });
}

function bindTable(container: Container): void {
  bindPart(
    container,
    Tokens.catalogue,
    (get) => new TablePoolCatalogue(get(Tokens.table), get(Tokens.upstreams)),
  );
  bindPart(
    container,
    Tokens.table,
    (get) =>
      new TableStore(get(Tokens.store), get(Tokens.tasks), get(Tokens.metrics), () =>
        get(Tokens.clock).nowUnixMs(),
      ),
  );
  bindPart(
    container,
    Tokens.tableReplication,
    (get) =>
      new TableReplication(
        get(Tokens.table),
        get(Tokens.store),
        get(Tokens.peerNode),
        () => get(Tokens.membership),
        get(Tokens.self),
        get(Tokens.tasks),
        get(Tokens.metrics),
      ),
  );
}

function bindOnline(container: Container): void {
  const isBaseline = (get: GetPart): boolean =>
    get(Tokens.settings).online.admission === AdmissionStrategy.laggingLoad;
  bindPart(
    container,
    Tokens.host,
    (get) =>
      new PoolHost(
        get(Tokens.self).instanceId,
        get(Tokens.catalogue),
        get(Tokens.upstreams),
        () => get(Tokens.membership),
        get(Tokens.peerNode),
        get(Tokens.engine),
        get(Tokens.clock),
        get(Tokens.metrics),
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
        get(Tokens.engine),
        !isBaseline(get),
        get(Tokens.clock),
        get(Tokens.metrics),
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
        get(Tokens.peerNode),
        get(Tokens.settings).peers.acquireTimeoutMs,
        isBaseline(get),
        () => false,
        get(Tokens.clock),
        get(Tokens.metrics),
        Math.random,
      ),
  );
  bindPart(container, Tokens.runner, (get) => {
    const { headersLimitMs, gapLimitMs, retryFraction } = get(Tokens.settings).online;
    return new CompletionRunner(
      get(Tokens.permits),
      get(Tokens.engine),
      get(Tokens.upstreams),
      { headersMs: headersLimitMs, gapMs: gapLimitMs },
      retryFraction,
      get(Tokens.clock),
      get(Tokens.metrics),
    );
  });
  bindPart(
    container,
    Tokens.once,
    (get) =>
      new IdempotencyRecords(
        get(Tokens.self).instanceId,
        get(Tokens.store),
        get(Tokens.peerNode),
        () => get(Tokens.membership),
        get(Tokens.tasks),
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
  bindPart(
    container,
    Tokens.gateway,
    (get) =>
      new Gateway(
        get(Tokens.table),
        get(Tokens.runner),
        get(Tokens.plainService),
        get(Tokens.once),
        get(Tokens.settings).online.maxBodyBytes,
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
}

function bindBatch(container: Container): void {
  bindPart(
    container,
    Tokens.intake,
    (get) =>
      new JobIntake(get(Tokens.store), get(Tokens.settings).batch, get(Tokens.clock), get(Tokens.metrics)),
  );
  bindPart(
    container,
    Tokens.reader,
    (get) => new JobReader(get(Tokens.store), get(Tokens.clock), (jobId) => notifyCancelled(get, jobId)),
  );
  bindPart(
    container,
    Tokens.batch,
    (get) =>
      new BatchRunner(
        get(Tokens.self).instanceId,
        get(Tokens.store),
        get(Tokens.runner),
        get(Tokens.reader),
        get(Tokens.permits),
        get(Tokens.table),
        () => get(Tokens.membership),
        get(Tokens.peerNode),
        get(Tokens.settings).batch,
        get(Tokens.tasks),
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
  bindPart(
    container,
    Tokens.collector,
    (get) =>
      new JobCollector(
        get(Tokens.self).instanceId,
        get(Tokens.store),
        get(Tokens.table),
        () => get(Tokens.membership).owners(),
        get(Tokens.tasks),
        get(Tokens.clock),
        get(Tokens.metrics),
      ),
  );
}

/**
 * Notifies all live instances that a job is cancelled. An instance that misses the notice finds the cancellation in
 * the index of open jobs.
 */
function notifyCancelled(get: GetPart, jobId: string): void {
  const { instanceId } = get(Tokens.self);
  get(Tokens.membership)
    .owners()
    .filter((member) => member.instanceId !== instanceId)
    .forEach((member) => get(Tokens.peerNode).notify(member.peerAddress, 'job.cancelled', { jobId }));
  get(Tokens.batch).onCancelled(jobId);
}

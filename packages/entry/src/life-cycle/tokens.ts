/** Tokens of the dependency injection container. */
import type {
  DirectDispatch,
  PermitClient,
  PoolCatalogue,
  PoolHost,
  UpstreamStates,
} from '@fighub/admission';
import type { BackgroundTasks, Clock, DecisionLog, Metrics } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import type { HttpEngine, InstanceList, KeyValueService, PlainService, RecordStore } from '@fighub/outside';
import type { ServiceIdentifier } from 'inversify';

import type { BatchRunner } from '../batch/batch-runner.js';
import type { CompletionRunner } from '../online/completion-runner.js';
import type { Gateway } from '../online/gateway.js';
import type { JobCollector } from '../batch/job-collector.js';
import type { JobIntake } from '../batch/job-intake.js';
import type { JobReader } from '../batch/job-reader.js';
import type { IdempotencyRecords } from '../online/idempotency-records.js';
import type { OrderIssuer } from '../operators/order-issuer.js';
import type { EntrySettings } from '../settings.js';
import type { TableReplication } from '../table/table-replication.js';
import type { TableStore } from '../table/table-store.js';

/** Ends the process after an error from which it cannot safely continue. */
export type Crash = (error: unknown) => void;

function token<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`fighub/${name}`) as ServiceIdentifier<T>;
}

/** One token for each component, with the type that the container returns for it. */
export const Tokens = {
  settings: token<EntrySettings>('settings'),
  self: token<MemberUpdate>('self'),
  crash: token<Crash>('crash'),
  tasks: token<BackgroundTasks>('tasks'),
  log: token<DecisionLog>('log'),
  clock: token<Clock>('clock'),
  metrics: token<Metrics>('metrics'),
  keyValueService: token<KeyValueService>('keyValueService'),
  store: token<RecordStore>('store'),
  instanceList: token<InstanceList>('instanceList'),
  engine: token<HttpEngine>('engine'),
  plainService: token<PlainService>('plainService'),
  peerNode: token<PeerNode>('peerNode'),
  membership: token<MembershipRunner>('membership'),
  upstreams: token<UpstreamStates>('upstreams'),
  table: token<TableStore>('table'),
  tableReplication: token<TableReplication>('tableReplication'),
  catalogue: token<PoolCatalogue>('catalogue'),
  host: token<PoolHost>('host'),
  direct: token<DirectDispatch>('direct'),
  permits: token<PermitClient>('permits'),
  runner: token<CompletionRunner>('runner'),
  once: token<IdempotencyRecords>('once'),
  gateway: token<Gateway>('gateway'),
  intake: token<JobIntake>('intake'),
  reader: token<JobReader>('reader'),
  batch: token<BatchRunner>('batch'),
  collector: token<JobCollector>('collector'),
  orders: token<OrderIssuer>('orders'),
} as const;

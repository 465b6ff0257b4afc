/** Measures the processor time of the scheduler of one pool by the number of its replicas, without any I/O. */
import type { Permit, PoolOutput, PoolPolicy, SlotRequest } from '@fighub/decisions';
import { PoolScheduler } from '@fighub/decisions';

import type { Experiment, ExperimentOutcome } from '../experiment.js';

const REPLICA_COUNTS = [8, 42, 300, 1_200];
const SLOTS_PER_REPLICA = 8;
const FAILURE_DOMAINS = 20;
const ORGANISATIONS = 1_500;
const PREFIXES = 500;
const WAITING_REQUESTS = 2_000;
const MEASURED_REQUESTS = 1_000;
/** Time between two measured requests, in milliseconds of the scheduler's clock. */
const REQUEST_INTERVAL_MS = 0.25;
/** Bounds for the largest pool. */
const MAX_REQUEST_MS = 0.1;
const MAX_FILL_MS = 100;

const POLICY: PoolPolicy = {
  reserveMaxFraction: 0,
  targets: { firstTokenTargetMs: Number.POSITIVE_INFINITY, betweenTokensTargetMs: Number.POSITIVE_INFINITY },
  weightOf: () => 1,
  limitsOf: () => ({}),
};

/** A pool whose permits are kept, so that they can be released. */
class MeasuredPool implements PoolOutput {
  readonly scheduler: PoolScheduler;
  readonly permits: Permit[] = [];
  readonly preempted: Permit[] = [];
  private requests = 0;

  constructor(replicas: number) {
    this.scheduler = new PoolScheduler('m@', 'owner', POLICY, this);
    this.scheduler.setReplicas(
      Array.from({ length: replicas }, (_, index) => ({
        replicaId: `r${String(index)}`,
        address: `a${String(index)}`,
        failureDomain: `d${String(index % FAILURE_DOMAINS)}`,
        maxConcurrency: SLOTS_PER_REPLICA,
        leaving: false,
      })),
    );
  }

  granted(permit: Permit): void {
    this.permits.push(permit);
  }

  refused(): void {
    return;
  }

  promptFound(): void {
    return;
  }

  revoked(permit: Permit): void {
    this.preempted.push(permit);
  }

  enqueue(workClass: SlotRequest['workClass'], nowMs: number): void {
    const index = this.requests;
    this.requests += 1;
    this.scheduler.enqueue(
      {
        requestId: `q${String(index)}`,
        organisation: `o${String(index % ORGANISATIONS)}`,
        costTokens: 100,
        deadlineMs: nowMs + 1_000_000 + index,
        holder: `h${String(index % 100)}`,
        failureDomain: `d${String(index % FAILURE_DOMAINS)}`,
        workClass,
        prefixDigest: workClass === 'online' ? `p${String(index % PREFIXES)}` : '',
        sharedPartIds: [],
        excludedReplicaIds: [],
        resumable: true,
        alone: false,
        enqueuedAtMs: nowMs,
      },
      nowMs,
    );
  }
}

/** Mean time of one call of `step`, in milliseconds. */
function meanMs(step: (index: number) => void): number {
  const startedMs = performance.now();
  Array.from({ length: MEASURED_REQUESTS }).forEach((_, index) => step(index));
  return (performance.now() - startedMs) / MEASURED_REQUESTS;
}

/** Fills an empty pool with batch items, and then preempts one of them for each online request. */
function measurePreemption(replicas: number): { fillMs: number; preemptionMs: number } {
  const pool = new MeasuredPool(replicas);
  Array.from({ length: replicas * SLOTS_PER_REPLICA }).forEach(() => pool.enqueue('batch', 0));
  const startedMs = performance.now();
  pool.scheduler.run(0);
  const fillMs = performance.now() - startedMs;
  const preemptionMs = meanMs((index) => {
    const nowMs = 1 + index * REQUEST_INTERVAL_MS;
    pool.preempted
      .splice(0)
      .forEach(({ permitId }) => pool.scheduler.release({ permitId, end: 'cancelled', tokens: 1 }, nowMs));
    pool.enqueue('online', nowMs);
    pool.scheduler.run(nowMs);
  });
  return { fillMs, preemptionMs };
}

/** Time of one arrival, one release and their round, while all slots are taken and requests wait. */
function measureTurnover(replicas: number): number {
  const pool = new MeasuredPool(replicas);
  const slots = replicas * SLOTS_PER_REPLICA;
  Array.from({ length: slots }).forEach(() => {
    pool.enqueue('online', 0);
    pool.scheduler.run(0);
  });
  Array.from({ length: WAITING_REQUESTS }).forEach(() => pool.enqueue('online', 0));
  return meanMs((index) => {
    const nowMs = 1 + index * REQUEST_INTERVAL_MS;
    const ended = pool.permits.shift();
    pool.enqueue('online', nowMs);
    if (ended) {
      const report = { replicaId: ended.replicaId, running: SLOTS_PER_REPLICA, waiting: 0 };
      pool.scheduler.observeLoad(report, nowMs);
      pool.scheduler.release({ permitId: ended.permitId, end: 'completed', tokens: 100 }, nowMs);
    }
    pool.scheduler.run(nowMs);
  });
}

function run(): Promise<ExperimentOutcome> {
  const measured = REPLICA_COUNTS.map((replicas) => ({
    replicas,
    ...measurePreemption(replicas),
    turnoverMs: measureTurnover(replicas),
  }));
  const figures = Object.fromEntries(
    measured.flatMap(({ replicas, fillMs, preemptionMs, turnoverMs }) => [
      [`fillMs${String(replicas)}`, fillMs],
      [`preemptionMs${String(replicas)}`, preemptionMs],
      [`turnoverMs${String(replicas)}`, turnoverMs],
    ]),
  );
  return Promise.resolve({ figures, plots: [] });
}

export const scheduler: Experiment = {
  name: 'scheduler',
  summary: 'processor time of the scheduler of one pool by the number of its replicas',
  bounds: [
    { figure: 'fillMs1200', atMost: MAX_FILL_MS },
    { figure: 'preemptionMs1200', atMost: MAX_REQUEST_MS },
    { figure: 'turnoverMs1200', atMost: MAX_REQUEST_MS },
  ],
  run,
};

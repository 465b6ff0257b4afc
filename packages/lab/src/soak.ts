/** Soak test: long runs under load with a schedule of faults that is drawn from a seed, and a check of all outcomes. */
import type { LabJob } from './batch-load.js';
import { checkJob, sendJob, waitForJob } from './batch-load.js';
import type { Bound, ExperimentOutcome } from './experiment.js';
import { killEntry, killReplica, pause, pauseProcess } from './faults.js';
import type { FleetEntry, FleetPlan } from './fleet.js';
import { Fleet } from './fleet.js';
import type { KeyedResult } from './keyed-load.js';
import { checkKeyed, sendKeyed } from './keyed-load.js';
import type { OnlineResult } from './online-load.js';
import { drawTrace, firstTokenTimes, percentile, runTrace } from './online-load.js';
import { SeededRandom } from './random.js';
import { checkRefusals } from './refusal-check.js';

/** Fleet plans of the two deployments; the seed selects one. */
const DEPLOYMENTS: readonly Partial<FleetPlan>[] = [
  {
    failureDomains: ['guj-west-a', 'guj-west-b', 'guj-west-c', 'guj-west-d'],
    model: 'kit-assist',
    entriesPerDomain: 2,
    replicasPerDomain: 2,
  },
  {
    failureDomains: ['zvolen-hala', 'bystrica-hala', 'lucenec-hala'],
    model: 'alert-modely',
    entriesPerDomain: 2,
    replicasPerDomain: 2,
  },
];

const SETTLE_TIMEOUT_MS = 60_000;
const JOB_TIMEOUT_MS = 120_000;
const ONLINE_TOKENS = 10;
const JOB_ITEMS = 500;
const JOB_PERIOD_MS = 8_000;
const KEYED_PERIOD_MS = 250;
const EDIT_PERIOD_MS = 400;
const FAULT_PERIOD_MS = 3_500;
/** Longer than the lease of batch work, so that other instances take over the work of the paused one. */
const PAUSE_PAST_LEASE_MS = 6_000;
/** Dispatches that a replica receives within this time after a cancellation are not counted as late. */
const CANCEL_GRACE_MS = 2_000;
const CONTENDED_ROW_KEY = 'share/obloha/soaked';

/** An injected fault, which the plot of the report marks; `atMs` counts from the start of the run. */
export interface FaultMark {
  readonly atMs: number;
  readonly label: string;
}

interface Fault {
  readonly label: string;
  inject(fleet: Fleet, random: SeededRandom): Promise<void>;
}

const FAULTS: readonly Fault[] = [
  { label: 'kill entry', inject: (fleet, random) => killEntry(fleet, random.pick(fleet.entries), 500) },
  { label: 'kill replica', inject: (fleet, random) => killReplica(fleet, random.pick(fleet.replicas), 700) },
  { label: 'pause entry', inject: (fleet, random) => pauseProcess(random.pick(fleet.entries), 1_200) },
  {
    label: 'pause entry past lease',
    inject: (fleet, random) => pauseProcess(random.pick(fleet.entries), PAUSE_PAST_LEASE_MS),
  },
  { label: 'pause replica', inject: (fleet, random) => pauseProcess(random.pick(fleet.replicas), 2_500) },
  { label: 'drain entry', inject: (fleet, random) => drainEntry(fleet, random.pick(fleet.entries)) },
  {
    label: 'service down',
    inject: (fleet) => during(4_000, (on) => fleet.setKeyValueFaults({ down: on })),
  },
  {
    label: 'service slow and losing answers',
    inject: (fleet) =>
      during(4_000, (on) =>
        fleet.setKeyValueFaults({ slowMs: on ? 200 : 0, loseAnswerProbability: on ? 0.3 : 0 }),
      ),
  },
  {
    label: 'watches silent',
    inject: (fleet) => during(5_000, (on) => fleet.setKeyValueFaults({ silentWatches: on })),
  },
  { label: 'open connections silent', inject: (fleet) => fleet.silenceOpenConnections() },
  {
    label: 'partition',
    inject: async (fleet, random) => {
      await fleet.partition([random.pick(fleet.plan.failureDomains)]);
      await pause(5_000);
      await fleet.heal();
    },
  },
  {
    label: 'answers of a replica lost',
    inject: async (fleet, random) => {
      const { name } = random.pick(fleet.replicas);
      await fleet.setRouteFaults([name], { dropAnswers: true });
      await pause(800);
      await fleet.setRouteFaults([name], { cut: true });
      await pause(300);
      await fleet.setRouteFaults([name], { cut: false, dropAnswers: false });
    },
  },
  {
    label: 'replica behind a slow line',
    inject: async (fleet, random) => {
      const { name } = random.pick(fleet.replicas);
      await during(3_000, (on) => fleet.setRouteFaults([name], { delayMs: on ? 150 : 0 }));
    },
  },
  {
    label: 'replica doubles and crosses events',
    inject: async (fleet, random) => {
      const replica = random.pick(fleet.replicas);
      await during(3_000, (on) =>
        replica.process.running
          ? fleet.setEngineFaults(replica, {
              doubleProbability: on ? 0.2 : 0,
              crossProbability: on ? 0.2 : 0,
            })
          : Promise.resolve(),
      );
    },
  },
  {
    label: 'replica frozen',
    inject: async (fleet, random) => {
      const replica = random.pick(fleet.replicas);
      await during(3_000, (on) =>
        replica.process.running ? fleet.setEngineFaults(replica, { frozen: on }) : Promise.resolve(),
      );
    },
  },
];

/** Sets a fault for `lengthMs`. */
async function during(lengthMs: number, set: (on: boolean) => Promise<void>): Promise<void> {
  await set(true);
  await pause(lengthMs);
  await set(false);
}

/** Shuts an entry down gracefully and starts a new process for it. */
async function drainEntry(fleet: Fleet, entry: FleetEntry): Promise<void> {
  if (!entry.process.running) return;
  entry.process.signal('SIGTERM');
  await entry.process.ended();
  await fleet.restartEntry(entry);
}

interface CancelledJob {
  readonly jobId: string;
  readonly atUnixMs: number;
}

/** End of a run's schedule: after a time, or after a number of injected faults. */
export type SoakLimit = { readonly lengthMs: number } | { readonly faults: number };

/** Length of the online trace of a run that ends after a number of faults. */
const TRACE_LENGTH_MS = 8_000;

/** One soak run. `note` receives progress messages. */
export class Soak {
  private readonly random: SeededRandom;
  private readonly lengthMs: number;
  private readonly marks: FaultMark[] = [];
  private readonly jobs: LabJob[] = [];
  private readonly cancelled: CancelledJob[] = [];
  private readonly keyedResults: Promise<KeyedResult>[] = [];
  private readonly activeFaultLabels = new Set<string>();
  private acknowledgedEdits = 0;
  private unknownEdits = 0;
  private fleet!: Fleet;
  private startedMs = 0;

  constructor(
    private readonly seed: number,
    private readonly limit: SoakLimit,
    private readonly note: (line: string) => void,
  ) {
    this.random = new SeededRandom(seed);
    this.lengthMs = 'lengthMs' in limit ? limit.lengthMs : TRACE_LENGTH_MS;
  }

  /**
   * Runs the schedule, clears the faults, waits until the fleet has settled and all jobs have ended, and checks the
   * outcomes. Throws when the fleet or a job does not get that far in time.
   */
  async run(): Promise<ExperimentOutcome> {
    const deployment = DEPLOYMENTS[this.seed % DEPLOYMENTS.length];
    this.fleet = await Fleet.start({
      ...deployment,
      throughProxy: true,
      keyValue: { writesPerSecond: 300, readsPerSecond: 2_000 },
      entrySettings: { batch: { leaseMs: 4_000, commitPeriodMs: 800, chunkItems: 100 } },
    });
    try {
      await this.fleet.admin(this.fleet.entry(0)).putRow(CONTENDED_ROW_KEY, { weight: 1 }, 0);
      this.startedMs = performance.now();
      const online = this.online();
      await Promise.all([this.faults(), this.batch(), this.runKeyedRequests(), this.runEdits(), online]);
      await this.clearFaults();
      const settleStartedMs = performance.now();
      await this.fleet.waitUntilSettled(SETTLE_TIMEOUT_MS);
      await Promise.all(this.jobs.map((job) => waitForJob(this.fleet, job, JOB_TIMEOUT_MS)));
      this.note(
        `fleet settled and jobs ended ${String(Math.round(performance.now() - settleStartedMs))} ms after the faults were cleared`,
      );
      return await this.check(await online);
    } finally {
      await this.fleet.stop();
    }
  }

  private get running(): boolean {
    if ('faults' in this.limit) return this.marks.length < this.limit.faults;
    return performance.now() - this.startedMs < this.lengthMs;
  }

  /** Sends a steady online load with a burst at five times the rate in every quarter of the trace. */
  private online(): Promise<OnlineResult[]> {
    const quarterMs = this.lengthMs / 4;
    const phases = Array.from({ length: 4 }, () => [
      { lengthMs: quarterMs * 0.8, ratePerSecond: 8 },
      { lengthMs: quarterMs * 0.2, ratePerSecond: 40 },
    ]).flat();
    const organisations = this.fleet.plan.organisations.map((organisation) => organisation.name);
    const trace = drawTrace(
      new SeededRandom(this.seed + 1),
      phases,
      organisations,
      this.fleet.entries.length,
      ONLINE_TOKENS,
    );
    return runTrace(this.fleet, trace);
  }

  /** Injects faults at random times, singly or in pairs. Faults of one kind do not overlap. */
  private async faults(): Promise<void> {
    const pending: Promise<void>[] = [];
    while (this.running) {
      await pause(this.random.exponentialMs(FAULT_PERIOD_MS));
      const count = this.random.pick([1, 1, 2]);
      const chosen = Array.from({ length: count }, () => this.random.pick(FAULTS));
      chosen.forEach((fault) => pending.push(this.injectFault(fault)));
    }
    await Promise.all(pending);
  }

  /** Injects a fault unless one of the same kind is active, since the end of one would end both. */
  private async injectFault(fault: Fault): Promise<void> {
    if (this.activeFaultLabels.has(fault.label)) return;
    this.activeFaultLabels.add(fault.label);
    const atMs = Math.round(performance.now() - this.startedMs);
    this.marks.push({ atMs, label: fault.label });
    try {
      await fault.inject(this.fleet, this.random);
    } catch (error) {
      this.note(`fault "${fault.label}" failed: ${String(error)}`);
    }
    this.activeFaultLabels.delete(fault.label);
  }

  /** Creates jobs at random intervals, and cancels every fourth one soon after its creation. */
  private async batch(): Promise<void> {
    let number = 0;
    while (this.running) {
      const organisation = this.random.pick(this.fleet.plan.organisations).name;
      const label = `soak-${String(number)}`;
      const isCancelled = number % 4 === 3;
      number += 1;
      const job = await sendJob(this.fleet, organisation, label, JOB_ITEMS, ONLINE_TOKENS);
      if (isCancelled) await this.cancelAfterDelay(job);
      else this.jobs.push(job);
      await pause(this.random.exponentialMs(JOB_PERIOD_MS));
    }
  }

  private async cancelAfterDelay(job: LabJob): Promise<void> {
    await pause(1_500);
    const entry = this.random.pick(this.fleet.entries);
    const cancelled = await this.fleet.caller(entry, job.organisation).cancelJob(job.jobId);
    if (cancelled.ok) this.cancelled.push({ jobId: job.jobId, atUnixMs: Date.now() });
  }

  private async runKeyedRequests(): Promise<void> {
    while (this.running) {
      this.keyedResults.push(sendKeyed(this.fleet, this.random, this.keyedResults.length));
      await pause(KEYED_PERIOD_MS);
    }
  }

  /** Increments the weight of one row again and again, through random entries. */
  private async runEdits(): Promise<void> {
    while (this.running) {
      const admin = this.fleet.admin(this.random.pick(this.fleet.entries));
      const row = await admin.row(CONTENDED_ROW_KEY);
      if (row.ok) {
        const weight = (row.value.value as { weight: number }).weight + 1;
        const written = await admin.putRow(CONTENDED_ROW_KEY, { weight }, row.value.revision);
        if (written.ok) this.acknowledgedEdits += 1;
        else if (written.error.run !== 'not_run') this.unknownEdits += 1;
      }
      await pause(EDIT_PERIOD_MS);
    }
  }

  private async clearFaults(): Promise<void> {
    const { fleet } = this;
    await fleet.heal();
    await fleet.setKeyValueFaults({ down: false, slowMs: 0, loseAnswerProbability: 0, silentWatches: false });
  }

  private async check(online: readonly OnlineResult[]): Promise<ExperimentOutcome> {
    const { fleet } = this;
    const receivedRequests = fleet.receivedRequests();
    const keyed = checkKeyed(await Promise.all(this.keyedResults), receivedRequests);
    const checks = await Promise.all(this.jobs.map((job) => checkJob(fleet, job)));
    const total = (pick: 'lost' | 'doubled' | 'wrong' | 'failed'): number =>
      checks.reduce((sum, check) => sum + check[pick], 0);
    const row = await fleet.admin(fleet.entry(0)).row(CONTENDED_ROW_KEY);
    const appliedEdits = row.ok ? (row.value.value as { weight: number }).weight - 1 : 0;
    const late = this.cancelled.flatMap((job) =>
      receivedRequests.filter(
        (entry) =>
          entry.requestId.startsWith(job.jobId) && entry.receivedAtUnixMs > job.atUnixMs + CANCEL_GRACE_MS,
      ),
    );
    const broken = fleet.fatalLogLines();
    broken.forEach((line) => this.note(line.slice(0, 1_500)));
    const times = firstTokenTimes(online);
    const failed = online.filter((result) => result.error !== undefined);
    return {
      figures: {
        seconds: Math.round(this.lengthMs / 1_000),
        faults: this.marks.length,
        onlineRequests: online.length,
        onlineAnswered: online.length - failed.length,
        onlineCallersGaveUp: online.filter((result) => result.gaveUp).length,
        onlineTtftP50Ms: percentile(times, 50),
        onlineTtftP99Ms: percentile(times, 99),
        crossedAnswers: online.filter((result) => result.crossed).length + keyed.crossedAnswers,
        onlineFalseNotRun: checkRefusals(online, receivedRequests),
        keyedRequests: this.keyedResults.length,
        keyedAnswered: keyed.answered,
        keyedRanTwice: keyed.ranTwice,
        keyedFalseNotRun: keyed.falseNotRun,
        jobs: this.jobs.length,
        items: this.jobs.length * JOB_ITEMS,
        itemsLost: total('lost'),
        itemsDoubled: total('doubled'),
        itemsWrong: total('wrong'),
        falseFailed: total('failed'),
        cancelledJobs: this.cancelled.length,
        dispatchesAfterCancel2s: late.length,
        edits: this.acknowledgedEdits,
        lostUpdates: Math.max(0, this.acknowledgedEdits - appliedEdits),
        unexplainedUpdates: Math.max(0, appliedEdits - this.acknowledgedEdits - this.unknownEdits),
        broken: broken.length,
      },
      plots: [this.timePlot(online)],
    };
  }

  private timePlot(online: readonly OnlineResult[]): ExperimentOutcome['plots'][number] {
    const answered = online.filter((result) => result.answer !== undefined);
    return {
      title: 'First token over time, with the faults marked',
      xTitle: 'time, s',
      yTitle: 'first token, ms',
      series: [
        {
          name: 'online requests',
          x: answered.map((result) => result.arrival.atMs / 1_000),
          y: answered.map((result) => result.answer?.firstTokenMs ?? 0),
        },
      ],
      marks: this.marks.map((mark) => ({ x: mark.atMs / 1_000, label: mark.label })),
    };
  }
}

/** Bounds of every soak run: no violation of a guarantee is allowed. */
export const SOAK_BOUNDS: readonly Bound[] = [
  'crossedAnswers',
  'onlineFalseNotRun',
  'keyedRanTwice',
  'keyedFalseNotRun',
  'itemsLost',
  'itemsDoubled',
  'itemsWrong',
  'falseFailed',
  'dispatchesAfterCancel2s',
  'lostUpdates',
  'unexplainedUpdates',
  'broken',
].map((figure) => ({ figure, atMost: 0 }));

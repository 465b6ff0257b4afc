/**
 * Lets operators edit the same rows of the table at the same time through different instances while the key-value
 * service loses responses, instances restart and a failure domain is cut off. Checks that no acknowledged edit is lost.
 */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, pause } from '../faults.js';
import type { FleetEntry } from '../fleet.js';
import { Fleet, waitFor } from '../fleet.js';
import { percentile } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const ROWS = 6;
const OPERATORS = 4;
const EDITS_PER_OPERATOR = 30;
const PARTITIONED_DOMAIN = 'lucenec-hala';
const POLL_PERIOD_MS = 100;
const IN_FORCE_TIMEOUT_MS = 19_000;

/** An edit that an instance has acknowledged; `atMs` is the monotonic time of the acknowledgement. */
interface AcknowledgedEdit {
  readonly key: string;
  readonly revision: number;
  readonly atMs: number;
}

/**
 * Polls the revisions of the rows at every reachable instance: counts how often the revision of a row fell, and removes
 * each pending edit once it is in force at all of them.
 */
class RevisionMonitor {
  /** Number of times that a process showed a lower revision of a row than before. */
  reverted = 0;
  private running = true;
  private readonly highestRevisions = new Map<string, number>();
  private readonly polling: Promise<void>;

  constructor(
    private readonly fleet: Fleet,
    private readonly pendingEdits: AcknowledgedEdit[],
    private readonly isReachable: (entry: FleetEntry) => boolean,
    /** For each edit, the time from the acknowledgement until it was in force at all reachable instances. */
    readonly inForceMs: number[],
  ) {
    this.polling = this.poll();
  }

  /** Stops polling and waits for the current poll to end. */
  async stop(): Promise<void> {
    this.running = false;
    await this.polling;
  }

  private async poll(): Promise<void> {
    while (this.running) {
      await this.checkRevisions();
      await pause(POLL_PERIOD_MS);
    }
  }

  private async checkRevisions(): Promise<void> {
    const reachable = this.fleet.entries.filter((entry) => entry.process.running && this.isReachable(entry));
    const tables = await Promise.all(reachable.map((entry) => this.revisionsOf(entry)));
    const nowMs = performance.now();
    // Instances that do not respond are left out.
    const isInForceEverywhere = (key: string, revision: number): boolean =>
      tables.every((table) => table === undefined || (table.get(key) ?? 0) >= revision);
    const inForce = this.pendingEdits.filter((edit) => isInForceEverywhere(edit.key, edit.revision));
    inForce.forEach((edit) => {
      this.inForceMs.push(nowMs - edit.atMs);
      this.pendingEdits.splice(this.pendingEdits.indexOf(edit), 1);
    });
  }

  private async revisionsOf(entry: FleetEntry): Promise<Map<string, number> | undefined> {
    const { pid } = entry.process;
    const table = await this.fleet.admin(entry).table();
    if (!table.ok) return undefined;
    const revisions = new Map(table.value.rows.map((row) => [row.key, row.revision]));
    revisions.forEach((revision, key) => {
      const id = `${String(pid)} ${key}`;
      if ((this.highestRevisions.get(id) ?? 0) > revision) this.reverted += 1;
      this.highestRevisions.set(id, Math.max(revision, this.highestRevisions.get(id) ?? 0));
    });
    return revisions;
  }
}

function rowKey(index: number): string {
  return `share/obloha/raced-${String(index)}`;
}

/** Acts as one operator: increments the weights of random rows one after another, and counts the outcomes. */
async function runOperator(
  fleet: Fleet,
  random: SeededRandom,
  isReachable: (entry: FleetEntry) => boolean,
  pendingEdits: AcknowledgedEdit[],
): Promise<{ added: number; unknown: number; conflicts: number }> {
  const tally = { added: 0, unknown: 0, conflicts: 0 };
  for (let edit = 0; edit < EDITS_PER_OPERATOR; edit += 1) {
    const entries = fleet.entries.filter((entry) => entry.process.running && isReachable(entry));
    const admin = fleet.admin(random.pick(entries));
    const key = rowKey(random.below(ROWS));
    const row = await admin.row(key);
    if (row.ok) {
      const weight = (row.value.value as { weight: number }).weight + 1;
      const written = await admin.putRow(key, { weight }, row.value.revision);
      if (written.ok) {
        tally.added += 1;
        pendingEdits.push({ key, revision: written.value.revision, atMs: performance.now() });
      } else if (written.error.status === 409) tally.conflicts += 1;
      else if (written.error.run !== 'not_run') tally.unknown += 1;
    }
    await pause(random.exponentialMs(400));
  }
  return tally;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true, entriesPerDomain: 3, replicasPerDomain: 1 });
  let isPartitioned = false;
  const isReachable = (entry: FleetEntry): boolean =>
    !isPartitioned || entry.failureDomain !== PARTITIONED_DOMAIN;
  try {
    const admin = fleet.admin(fleet.entry(0));
    for (let index = 0; index < ROWS; index += 1) await admin.putRow(rowKey(index), { weight: 1 }, 0);
    await fleet.waitUntilSettled();
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0.2 });
    const pendingEdits: AcknowledgedEdit[] = [];
    const inForceMs: number[] = [];
    const monitor = new RevisionMonitor(fleet, pendingEdits, isReachable, inForceMs);
    const operators = Array.from({ length: OPERATORS }, () =>
      runOperator(fleet, random, isReachable, pendingEdits),
    );
    await pause(2_000);
    await killEntry(fleet, fleet.entry(1), 300);
    isPartitioned = true;
    await fleet.partition([PARTITIONED_DOMAIN]);
    await pause(5_000);
    await fleet.heal();
    const healedAtMs = performance.now();
    await fleet.waitUntilSettled();
    isPartitioned = false;
    note(
      `the failure domain rejoined the fleet after ${String(Math.round(performance.now() - healedAtMs))} ms`,
    );
    await killEntry(fleet, fleet.entry(4), 300);
    const tallies = await Promise.all(operators);
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0 });
    await waitFor(
      'all acknowledged edits to be in force',
      () => Promise.resolve(pendingEdits.length === 0),
      IN_FORCE_TIMEOUT_MS,
    );
    await monitor.stop();
    await fleet.waitUntilSettled();
    const rows = await Promise.all(Array.from({ length: ROWS }, (_, index) => admin.row(rowKey(index))));
    const addedWeight = rows.reduce(
      (sum, row) => sum + (row.ok ? (row.value.value as { weight: number }).weight - 1 : 0),
      0,
    );
    const total = (pick: 'added' | 'unknown' | 'conflicts'): number =>
      tallies.reduce((sum, t) => sum + t[pick], 0);
    inForceMs.sort((a, b) => a - b);
    return {
      plots: [],
      figures: {
        edits: total('added'),
        conflicts: total('conflicts'),
        unknownOutcomes: total('unknown'),
        reverted: monitor.reverted,
        lostUpdates: Math.max(0, total('added') - addedWeight),
        unexplainedUpdates: Math.max(0, addedWeight - total('added') - total('unknown')),
        inForceSecondsP50: percentile(inForceMs, 50) / 1_000,
        inForceSecondsP99: percentile(inForceMs, 99) / 1_000,
        broken: fleet.fatalLogLines().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run table` starts. */
export const table: Experiment = {
  name: 'table',
  summary:
    'operators edit the same rows while responses are lost, instances restart and a failure domain is cut off',
  bounds: [
    { figure: 'reverted', atMost: 0 },
    { figure: 'lostUpdates', atMost: 0 },
    { figure: 'unexplainedUpdates', atMost: 0 },
    { figure: 'inForceSecondsP99', atMost: 5 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

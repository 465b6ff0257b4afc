/** Operators race on rows through different instances while the service loses answers and instances come and go. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { killEntry, pause } from '../faults.js';
import type { FleetEntry } from '../fleet.js';
import { Fleet, waitFor } from '../fleet.js';
import { percentile } from '../online-load.js';
import type { SeededRandom } from '../random.js';

const ROWS = 6;
const OPERATORS = 4;
const EDITS_EACH = 30;
const CUT_DOMAIN = 'lucenec-hala';
const WATCH_PERIOD_MS = 100;
const IN_FORCE_LIMIT_MS = 19_000;

interface Acknowledged {
  readonly key: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Watches the revisions of the rows on every instance. */
class RevisionWatch {
  reverted = 0;
  private running = true;
  private readonly highest = new Map<string, number>();
  private readonly loop: Promise<void>;

  constructor(
    private readonly fleet: Fleet,
    private readonly acknowledged: Acknowledged[],
    private readonly reachable: (entry: FleetEntry) => boolean,
    readonly inForceMs: number[],
  ) {
    this.loop = this.watch();
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.loop;
  }

  private async watch(): Promise<void> {
    while (this.running) {
      await this.look();
      await pause(WATCH_PERIOD_MS);
    }
  }

  private async look(): Promise<void> {
    const reachable = this.fleet.entries.filter((entry) => entry.process.running && this.reachable(entry));
    const tables = await Promise.all(reachable.map((entry) => this.revisionsOf(entry)));
    const nowMs = performance.now();
    const everywhere = (key: string, revision: number): boolean =>
      tables.every((table) => table === undefined || (table.get(key) ?? 0) >= revision);
    const done = this.acknowledged.filter((change) => everywhere(change.key, change.revision));
    done.forEach((change) => {
      this.inForceMs.push(nowMs - change.atMs);
      this.acknowledged.splice(this.acknowledged.indexOf(change), 1);
    });
  }

  private async revisionsOf(entry: FleetEntry): Promise<Map<string, number> | undefined> {
    const { pid } = entry.process;
    const table = await this.fleet.admin(entry).table();
    if (!table.ok) return undefined;
    const revisions = new Map(table.value.rows.map((row) => [row.key, row.revision]));
    revisions.forEach((revision, key) => {
      const id = `${String(pid)} ${key}`;
      if ((this.highest.get(id) ?? 0) > revision) this.reverted += 1;
      this.highest.set(id, Math.max(revision, this.highest.get(id) ?? 0));
    });
    return revisions;
  }
}

function rowKey(index: number): string {
  return `share/obloha/raced-${String(index)}`;
}

async function operate(
  fleet: Fleet,
  random: SeededRandom,
  usable: (entry: FleetEntry) => boolean,
  acknowledged: Acknowledged[],
): Promise<{ added: number; unknown: number; conflicts: number }> {
  const tally = { added: 0, unknown: 0, conflicts: 0 };
  for (let edit = 0; edit < EDITS_EACH; edit += 1) {
    const entries = fleet.entries.filter((entry) => entry.process.running && usable(entry));
    const admin = fleet.admin(random.pick(entries));
    const key = rowKey(random.below(ROWS));
    const row = await admin.row(key);
    if (row.ok) {
      const weight = (row.value.value as { weight: number }).weight + 1;
      const written = await admin.putRow(key, { weight }, row.value.revision);
      if (written.ok) {
        tally.added += 1;
        acknowledged.push({ key, revision: written.value.revision, atMs: performance.now() });
      } else if (written.error.status === 409) tally.conflicts += 1;
      else if (written.error.run !== 'not_run') tally.unknown += 1;
    }
    await pause(random.exponentialMs(400));
  }
  return tally;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({ throughProxy: true, entriesPerDomain: 3, replicasPerDomain: 1 });
  let cut = false;
  const isReachable = (entry: FleetEntry): boolean => !cut || entry.failureDomain !== CUT_DOMAIN;
  try {
    const admin = fleet.admin(fleet.entry(0));
    for (let index = 0; index < ROWS; index += 1) await admin.putRow(rowKey(index), { weight: 1 }, 0);
    await fleet.settled();
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0.2 });
    const acknowledged: Acknowledged[] = [];
    const inForceMs: number[] = [];
    const watch = new RevisionWatch(fleet, acknowledged, isReachable, inForceMs);
    const operators = Array.from({ length: OPERATORS }, () =>
      operate(fleet, random, isReachable, acknowledged),
    );
    await pause(2_000);
    await killEntry(fleet, fleet.entry(1), 300);
    cut = true;
    await fleet.partition([CUT_DOMAIN]);
    await pause(5_000);
    await fleet.heal();
    const healedAtMs = performance.now();
    await fleet.settled();
    cut = false;
    note(`rejoined after ${String(Math.round(performance.now() - healedAtMs))} ms`);
    await killEntry(fleet, fleet.entry(4), 300);
    const tallies = await Promise.all(operators);
    await fleet.setKeyValueFaults({ loseAnswerProbability: 0 });
    await waitFor(
      'all changes in force',
      () => Promise.resolve(acknowledged.length === 0),
      IN_FORCE_LIMIT_MS,
    );
    await watch.stop();
    await fleet.settled();
    const rows = await Promise.all(Array.from({ length: ROWS }, (_, index) => admin.row(rowKey(index))));
    const counted = rows.reduce(
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
        reverted: watch.reverted,
        lostUpdates: Math.max(0, total('added') - counted),
        unexplainedUpdates: Math.max(0, counted - total('added') - total('unknown')),
        inForceSecondsP50: percentile(inForceMs, 50) / 1_000,
        inForceSecondsP99: percentile(inForceMs, 99) / 1_000,
        broken: fleet.brokenInvariants().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run table`. */
export const table: Experiment = {
  name: 'table',
  summary: 'operators race while answers are lost, instances restart and a domain is cut off',
  bounds: [
    { figure: 'reverted', atMost: 0 },
    { figure: 'lostUpdates', atMost: 0 },
    { figure: 'unexplainedUpdates', atMost: 0 },
    { figure: 'inForceSecondsP99', atMost: 5 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

/**
 * Kills, pauses, restarts and partitions entries, and checks that no entry is falsely declared dead and that all entries
 * agree on the live members soon afterwards.
 */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause, pauseProcess } from '../faults.js';
import type { FleetEntry } from '../fleet.js';
import { Fleet, liveMembers, waitFor } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ENTRIES_PER_DOMAIN = 3;
/** Shorter than the suspicion time. */
const SHORT_PAUSE_MS = 1_500;
const PARTITION_MS = 6_000;
const AGREEMENT_TIMEOUT_MS = 19_000;

/** Sums how many members the running entries have declared dead. */
async function countDeclaredDead(fleet: Fleet): Promise<number> {
  const dumps = await Promise.all(
    fleet.entries.filter((entry) => entry.process.running).map((entry) => fleet.admin(entry).dump()),
  );
  return dumps.reduce((sum, dump) => {
    const metrics = (dump.ok ? dump.value.metrics : { counters: {} }) as { counters: Record<string, number> };
    return sum + (metrics.counters.members_declared_dead ?? 0);
  }, 0);
}

/** Waits until every running entry counts as many live members as entries are running. Returns the time in seconds. */
async function secondsUntilMembersAgree(fleet: Fleet): Promise<number> {
  const startedMs = performance.now();
  await waitFor(
    'all entries to agree on the live members',
    async () => {
      const running = fleet.entries.filter((entry) => entry.process.running);
      const dumps = await Promise.all(running.map((entry) => fleet.admin(entry).dump()));
      return dumps.every((dump) => dump.ok && liveMembers(dump.value) === running.length);
    },
    AGREEMENT_TIMEOUT_MS,
  );
  return (performance.now() - startedMs) / 1_000;
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const fleet = await Fleet.start({
    throughProxy: true,
    entriesPerDomain: ENTRIES_PER_DOMAIN,
    replicasPerDomain: 1,
  });
  try {
    const agreementSeconds: Record<string, number> = {};
    // Members that pause for less than the suspicion time must not be declared dead.
    const pausedEntries = [random.pick(fleet.entries), random.pick(fleet.entries)];
    await Promise.all(
      [...new Set(pausedEntries)].map((entry: FleetEntry) => pauseProcess(entry, SHORT_PAUSE_MS)),
    );
    await pause(3_000);
    const falseDeaths = await countDeclaredDead(fleet);
    agreementSeconds.afterPauses = await secondsUntilMembersAgree(fleet);
    const killedEntry = random.pick(fleet.entries);
    await killedEntry.process.kill();
    agreementSeconds.afterKill = await secondsUntilMembersAgree(fleet);
    await fleet.restartEntry(killedEntry);
    agreementSeconds.afterRestart = await secondsUntilMembersAgree(fleet);
    const leavingEntry = random.pick(fleet.entries);
    leavingEntry.process.signal('SIGTERM');
    await leavingEntry.process.ended();
    agreementSeconds.afterLeave = await secondsUntilMembersAgree(fleet);
    await fleet.restartEntry(leavingEntry);
    await secondsUntilMembersAgree(fleet);
    await fleet.partition([fleet.entry(0).failureDomain]);
    await pause(PARTITION_MS);
    await fleet.heal();
    agreementSeconds.afterPartition = await secondsUntilMembersAgree(fleet);
    note(JSON.stringify(agreementSeconds));
    return {
      plots: [],
      figures: {
        falseDeaths,
        secondsToAllKnow: Math.max(...Object.values(agreementSeconds)),
        secondsAfterKill: agreementSeconds.afterKill,
        secondsAfterLeave: agreementSeconds.afterLeave,
        secondsAfterPartition: agreementSeconds.afterPartition,
        broken: fleet.fatalLogLines().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run members` starts. */
export const members: Experiment = {
  name: 'members',
  summary: 'membership under kills, pauses, restarts and a partition',
  bounds: [
    { figure: 'falseDeaths', atMost: 0 },
    { figure: 'secondsToAllKnow', atMost: 19 },
    { figure: 'broken', atMost: 0 },
  ],
  run,
};

/** Membership under kills, short pauses, restarts and a partition. */
import type { Experiment, ExperimentOutcome } from '../experiment.js';
import { pause, pauseProcess } from '../faults.js';
import type { FleetEntry } from '../fleet.js';
import { Fleet, liveMembers, waitFor } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const ENTRIES_PER_DOMAIN = 3;
const SHORT_PAUSE_MS = 1_500;
const PARTITION_MS = 6_000;
const KNOW_LIMIT_MS = 19_000;

async function deaths(fleet: Fleet): Promise<number> {
  const dumps = await Promise.all(
    fleet.entries.filter((entry) => entry.process.running).map((entry) => fleet.admin(entry).dump()),
  );
  return dumps.reduce((sum, dump) => {
    const metrics = (dump.ok ? dump.value.metrics : { counters: {} }) as { counters: Record<string, number> };
    return sum + (metrics.counters.members_declared_dead ?? 0);
  }, 0);
}

/** Time until every running entry counts exactly the running entries as live, in seconds. */
async function allKnow(fleet: Fleet): Promise<number> {
  const startedMs = performance.now();
  await waitFor(
    'all to know',
    async () => {
      const running = fleet.entries.filter((entry) => entry.process.running);
      const dumps = await Promise.all(running.map((entry) => fleet.admin(entry).dump()));
      return dumps.every((dump) => dump.ok && liveMembers(dump.value) === running.length);
    },
    KNOW_LIMIT_MS,
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
    const times: Record<string, number> = {};
    // Pauses shorter than the suspicion time must not count as deaths.
    const paused = [random.pick(fleet.entries), random.pick(fleet.entries)];
    await Promise.all([...new Set(paused)].map((entry: FleetEntry) => pauseProcess(entry, SHORT_PAUSE_MS)));
    await pause(3_000);
    const falseDeaths = await deaths(fleet);
    times.afterPauses = await allKnow(fleet);
    const victim = random.pick(fleet.entries);
    await victim.process.kill();
    times.afterKill = await allKnow(fleet);
    await fleet.restartEntry(victim);
    times.afterRestart = await allKnow(fleet);
    const leaver = random.pick(fleet.entries);
    leaver.process.signal('SIGTERM');
    await leaver.process.ended();
    times.afterLeave = await allKnow(fleet);
    await fleet.restartEntry(leaver);
    await allKnow(fleet);
    await fleet.partition([fleet.entry(0).failureDomain]);
    await pause(PARTITION_MS);
    await fleet.heal();
    times.afterPartition = await allKnow(fleet);
    note(JSON.stringify(times));
    return {
      plots: [],
      figures: {
        falseDeaths,
        secondsToAllKnow: Math.max(...Object.values(times)),
        secondsAfterKill: times.afterKill,
        secondsAfterLeave: times.afterLeave,
        secondsAfterPartition: times.afterPartition,
        broken: fleet.brokenInvariants().length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run members`. */
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

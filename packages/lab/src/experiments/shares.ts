/** Shares of three overloaded organisations, then with one idle, then with it back. */
import { ClosedLoop } from '../closed-loop.js';
import type { Experiment, ExperimentOutcome, Series } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const WEIGHTS = { obloha: 1, 'meteo-tatry': 2, 'slnko-data': 4 };
const IDLE_ORGANISATION = 'slnko-data';
const OPEN_REQUESTS = 60;
const TOKENS = 10;
const WARM_UP_MS = 3_000;
const PHASE_MS = 8_000;

interface Window {
  readonly fromMs: number;
  readonly toMs: number;
  readonly organisations: readonly string[];
}

function tokensIn(loops: readonly ClosedLoop[], window: Window, organisation: string): number {
  return loops
    .flatMap((loop) => loop.completions)
    .filter(
      (done) => done.organisation === organisation && done.atMs >= window.fromMs && done.atMs < window.toMs,
    )
    .reduce((sum, done) => sum + done.tokens, 0);
}

function shareErrors(loops: readonly ClosedLoop[], window: Window): number[] {
  const weightOf = (name: string): number => WEIGHTS[name as keyof typeof WEIGHTS];
  const weights = window.organisations.reduce((sum, name) => sum + weightOf(name), 0);
  const tokens = window.organisations.map((name) => tokensIn(loops, window, name));
  const total = tokens.reduce((sum, value) => sum + value, 0);
  return window.organisations.map((name, index) =>
    Math.abs((tokens[index] ?? 0) / total / (weightOf(name) / weights) - 1),
  );
}

function seriesOf(loops: readonly ClosedLoop[], organisation: string, endMs: number): Series {
  const seconds = Array.from({ length: Math.floor(endMs / 1_000) }, (_, second) => second);
  return {
    name: organisation,
    x: seconds,
    y: seconds.map((second) =>
      tokensIn(
        loops,
        { fromMs: second * 1_000, toMs: (second + 1) * 1_000, organisations: [] },
        organisation,
      ),
    ),
  };
}

async function run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome> {
  const organisations = Object.entries(WEIGHTS).map(([name, weight]) => ({ name, weight }));
  const fleet = await Fleet.start({ organisations, modelRow: { deadlineMs: 60_000 } });
  try {
    const startedMs = performance.now();
    const loop = (name: string): ClosedLoop =>
      new ClosedLoop(fleet, name, random, OPEN_REQUESTS, TOKENS, startedMs);
    const steady = organisations.filter((o) => o.name !== IDLE_ORGANISATION).map((o) => loop(o.name));
    const leaving = loop(IDLE_ORGANISATION);
    const windows: Window[] = [];
    const measure = async (names: readonly string[]): Promise<void> => {
      await pause(WARM_UP_MS);
      const fromMs = performance.now() - startedMs;
      await pause(PHASE_MS);
      windows.push({ fromMs, toMs: performance.now() - startedMs, organisations: names });
    };
    const all = organisations.map((o) => o.name);
    const others = all.filter((name) => name !== IDLE_ORGANISATION);
    await measure(all);
    await leaving.stop();
    await measure(others);
    const back = loop(IDLE_ORGANISATION);
    await measure(all);
    await Promise.all([...steady, back].map((l) => l.stop()));
    const loops = [...steady, leaving, back];
    const errors = windows.map((window) => Math.max(...shareErrors(loops, window)));
    note(`worst error by phase: ${errors.map((error) => error.toFixed(3)).join(', ')}`);
    const endMs = performance.now() - startedMs;
    return {
      figures: {
        worstShareErrorFraction: Math.max(...errors),
        allBusyErrorFraction: errors[0] ?? 1,
        oneIdleErrorFraction: errors[1] ?? 1,
        backErrorFraction: errors[2] ?? 1,
        completed: loops.reduce((sum, l) => sum + l.completions.length, 0),
        refused: loops.reduce((sum, l) => sum + l.refusals.length, 0),
      },
      plots: [
        {
          title: 'Tokens a second by organisation',
          xTitle: 'time, s',
          yTitle: 'tokens a second',
          series: all.map((name) => seriesOf(loops, name, endMs)),
          marks: windows.slice(0, 2).map((window, index) => ({
            x: window.toMs / 1_000,
            label: index === 0 ? `${IDLE_ORGANISATION} idle` : `${IDLE_ORGANISATION} back`,
          })),
        },
      ],
    };
  } finally {
    await fleet.stop();
  }
}

/** `lab run shares`. */
export const shares: Experiment = {
  name: 'shares',
  summary: 'weights 1, 2 and 4 under overload; one organisation idle and back',
  bounds: [{ figure: 'worstShareErrorFraction', atMost: 0.05 }],
  run,
};

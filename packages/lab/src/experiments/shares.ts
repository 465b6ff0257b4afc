/**
 * Measures the shares that three organisations with different weights get under overload: while all are active, while
 * one is idle, and after it has become active again.
 */
import { ClosedLoop } from '../closed-loop.js';
import type { Experiment, ExperimentOutcome, Series } from '../experiment.js';
import { pause } from '../faults.js';
import { Fleet } from '../fleet.js';
import type { SeededRandom } from '../random.js';

const WEIGHTS = { obloha: 1, 'meteo-tatry': 2, 'slnko-data': 4 };
const IDLE_ORGANISATION = 'slnko-data';
/** Requests that each organisation keeps open at any time. */
const OPEN_REQUESTS_PER_ORGANISATION = 60;
const TOKENS_PER_REQUEST = 10;
const WARM_UP_MS = 3_000;
const MEASUREMENT_MS = 8_000;

/** A period of measurement, in milliseconds since the start of the run, and the organisations that are active in it. */
interface MeasurementWindow {
  readonly fromMs: number;
  readonly toMs: number;
  readonly organisations: readonly string[];
}

/** Sums the tokens of the requests of an organisation that were completed within the window. */
function completedTokens(
  loops: readonly ClosedLoop[],
  window: MeasurementWindow,
  organisation: string,
): number {
  return loops
    .flatMap((loop) => loop.completions)
    .filter(
      (completion) =>
        completion.organisation === organisation &&
        completion.atMs >= window.fromMs &&
        completion.atMs < window.toMs,
    )
    .reduce((sum, completion) => sum + completion.tokens, 0);
}

/** Relative deviation of the share of each active organisation from the share that its weight entitles it to. */
function shareErrors(loops: readonly ClosedLoop[], window: MeasurementWindow): number[] {
  const weightOf = (name: string): number => WEIGHTS[name as keyof typeof WEIGHTS];
  const weights = window.organisations.reduce((sum, name) => sum + weightOf(name), 0);
  const tokens = window.organisations.map((name) => completedTokens(loops, window, name));
  const total = tokens.reduce((sum, value) => sum + value, 0);
  return window.organisations.map((name, index) =>
    Math.abs((tokens[index] ?? 0) / total / (weightOf(name) / weights) - 1),
  );
}

/** Completed tokens of an organisation in each second of the run. */
function tokenRateSeries(loops: readonly ClosedLoop[], organisation: string, endMs: number): Series {
  const seconds = Array.from({ length: Math.floor(endMs / 1_000) }, (_, second) => second);
  return {
    name: organisation,
    x: seconds,
    y: seconds.map((second) =>
      completedTokens(
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
    const startLoop = (name: string): ClosedLoop =>
      new ClosedLoop(fleet, name, random, OPEN_REQUESTS_PER_ORGANISATION, TOKENS_PER_REQUEST, startedMs);
    const steadyLoops = organisations
      .filter((o) => o.name !== IDLE_ORGANISATION)
      .map((o) => startLoop(o.name));
    const intermittentLoop = startLoop(IDLE_ORGANISATION);
    const windows: MeasurementWindow[] = [];
    const measureWindow = async (names: readonly string[]): Promise<void> => {
      await pause(WARM_UP_MS);
      const fromMs = performance.now() - startedMs;
      await pause(MEASUREMENT_MS);
      windows.push({ fromMs, toMs: performance.now() - startedMs, organisations: names });
    };
    const all = organisations.map((o) => o.name);
    const others = all.filter((name) => name !== IDLE_ORGANISATION);
    await measureWindow(all);
    await intermittentLoop.stop();
    await measureWindow(others);
    const resumedLoop = startLoop(IDLE_ORGANISATION);
    await measureWindow(all);
    await Promise.all([...steadyLoops, resumedLoop].map((l) => l.stop()));
    const loops = [...steadyLoops, intermittentLoop, resumedLoop];
    const errors = windows.map((window) => Math.max(...shareErrors(loops, window)));
    note(
      `worst share error of each measurement window: ${errors.map((error) => error.toFixed(3)).join(', ')}`,
    );
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
          title: 'Tokens per second by organisation',
          xTitle: 'time, s',
          yTitle: 'tokens per second',
          series: all.map((name) => tokenRateSeries(loops, name, endMs)),
          marks: windows.slice(0, 2).map((window, index) => ({
            x: window.toMs / 1_000,
            label: index === 0 ? `${IDLE_ORGANISATION} idle` : `${IDLE_ORGANISATION} active again`,
          })),
        },
      ],
    };
  } finally {
    await fleet.stop();
  }
}

/** The experiment that `lab run shares` starts. */
export const shares: Experiment = {
  name: 'shares',
  summary:
    'shares at weights 1, 2 and 4 under overload, also while one organisation is idle and when it is active again',
  bounds: [{ figure: 'worstShareErrorFraction', atMost: 0.05 }],
  run,
};

/** The form of experiments and their results. */
import type { SeededRandom } from './random.js';

/** Values over time or over a distribution, for plots. */
export interface Series {
  readonly name: string;
  readonly x: readonly number[];
  readonly y: readonly number[];
}

/** One plot of a report. */
export interface Plot {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly series: readonly Series[];
  /** Moments to mark on the x axis. */
  readonly marks?: readonly { readonly x: number; readonly label: string }[];
}

/** A bound that comes from a stated target. */
export interface Bound {
  readonly figure: string;
  readonly atMost?: number;
  readonly atLeast?: number;
}

/** What one run found. */
export interface ExperimentOutcome {
  readonly figures: Readonly<Record<string, number>>;
  readonly plots: readonly Plot[];
}

/** An experiment that `lab run` knows. */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  readonly bounds: readonly Bound[];
  run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome>;
}

/** The figures that miss their bounds. */
export function missedBounds(bounds: readonly Bound[], figures: Readonly<Record<string, number>>): string[] {
  return bounds
    .filter((bound) => {
      const value = figures[bound.figure];
      if (value === undefined || Number.isNaN(value)) return true;
      return (
        value > (bound.atMost ?? Number.POSITIVE_INFINITY) ||
        value < (bound.atLeast ?? Number.NEGATIVE_INFINITY)
      );
    })
    .map((bound) => bound.figure);
}

/** Types of experiments and their results, and the check of results against bounds. */
import type { SeededRandom } from './random.js';

/** One curve of a plot: values over time, or a distribution. */
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
  /** Positions on the x axis that get a vertical line with a label. */
  readonly marks?: readonly { readonly x: number; readonly label: string }[];
}

/** Limits of a figure, both inclusive, which come from a stated target. */
export interface Bound {
  readonly figure: string;
  readonly atMost?: number;
  readonly atLeast?: number;
}

/** Figures and plots of one run. */
export interface ExperimentOutcome {
  readonly figures: Readonly<Record<string, number>>;
  readonly plots: readonly Plot[];
}

/** An experiment that `lab run` can run. Its `note` callback receives progress messages. */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  readonly bounds: readonly Bound[];
  run(random: SeededRandom, note: (line: string) => void): Promise<ExperimentOutcome>;
}

/** Names of the figures that miss their bounds; a figure that is absent or not a number misses its bound. */
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

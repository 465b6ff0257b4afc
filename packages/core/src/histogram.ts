/**
 * Histograms with a bounded relative error. Only the class is imported from the package, since its other parts are slow to load and
 * not used.
 */
import type { Histogram } from 'hdr-histogram-js';
// A CommonJS module whose class is the property `default`.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';

export type { Histogram };

const SIGNIFICANT_DIGITS = 2;
const LOWEST_VALUE = 1;
/** It grows with the values that are recorded. */
const INITIAL_HIGHEST_VALUE = 2;

/** An empty histogram of whole numbers from 0. */
export function newHistogram(): Histogram {
  const histogram = new int32Histogram.default(LOWEST_VALUE, INITIAL_HIGHEST_VALUE, SIGNIFICANT_DIGITS);
  histogram.autoResize = true;
  return histogram;
}

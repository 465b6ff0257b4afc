/** Counters and histograms, which the state dump always includes. */
import type { Histogram } from './histogram.js';
import { newHistogram } from './histogram.js';

/** Receives every counter change and sample, for example a StatsD client. */
export interface MetricsSink {
  increment(name: string, by: number, tags: readonly string[]): void;
  sample(name: string, value: number): void;
}

/** Distribution of the samples of one name, in the unit of the samples. */
export interface SampleSummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Histograms hold only whole numbers, so samples are recorded in thousandths of their unit. */
const HISTOGRAM_STEPS_PER_UNIT = 1_000;

/** Registry of counters and samples by name, which also forwards them to an optional sink. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly samples = new Map<string, Histogram>();

  constructor(private readonly sink?: MetricsSink) {}

  /** Adds `by` to the counter `name`. */
  count(name: string, by = 1, tags: readonly string[] = []): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
    this.sink?.increment(name, by, tags);
  }

  /** Records one sample of `name`, in the unit given by the name's suffix. The histogram holds negative values as 0. */
  sample(name: string, value: number): void {
    const histogram = this.samples.get(name) ?? newHistogram();
    histogram.recordValue(Math.max(0, Math.round(value * HISTOGRAM_STEPS_PER_UNIT)));
    this.samples.set(name, histogram);
    this.sink?.sample(name, value);
  }

  /** Returns the current value of a counter; 0 when it was never counted. */
  value(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Returns all counters and sample summaries for the state dump. */
  dump(): { counters: Record<string, number>; samples: Record<string, SampleSummary> } {
    const samples = [...this.samples.entries()].map(([name, histogram]) => [name, summaryOf(histogram)]);
    return {
      counters: Object.fromEntries(this.counters),
      samples: Object.fromEntries(samples) as Record<string, SampleSummary>,
    };
  }
}

function summaryOf(histogram: Histogram): SampleSummary {
  const at = (percent: number): number => histogram.getValueAtPercentile(percent) / HISTOGRAM_STEPS_PER_UNIT;
  return {
    count: histogram.totalCount,
    mean: histogram.mean / HISTOGRAM_STEPS_PER_UNIT,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: histogram.maxValue / HISTOGRAM_STEPS_PER_UNIT,
  };
}

/** Counters and histograms. The registry is always readable in the state dump. */

import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

/** Receives every counter change and sample, for example a StatsD client. */
export interface MetricsSink {
  increment(name: string, by: number, tags: readonly string[]): void;
  sample(name: string, value: number): void;
}

/** Distribution of a sampled value. */
export interface SampleSummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Histograms hold whole numbers; samples are kept in thousandths. */
const SCALE = 1_000;

/** Counts events by name and forwards them to an optional sink. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly samples = new Map<string, Histogram>();

  constructor(private readonly sink?: MetricsSink) {}

  /** Adds `by` to the counter `name`. */
  count(name: string, by = 1, tags: readonly string[] = []): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
    this.sink?.increment(name, by, tags);
  }

  /** Records one sample of `name`, in the unit that the name's suffix states. */
  sample(name: string, value: number): void {
    const histogram =
      this.samples.get(name) ?? build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 });
    histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
    this.samples.set(name, histogram);
    this.sink?.sample(name, value);
  }

  /** Present value of a counter. */
  value(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** All counters and sample summaries for the dump. */
  dump(): { counters: Record<string, number>; samples: Record<string, SampleSummary> } {
    const samples = [...this.samples.entries()].map(([name, histogram]) => [name, summaryOf(histogram)]);
    return {
      counters: Object.fromEntries(this.counters),
      samples: Object.fromEntries(samples) as Record<string, SampleSummary>,
    };
  }
}

function summaryOf(histogram: Histogram): SampleSummary {
  const at = (percent: number): number => histogram.getValueAtPercentile(percent) / SCALE;
  return {
    count: histogram.totalCount,
    mean: histogram.mean / SCALE,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: histogram.maxValue / SCALE,
  };
}

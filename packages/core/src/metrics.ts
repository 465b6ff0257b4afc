/** Counters and histograms. The registry is always readable in the state dump. */

/** Receives every counter change and sample, for example a StatsD client. */
export interface MetricsSink {
  increment(name: string, by: number, tags: readonly string[]): void;
  sample(name: string, value: number): void;
}

/** Minimum, maximum, sum and count of a sampled value. */
export interface SampleSummary {
  count: number;
  sum: number;
  max: number;
}

/** Counts events by name and forwards them to an optional sink. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly samples = new Map<string, SampleSummary>();

  constructor(private readonly sink?: MetricsSink) {}

  /** Adds `by` to the counter `name`. */
  count(name: string, by = 1, tags: readonly string[] = []): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
    this.sink?.increment(name, by, tags);
  }

  /** Records one sample of `name`, in the unit that the name's suffix states. */
  sample(name: string, value: number): void {
    const summary = this.samples.get(name) ?? { count: 0, sum: 0, max: 0 };
    summary.count += 1;
    summary.sum += value;
    summary.max = Math.max(summary.max, value);
    this.samples.set(name, summary);
    this.sink?.sample(name, value);
  }

  /** Present value of a counter. */
  value(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** All counters and sample summaries for the dump. */
  dump(): { counters: Record<string, number>; samples: Record<string, SampleSummary> } {
    return { counters: Object.fromEntries(this.counters), samples: Object.fromEntries(this.samples) };
  }
}

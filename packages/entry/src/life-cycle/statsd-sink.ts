/** Forwards counters and samples to a StatsD server. */
import type { MetricsSink } from '@fighub/core';
import { StatsD } from 'hot-shots';

import type { EntrySettings } from '../settings.js';

/** Creates a sink for the configured server; undefined if none is configured. Errors of the server are ignored. */
export function createStatsdSink(settings: EntrySettings['statsd']): MetricsSink | undefined {
  if (!settings) return undefined;
  const client = new StatsD({ ...settings, errorHandler: () => undefined });
  return {
    increment: (name, by, tags) => client.increment(name, by, [...tags]),
    sample: (name, value) => client.histogram(name, value),
  };
}

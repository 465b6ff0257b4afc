/** Which upstreams are leaving, from the lagging instance list and from what the upstreams say. */
import type { Clock } from '@fighub/core';
import type { ListedInstance } from '@fighub/platform';

const REFUSAL_LIFETIME_MS = 15_000;

/** A listed upstream that refuses is kept out: the list lags and never brings it back by itself. */
export class UpstreamStates {
  private listedLeaving = new Set<string>();
  private readonly refusedUntilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes in a new reading of the instance list. */
  applyList(instances: readonly ListedInstance[]): void {
    const leaving = instances.filter((item) => item.kind === 'upstream' && item.state === 'leaving');
    this.listedLeaving = new Set(leaving.map((item) => item.instanceId));
  }

  /** Notes that an upstream itself said that it is leaving. */
  markLeaving(upstreamId: string): void {
    this.refusedUntilMs.set(upstreamId, this.clock.monotonicMs() + REFUSAL_LIFETIME_MS);
  }

  isLeaving(upstreamId: string): boolean {
    if (this.listedLeaving.has(upstreamId)) return true;
    return (this.refusedUntilMs.get(upstreamId) ?? 0) > this.clock.monotonicMs();
  }

  dump(): Record<string, unknown> {
    return {
      listedLeaving: [...this.listedLeaving],
      refusedUntilMs: Object.fromEntries(this.refusedUntilMs),
    };
  }
}

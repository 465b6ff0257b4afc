/** Which upstreams are leaving, from the lagging instance list and from what the upstreams say. */
import type { Clock } from '@fighub/core';
import type { ListedInstance } from '@fighub/outside';

/** Load reports lag: one that denies a refusal counts only this long after the refusal. */
const REPORT_TRUST_AFTER_MS = 5_000;

/**
 * An upstream that refused stays out until its own report says for a while that it is not leaving. The
 * instance list lags and never brings one back by itself.
 */
export class UpstreamStates {
  private listedLeaving = new Set<string>();
  private readonly refusedAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes in a new reading of the instance list. */
  applyList(instances: readonly ListedInstance[]): void {
    const leaving = instances.filter((item) => item.kind === 'upstream' && item.state === 'leaving');
    this.listedLeaving = new Set(leaving.map((item) => item.instanceId));
  }

  /** Notes that an upstream itself said that it is leaving. */
  markLeaving(upstreamId: string): void {
    this.refusedAtMs.set(upstreamId, this.clock.monotonicMs());
  }

  /** Takes in what a load report says. */
  applyReport(upstreamId: string, leaving: boolean): void {
    if (leaving) {
      this.markLeaving(upstreamId);
      return;
    }
    const refusedAtMs = this.refusedAtMs.get(upstreamId);
    if (refusedAtMs === undefined) return;
    if (this.clock.monotonicMs() - refusedAtMs > REPORT_TRUST_AFTER_MS) this.refusedAtMs.delete(upstreamId);
  }

  isLeaving(upstreamId: string): boolean {
    return this.listedLeaving.has(upstreamId) || this.refusedAtMs.has(upstreamId);
  }

  dump(): Record<string, unknown> {
    return { listedLeaving: [...this.listedLeaving], refusedAtMs: Object.fromEntries(this.refusedAtMs) };
  }
}

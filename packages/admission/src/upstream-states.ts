/** Tracks which upstreams are leaving, from the instance list and from the upstreams' own refusals and load reports. */
import type { Clock } from '@fighub/core';
import type { ListedInstance } from '@fighub/outside';

/**
 * Load reports lag behind the upstream's state. A report that an upstream is not leaving is therefore ignored until
 * this long after the upstream last refused work or reported that it is leaving.
 */
const REPORT_TRUST_AFTER_MS = 5_000;

/**
 * Keeps the upstreams that are leaving. An upstream that refused work because it is leaving gets no new work until one
 * of its own later load reports says that it is not leaving. The instance list lags, so it never overrides a refusal.
 */
export class UpstreamStates {
  private listedLeaving = new Set<string>();
  /** Time at which an upstream last refused work or reported that it is leaving. */
  private readonly refusedAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Replaces the leaving upstreams that are known from the instance list. */
  applyInstanceList(instances: readonly ListedInstance[]): void {
    const leaving = instances.filter((item) => item.kind === 'upstream' && item.state === 'leaving');
    this.listedLeaving = new Set(leaving.map((item) => item.instanceId));
  }

  /** Records that an upstream refused work or reported that it is leaving. */
  markLeaving(upstreamId: string): void {
    this.refusedAtMs.set(upstreamId, this.clock.monotonicMs());
  }

  /** Applies the leaving flag of an upstream's load report. */
  applyReport(upstreamId: string, leaving: boolean): void {
    if (leaving) {
      this.markLeaving(upstreamId);
      return;
    }
    const refusedAtMs = this.refusedAtMs.get(upstreamId);
    if (refusedAtMs === undefined) return;
    if (this.clock.monotonicMs() - refusedAtMs > REPORT_TRUST_AFTER_MS) this.refusedAtMs.delete(upstreamId);
  }

  /** Whether the instance list or the upstream itself says that it is leaving. */
  isLeaving(upstreamId: string): boolean {
    return this.listedLeaving.has(upstreamId) || this.refusedAtMs.has(upstreamId);
  }

  dump(): Record<string, unknown> {
    return { listedLeaving: [...this.listedLeaving], refusedAtMs: Object.fromEntries(this.refusedAtMs) };
  }
}

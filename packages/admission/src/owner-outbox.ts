import type {
  ReleaseReport,
  ReplicaCrashReport,
  ReplicaLoadReport,
  RequestLimitReport,
} from '@fighub/decisions';
import type { PermitReleaseBody } from '@fighub/peers';

interface PendingReports {
  readonly reports: ReleaseReport[];
  /** Last load report of each replica. */
  readonly loads: Map<string, ReplicaLoadReport>;
  readonly crashes: ReplicaCrashReport[];
  /** Last statement of each replica about its limit. */
  readonly limits: Map<string, RequestLimitReport>;
}

/**
 * Collects release and load reports for the owners of pools, so that one message for each pool carries them. Only
 * the last load report of each replica is kept.
 */
export class OwnerOutbox {
  private readonly pools = new Map<string, PendingReports>();

  /** Number of pools with pending reports. */
  get size(): number {
    return this.pools.size;
  }

  addRelease(poolId: string, report: ReleaseReport): void {
    this.pendingReportsOf(poolId).reports.push(report);
  }

  addLoad(poolId: string, report: ReplicaLoadReport): void {
    this.pendingReportsOf(poolId).loads.set(report.replicaId, report);
  }

  addCrash(poolId: string, report: ReplicaCrashReport): void {
    this.pendingReportsOf(poolId).crashes.push(report);
  }

  addLimit(poolId: string, report: RequestLimitReport): void {
    this.pendingReportsOf(poolId).limits.set(report.replicaId, report);
  }

  /** Removes the pending reports and returns them as one message body for each pool. */
  takeAll(): PermitReleaseBody[] {
    const bodies = [...this.pools].map(([poolId, { reports, loads, crashes, limits }]) => ({
      poolId,
      reports,
      loads: [...loads.values()],
      ...(crashes.length > 0 ? { crashes } : {}),
      ...(limits.size > 0 ? { limits: [...limits.values()] } : {}),
    }));
    this.pools.clear();
    return bodies;
  }

  private pendingReportsOf(poolId: string): PendingReports {
    const known = this.pools.get(poolId);
    if (known) return known;
    const created = {
      reports: [],
      loads: new Map<string, ReplicaLoadReport>(),
      crashes: [],
      limits: new Map<string, RequestLimitReport>(),
    };
    this.pools.set(poolId, created);
    return created;
  }
}

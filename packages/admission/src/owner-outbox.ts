import type { ReleaseReport, ReplicaLoadReport } from '@fighub/decisions';
import type { PermitReleaseBody } from '@fighub/peers';

interface PoolNotes {
  readonly reports: ReleaseReport[];
  readonly loads: Map<string, ReplicaLoadReport>;
}

/** What is to be told to the owners of pools, in one message a pool. Of a replica's loads the last one counts. */
export class OwnerOutbox {
  private readonly pools = new Map<string, PoolNotes>();

  get size(): number {
    return this.pools.size;
  }

  addRelease(poolId: string, report: ReleaseReport): void {
    this.notesOf(poolId).reports.push(report);
  }

  addLoad(poolId: string, report: ReplicaLoadReport): void {
    this.notesOf(poolId).loads.set(report.replicaId, report);
  }

  /** Empties the box. */
  takeAll(): PermitReleaseBody[] {
    const bodies = [...this.pools].map(([poolId, { reports, loads }]) => ({
      poolId,
      reports,
      loads: [...loads.values()],
    }));
    this.pools.clear();
    return bodies;
  }

  private notesOf(poolId: string): PoolNotes {
    const known = this.pools.get(poolId);
    if (known) return known;
    const created = { reports: [], loads: new Map<string, ReplicaLoadReport>() };
    this.pools.set(poolId, created);
    return created;
  }
}

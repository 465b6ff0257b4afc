/** What this instance knows of the configuration and of the replicas. Neither ever goes back. */
import type { DirectorySnapshot, ReplicaRecord, RoutingConfiguration } from '@fighub/core';
import { InvariantName, checkInvariant } from '@fighub/core';

import { RouteTable } from './route-table.js';

/** Called after a change. */
export type ViewListener = () => void;

/** The newest configuration and directory that this instance has seen. */
export class FleetView {
  private table: RouteTable | undefined;
  private directory: DirectorySnapshot = { revision: 0, replicas: [] };
  private replicasById = new Map<string, ReplicaRecord>();
  private readonly listeners: ViewListener[] = [];
  private changes = 0;

  /** Another number after each change. */
  get version(): number {
    return this.changes;
  }

  /** Undefined until a configuration is known. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  get configuration(): RoutingConfiguration | undefined {
    return this.table?.configuration;
  }

  get configurationVersion(): number {
    return this.table?.configuration.version ?? 0;
  }

  get replicas(): DirectorySnapshot {
    return this.directory;
  }

  replica(replicaId: string): ReplicaRecord | undefined {
    return this.replicasById.get(replicaId);
  }

  /** Whether a replica may get new work. */
  isUsable(replicaId: string): boolean {
    const replica = this.replicasById.get(replicaId);
    return replica !== undefined && !replica.leaving;
  }

  onChange(listener: ViewListener): void {
    this.listeners.push(listener);
  }

  /** Takes in a configuration if it is newer. */
  applyConfiguration(configuration: RoutingConfiguration): boolean {
    const before = this.configurationVersion;
    if (configuration.version <= before) return false;
    this.table = new RouteTable(configuration);
    checkInvariant(InvariantName.revisionNeverFalls, this.configurationVersion > before, () => ({ before }));
    this.changed();
    return true;
  }

  /** Takes in a directory unless it is older. */
  applyDirectory(directory: DirectorySnapshot): boolean {
    if (directory.revision < this.directory.revision) return false;
    const same = JSON.stringify(directory.replicas) === JSON.stringify(this.directory.replicas);
    this.directory = directory;
    if (same) return false;
    this.replicasById = new Map(directory.replicas.map((replica) => [replica.replicaId, replica]));
    this.changed();
    return true;
  }

  private changed(): void {
    this.changes += 1;
    this.listeners.forEach((listener) => listener());
  }
}

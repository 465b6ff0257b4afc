/** This instance's view of the routing configuration and of the replicas. Neither goes back to an older version. */
import type { DirectorySnapshot, ReplicaRecord, RoutingConfiguration } from '@fighub/core';
import { InvariantName, checkInvariant } from '@fighub/core';
import type { StreamOrigin } from '@fighub/decisions';
import {
  BlockedPrompts,
  LeavingReplicas,
  OriginHistory,
  RequestLimits,
  canContinue,
} from '@fighub/decisions';

import { OrganisationKeys } from '../access/organisation-keys.js';
import { RouteTable } from './route-table.js';

/** Called after each change of the view. */
export type ViewListener = () => void;

/** The newest configuration and directory that this instance has seen. */
export class FleetView {
  readonly originHistory = new OriginHistory();
  /** Prompts that are refused because they crash replicas. */
  readonly blockedPrompts = new BlockedPrompts();
  /** Limits of requests a second that replicas state. */
  readonly requestLimits = new RequestLimits();
  private table: RouteTable | undefined;
  private keys: OrganisationKeys | undefined;
  private directory: DirectorySnapshot = { revision: 0, replicas: [] };
  private replicasById = new Map<string, ReplicaRecord>();
  private readonly announcedLeaving = new LeavingReplicas();
  private readonly listeners: ViewListener[] = [];
  private changes = 0;
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private newestNamed = { version: 0, atMs: Number.NEGATIVE_INFINITY };

  /** Increases with each change. */
  get version(): number {
    return this.changes;
  }

  /** The routes of the configuration; undefined until a configuration is known. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  get configuration(): RoutingConfiguration | undefined {
    return this.table?.configuration;
  }

  /** The organisations of the configuration; undefined if callers need no keys. */
  get organisationKeys(): OrganisationKeys | undefined {
    return this.keys;
  }

  /** 0 until a configuration is known. */
  get configurationVersion(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** When the configuration in force was last known to be the newest one, in monotonic time; minus infinity for never. */
  get configurationConfirmedAtMs(): number {
    return this.confirmedAtMs;
  }

  /**
   * Records that the store held no newer configuration at `atMs`, in monotonic time. Versions that were named before then do not
   * exist any more.
   */
  confirmConfiguration(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    if (this.newestNamed.atMs <= atMs) this.newestNamed = { version: 0, atMs: Number.NEGATIVE_INFINITY };
  }

  /** Records the version of another instance's configuration. */
  onVersionNamed(version: number, nowMs: number): void {
    if (version > Math.max(this.configurationVersion, this.newestNamed.version))
      this.newestNamed = { version, atMs: nowMs };
  }

  /** The highest version that another instance has named; 0 for none that is newer than the last confirmed one. */
  get newestNamedVersion(): number {
    return this.newestNamed.version;
  }

  /** How long it has been known that a newer configuration exists, in milliseconds; 0 if none is known. */
  outdatedForMs(nowMs: number): number {
    return this.newestNamed.version > this.configurationVersion ? nowMs - this.newestNamed.atMs : 0;
  }

  /** The replica directory; at revision 0 until one is known. */
  get replicas(): DirectorySnapshot {
    return this.directory;
  }

  replica(replicaId: string): ReplicaRecord | undefined {
    return this.replicasById.get(replicaId);
  }

  /** Whether a replica is known and not leaving, so that it may get new requests. */
  isUsable(replicaId: string): boolean {
    const replica = this.replicasById.get(replicaId);
    return replica !== undefined && this.takesRequests(replica);
  }

  /** Whether a response of this replica has stated that it is leaving. No directory takes that back. */
  hasAnnouncedLeaving(replicaId: string): boolean {
    return this.announcedLeaving.has(replicaId);
  }

  /** Listed replicas whose responses have stated that they are leaving. */
  get leavingReplicaIds(): string[] {
    return this.announcedLeaving.ids().filter((replicaId) => this.replicasById.has(replicaId));
  }

  /** Records that a response of a replica stated that it is leaving. Returns false if that was known. */
  announceLeaving(replicaId: string, nowMs: number): boolean {
    if (!this.announcedLeaving.add(replicaId, nowMs)) return false;
    this.notifyChange();
    return true;
  }

  /** Forgets what replicas have stated that the directory has not listed for a long time. */
  forgetLongGone(nowMs: number): void {
    const isListed = (replicaId: string): boolean => this.replicasById.has(replicaId);
    this.announcedLeaving.onDirectory(isListed, nowMs);
    this.requestLimits.forgetOld(isListed, nowMs);
  }

  /** Where streams begin that a replica starts; undefined when the replica is not known. */
  originOf(replicaId: string): StreamOrigin | undefined {
    const replica = this.replicasById.get(replicaId);
    return replica && { service: replica.service, softwareVersion: replica.softwareVersion };
  }

  /**
   * Whether streams of a replica still begin at `origin` as far as the directory tells. False when its entry has changed
   * since, so that it is uncertain which version of it responds.
   */
  confirmsOrigin(replicaId: string, origin: StreamOrigin): boolean {
    const current = this.originOf(replicaId);
    return current === undefined || canContinue(origin, current);
  }

  /** Whether a replica of the service at this software version may get new requests. */
  serves(origin: StreamOrigin): boolean {
    return this.directory.replicas.some(
      (replica) => this.takesRequests(replica) && canContinue(origin, replica),
    );
  }

  /** Whether a replica of the service at another software version may get new requests. */
  servesOtherVersions(origin: StreamOrigin): boolean {
    return this.directory.replicas.some(
      (replica) =>
        replica.service === origin.service && this.takesRequests(replica) && !canContinue(origin, replica),
    );
  }

  onChange(listener: ViewListener): void {
    this.listeners.push(listener);
  }

  /** Applies a configuration if it is newer than the current one. Returns whether it was applied. */
  applyConfiguration(configuration: RoutingConfiguration): boolean {
    const before = this.configurationVersion;
    // Not a number if another release has sent none.
    if (!(configuration.version > before)) return false;
    this.table = new RouteTable(configuration);
    this.keys = configuration.organisations && new OrganisationKeys(configuration.organisations);
    checkInvariant(InvariantName.revisionNeverFalls, this.configurationVersion > before, () => ({ before }));
    this.notifyChange();
    return true;
  }

  /** Applies a directory unless it is older than the current one. Returns whether the replicas changed. */
  applyDirectory(directory: DirectorySnapshot): boolean {
    if (directory.revision < this.directory.revision) return false;
    const same = JSON.stringify(directory.replicas) === JSON.stringify(this.directory.replicas);
    this.directory = directory;
    if (same) return false;
    this.forgetRestarted(directory.replicas);
    this.replicasById = new Map(directory.replicas.map((replica) => [replica.replicaId, replica]));
    this.notifyChange();
    return true;
  }

  /** A process that has started under the id of an earlier one holds and knows nothing of that one. */
  private forgetRestarted(replicas: readonly ReplicaRecord[]): void {
    replicas
      .filter(({ replicaId, startedAtUnixMs }) => {
        const before = this.replicasById.get(replicaId)?.startedAtUnixMs;
        return before !== undefined && startedAtUnixMs !== undefined && startedAtUnixMs > before;
      })
      .forEach(({ replicaId }) => {
        this.announcedLeaving.delete(replicaId);
        this.requestLimits.delete(replicaId);
      });
  }

  private takesRequests(replica: ReplicaRecord): boolean {
    return !replica.leaving && !this.announcedLeaving.has(replica.replicaId);
  }

  private notifyChange(): void {
    this.changes += 1;
    this.listeners.forEach((listener) => listener());
  }
}

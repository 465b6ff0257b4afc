/**
 * Keeps the fleet view fresh. Relays read the store and push to the instances of their failure domain; an
 * instance that hears no fresh relay reads the store itself, so that a cut between them costs calls and not
 * freshness.
 */
import type { Clock, DecisionLog, Metrics, System } from '@fighub/core';
import { LogWeight, sleep } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { ReplicaDirectory, coordinatorFor, coordinatorsOf, isCoordinator } from '@fighub/decisions';
import type { FleetViewBody, MembershipRunner, PeerNode, PiggybackSource, TableDigest } from '@fighub/peers';

import type { BacklogView } from '../batch/backlog-view.js';
import type { FleetSource } from './fleet-source.js';
import type { FleetView } from './fleet-view.js';

/** Periods, in milliseconds. The platform wants changes in force within 2 s. */
const DIRECTORY_PERIOD_MS = 500;
const CONFIGURATION_WAIT_MS = 2_000;
/** Every reading is pushed at once; without one, relays show this often that they are there. */
const PUSH_PERIOD_MS = 600;
/** A view whose last reading is older than this is not fresh. */
const FRESH_MS = 1_100;
const FAILURE_PAUSE_MS = 250;
/** Longer than a round of reading takes while the store is slow. */
const CUT_OFF_AFTER_MS = 1_000;
const FETCH_TIMEOUT_MS = 600;

/** Names the reader's role where its holder is chosen. */
const READER = 'directory reader';

/** Reads, pushes and takes in views. */
export class ViewKeeper implements System, PiggybackSource {
  readonly name = 'view keeper';
  readonly busy = false;
  private readonly directory = new ReplicaDirectory();
  private readAtMs = Number.NEGATIVE_INFINITY;
  private heardAtMs = Number.NEGATIVE_INFINITY;
  /** When a relay pushed its view, however old that was. */
  private pushedAtMs = Number.NEGATIVE_INFINITY;
  private nextPushMs = 0;
  private nextDirectoryMs = 0;
  private readingDirectory = false;
  private readingConfiguration = false;
  private configurationRevision = 0;
  private pushedConfigurationVersion = 0;
  private fetchingFrom: string | undefined;
  private storeReachable = true;
  private stopped = false;
  /** The relay that reads the directory, at one version of the membership. */
  private readerId: string | undefined;
  private readerVersion = -1;

  constructor(
    private readonly view: FleetView,
    private readonly source: FleetSource,
    private readonly node: PeerNode,
    private readonly members: () => MembershipRunner,
    private readonly self: () => MemberUpdate,
    private readonly isRelay: boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
    private readonly backlog: BacklogView,
  ) {
    node.onNotice('view.pushed', (body) => this.onPushed(body));
    node.onRequest('view.fetch', () => this.body(true));
  }

  /** Time since the directory was read from the store, here or by a relay. */
  get ageMs(): number {
    return this.clock.monotonicMs() - Math.max(this.readAtMs, this.heardAtMs);
  }

  /** Whether neither a relay nor the store is reached from here: callers are served better elsewhere. */
  get isCutOff(): boolean {
    const heardMs = Math.max(this.pushedAtMs, this.readAtMs);
    return Number.isFinite(heardMs) && this.clock.monotonicMs() - heardMs >= CUT_OFF_AFTER_MS;
  }

  /** Whether this instance reads the directory from the store itself at present. */
  get reads(): boolean {
    return this.isReader || !this.hearsFreshViews;
  }

  run(nowMs: number): void {
    if (this.stopped) return;
    if (this.isRelay || !this.hearsFreshViews) this.startConfiguration();
    if (this.reads) this.startDirectory(nowMs);
    if (this.isRelay && nowMs >= this.nextPushMs) this.push(nowMs);
  }

  stop(): void {
    this.stopped = true;
  }

  tableDigest(): TableDigest {
    return { revisions: [this.view.configurationVersion] };
  }

  /** A peer with a newer configuration is asked for it. */
  onPeerTable(peer: MemberUpdate, digest: TableDigest): void {
    if ((digest.revisions[0] ?? 0) > this.view.configurationVersion) void this.fetchFrom(peer.peerAddress);
  }

  dump(): Record<string, unknown> {
    return {
      relay: this.isRelay,
      reads: this.reads,
      storeReachable: this.storeReachable,
      ageMs: Math.round(this.ageMs),
      isCutOff: this.isCutOff,
      configurationVersion: this.view.configurationVersion,
      directoryRevision: this.view.replicas.revision,
      replicas: this.view.replicas.replicas,
    };
  }

  /** One relay reads the directory for all; each relay watches the configuration, since a watch may be cut. */
  private get isReader(): boolean {
    if (!this.isRelay) return false;
    const { version } = this.members().membership;
    if (version !== this.readerVersion) {
      this.readerVersion = version;
      this.readerId = coordinatorFor(READER, this.members().owners());
    }
    return (this.readerId ?? this.self().instanceId) === this.self().instanceId;
  }

  private get hearsFreshViews(): boolean {
    return this.clock.monotonicMs() - this.heardAtMs <= FRESH_MS;
  }

  private startConfiguration(): void {
    if (!this.readingConfiguration) void this.readConfiguration();
  }

  private startDirectory(nowMs: number): void {
    if (this.readingDirectory || nowMs < this.nextDirectoryMs) return;
    this.nextDirectoryMs = nowMs + DIRECTORY_PERIOD_MS;
    void this.readDirectory();
  }

  private async readConfiguration(): Promise<void> {
    this.readingConfiguration = true;
    const waitMs = this.configurationRevision === 0 ? 0 : CONFIGURATION_WAIT_MS;
    const reading = await this.source.nextConfiguration(this.configurationRevision, waitMs);
    if (reading.ok) {
      this.configurationRevision = reading.value.revision;
      if (reading.value.configuration) this.takeConfiguration(reading.value.configuration, 'store');
    }
    if (!reading.ok || (waitMs === 0 && !reading.value.configuration)) await sleep(FAILURE_PAUSE_MS);
    this.readingConfiguration = false;
  }

  private async readDirectory(): Promise<void> {
    this.readingDirectory = true;
    const askedAtMs = this.clock.monotonicMs();
    const reading = await this.source.readDirectory();
    this.readingDirectory = false;
    this.noteStore(reading.ok, reading.ok ? '' : reading.error.detail);
    if (!reading.ok) {
      this.directory.onReadFailed(this.clock.monotonicMs());
      return;
    }
    this.readAtMs = askedAtMs;
    this.nextPushMs = 0;
    this.directory.apply(reading.value, this.clock.monotonicMs());
    this.takeDirectory(this.directory.snapshot, 'store');
  }

  private noteStore(reachable: boolean, detail: string): void {
    if (reachable === this.storeReachable) return;
    this.storeReachable = reachable;
    this.log.record(LogWeight.state, reachable ? 'store_regained' : 'store_lost', { detail });
  }

  private takeConfiguration(configuration: FleetViewBody['configuration'], from: string): void {
    if (!configuration || !this.view.applyConfiguration(configuration)) return;
    this.nextPushMs = 0;
    const { version, routes } = configuration;
    this.log.record(LogWeight.state, 'configuration_applied', { version, routes: routes.length, from });
  }

  private adoptDirectory({ directory, ageMs }: FleetViewBody, from: string): void {
    this.directory.applyFromPeer(directory, this.clock.monotonicMs() - ageMs);
    this.takeDirectory(directory, from);
  }

  private takeDirectory(directory: FleetViewBody['directory'], from: string): void {
    if (!this.view.applyDirectory(directory)) return;
    this.nextPushMs = 0;
    this.log.record(LogWeight.state, 'directory_changed', {
      from,
      revision: directory.revision,
      replicas: directory.replicas.map(
        (replica) => `${replica.replicaId}${replica.leaving ? ' leaving' : ''}`,
      ),
    });
  }

  private push(nowMs: number): void {
    this.nextPushMs = nowMs + PUSH_PERIOD_MS;
    if (this.view.replicas.revision === 0) return;
    const isNew = this.view.configurationVersion !== this.pushedConfigurationVersion;
    this.pushedConfigurationVersion = this.view.configurationVersion;
    const body = this.body(isNew);
    this.receivers().forEach((member) => this.node.notify(member.peerAddress, 'view.pushed', body));
  }

  /** Instances of the own failure domain and of domains that have no relay; from a reader all other relays too. */
  private receivers(): readonly MemberUpdate[] {
    const self = this.self();
    const owners = this.members().owners();
    const isReading = this.reads;
    const withRelay = new Set(coordinatorsOf(owners).map((member) => member.failureDomain));
    return owners
      .filter((member) => member.instanceId !== self.instanceId)
      .filter(
        (member) =>
          (isReading && isCoordinator(member)) ||
          member.failureDomain === self.failureDomain ||
          !withRelay.has(member.failureDomain),
      );
  }

  private body(withConfiguration: boolean): FleetViewBody {
    return {
      configurationVersion: this.view.configurationVersion,
      configuration: withConfiguration ? this.view.configuration : undefined,
      directory: this.view.replicas,
      ageMs: Math.min(this.ageMs, Number.MAX_SAFE_INTEGER),
      backlog: this.backlog.snapshot(),
    };
  }

  private onPushed(body: FleetViewBody): void {
    this.pushedAtMs = this.clock.monotonicMs();
    if (body.backlog) this.backlog.onPushed(body.backlog);
    this.takeConfiguration(body.configuration, 'relay');
    this.adoptDirectory(body, 'relay');
    if (body.configurationVersion > this.view.configurationVersion) this.metrics.count('views_behind');
    const isCurrent = body.configurationVersion <= this.view.configurationVersion;
    const isNewest = body.directory.revision >= this.view.replicas.revision;
    if (isCurrent && isNewest) {
      const readAtMs = this.clock.monotonicMs() - body.ageMs;
      if (readAtMs > this.heardAtMs) this.nextPushMs = 0;
      this.heardAtMs = Math.max(this.heardAtMs, readAtMs);
    }
  }

  private async fetchFrom(address: string): Promise<void> {
    if (this.fetchingFrom !== undefined) return;
    this.fetchingFrom = address;
    const answer = await this.node.request(address, 'view.fetch', {}, FETCH_TIMEOUT_MS);
    this.fetchingFrom = undefined;
    if (!answer.ok) return;
    this.takeConfiguration(answer.value.configuration, 'peer');
    this.adoptDirectory(answer.value, 'peer');
  }
}

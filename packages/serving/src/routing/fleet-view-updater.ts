/**
 * Keeps the fleet view up to date. The coordinators serve as relays: they read the store and push their views to the
 * instances of their failure domain. An instance that receives no fresh view reads the store itself, so that a
 * partition between it and the relays costs extra store calls but does not make its view stale.
 */
import type { Clock, DecisionLog, Metrics, ReplicaRecord, System } from '@fighub/core';
import { LogCategory, errorFields, isFatalError, sleep } from '@fighub/core';
import type { ClockReading, MemberUpdate } from '@fighub/decisions';
import {
  ReplicaDirectory,
  coordinatorFor,
  coordinatorsOf,
  isCoordinator,
  mayRefuseForGood,
} from '@fighub/decisions';
import type { FleetViewBody, MembershipRunner, PeerNode, PiggybackSource, TableDigest } from '@fighub/peers';

import type { BacklogView } from '../batch/backlog-view.js';
import type { FleetSource, RejectedEntry } from './fleet-source.js';
import type { FleetView } from './fleet-view.js';
import { AnnouncementSource, recordAnnouncement } from './leaving-announcements.js';
import { ObservationSource, observationsBody, recordObservations } from './observation-exchange.js';
import { replicaFault } from './replica-check.js';

/** The directory is read this often: the hosting platform requires that changes take effect within 2 s. */
const DIRECTORY_PERIOD_MS = 500;
/** Shortest time between two readings of the directory that requests wait for. */
const MIN_DIRECTORY_PERIOD_MS = 100;
/** A reading that is newer than the last one by less than this is the same one, received through another relay. */
const SAME_READING_MS = DIRECTORY_PERIOD_MS / 2;
/** Longest wait of one read for a newer configuration. */
const CONFIGURATION_WAIT_MS = 2_000;
/** New readings are pushed at once. Without one, relays push this often to show that they are reachable. */
const PUSH_PERIOD_MS = 600;
/** A view is fresh while its last reading from the store is no older than this. */
const FRESH_VIEW_MS = 1_100;
/** Pause before the configuration is read again after a failure, or while there is none. */
const FAILED_READ_PAUSE_MS = 250;
/**
 * An instance is cut off after this time without contact with a relay or the store. The time is longer than one round
 * of reads takes while the store is slow.
 */
const CUT_OFF_AFTER_MS = 1_000;
/** A newer configuration that other instances have named is looked for in the store if it has not arrived within this time. */
const AWAIT_NAMED_VERSION_MS = 1_000;
/** Shortest time between two readings that confirm the configuration in force. */
const CONFIRMATION_PERIOD_MS = 500;
/** Timeout of a request for the view of a peer. */
const FETCH_TIMEOUT_MS = 600;

/** Key by which the relay that reads the directory is chosen among the coordinators. */
const READER_ROLE_KEY = 'directory reader';

/** Reads, pushes and applies fleet views. */
export class FleetViewUpdater implements System, PiggybackSource {
  readonly name = 'fleet view updater';
  readonly busy = false;
  private readonly directory = new ReplicaDirectory();
  /** Reasons of the entries that the last read has rejected, by key. */
  private rejectedEntries: ReadonlyMap<string, string> = new Map();
  /** When this instance began its last successful read of the directory. */
  private storeReadAtMs = Number.NEGATIVE_INFINITY;
  /** When the newest view that a relay pushed was read from the store. */
  private relayReadAtMs = Number.NEGATIVE_INFINITY;
  /** When a relay last pushed a view, however old the view was. */
  private pushReceivedAtMs = Number.NEGATIVE_INFINITY;
  private nextPushMs = 0;
  private nextDirectoryMs = 0;
  /** The reading of the directory that has begun and not ended. */
  private directoryReading: Promise<void> | undefined;
  private directoryBegunAtMs = Number.NEGATIVE_INFINITY;
  /** The next reading of the directory, which requests wait for. */
  private awaitedReading: Promise<void> | undefined;
  private readingConfiguration = false;
  private confirmingConfiguration = false;
  private nextConfirmationMs = Number.NEGATIVE_INFINITY;
  private configurationRevision = 0;
  private pushedConfigurationVersion = 0;
  private fetchingFrom: string | undefined;
  private storeReachable = true;
  private stopped = false;
  /** The relay that reads the directory for the whole fleet, as of `readerMembershipVersion`. */
  private readerId: string | undefined;
  private readerMembershipVersion = -1;

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
    /** Called when the newest configuration was read from the store; `askedAt` is when the read began. */
    private readonly onNewestRead: (askedAt: ClockReading) => void = () => undefined,
  ) {
    node.onNotice('view.pushed', (body) => this.onPushed(body));
    node.onRequest('view.fetch', () => this.body(true));
  }

  /** Milliseconds since the directory was read from the store, by this instance or by a relay. */
  get ageMs(): number {
    return this.clock.monotonicMs() - Math.max(this.storeReadAtMs, this.relayReadAtMs);
  }

  /**
   * Whether this instance has recently reached neither a relay nor the store. Other instances then serve callers
   * better. False until a first view is received or read.
   */
  get isCutOff(): boolean {
    const lastContactMs = Math.max(this.pushReceivedAtMs, this.storeReadAtMs);
    return Number.isFinite(lastContactMs) && this.clock.monotonicMs() - lastContactMs >= CUT_OFF_AFTER_MS;
  }

  /** Whether a request may be refused for good because the configuration in force lacks what it names. */
  get mayRefuseForGood(): boolean {
    const { configurationVersion, newestNamedVersion } = this.view;
    return mayRefuseForGood({ version: configurationVersion, newestNamedVersion, isCutOff: this.isCutOff });
  }

  /** Whether this instance currently reads the directory from the store itself. */
  get reads(): boolean {
    return this.isReader || !this.receivesFreshViews;
  }

  run(nowMs: number): void {
    if (this.stopped) return;
    if (this.isRelay || !this.receivesFreshViews) this.startConfigurationRead();
    if (this.view.outdatedForMs(nowMs) >= AWAIT_NAMED_VERSION_MS) this.confirmConfiguration();
    if (this.reads) this.startDirectoryRead(nowMs);
    if (this.isRelay && nowMs >= this.nextPushMs) this.push(nowMs);
  }

  stop(): void {
    this.stopped = true;
  }

  /**
   * Reads the configuration in force from the store, so that what it lacks is known not to exist. The reading is not repeated
   * when it fails; whoever needs it asks again.
   */
  confirmConfiguration(): void {
    const nowMs = this.clock.monotonicMs();
    if (this.stopped || this.confirmingConfiguration || nowMs < this.nextConfirmationMs) return;
    this.nextConfirmationMs = nowMs + CONFIRMATION_PERIOD_MS;
    this.confirmingConfiguration = true;
    this.readToConfirm(nowMs)
      .catch((error: unknown) => this.onReadError('configuration', error))
      .finally(() => (this.confirmingConfiguration = false));
  }

  /**
   * Reads the directory from the store. Resolves when a reading that was begun after this call has been applied or has failed, or
   * after `timeoutMs`.
   */
  async readDirectoryNow(timeoutMs: number): Promise<void> {
    this.awaitedReading ??= this.readNext();
    await Promise.race([this.awaitedReading, sleep(timeoutMs)]);
  }

  /** A reading that has begun before may lack what was registered since. */
  private async readNext(): Promise<void> {
    await this.directoryReading;
    const waitMs = this.directoryBegunAtMs + MIN_DIRECTORY_PERIOD_MS - this.clock.monotonicMs();
    if (waitMs > 0) await sleep(waitMs);
    await this.directoryReading;
    // Who asks from now on needs a later reading.
    this.awaitedReading = undefined;
    await this.beginDirectoryRead();
  }

  /** The configuration version, which is exchanged with peers along with membership messages. */
  tableDigest(): TableDigest {
    return { revisions: [this.view.configurationVersion] };
  }

  /** Fetches the configuration of a peer if it is newer. */
  onPeerTable(peer: MemberUpdate, digest: TableDigest): void {
    const version = digest.revisions[0] ?? 0;
    if (version <= this.view.configurationVersion) return;
    this.view.onVersionNamed(version, this.clock.monotonicMs());
    this.node.detach('view.fetch', this.fetchFrom(peer.peerAddress));
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
      leavingReplicaIds: this.view.leavingReplicaIds,
      rejectedEntries: Object.fromEntries(this.rejectedEntries),
      ...observationsBody(this.view, this.clock.monotonicMs()),
    };
  }

  /**
   * Whether this instance is the one relay that reads the directory for the whole fleet. The configuration is watched
   * by every relay, since a watch may be interrupted.
   */
  private get isReader(): boolean {
    if (!this.isRelay) return false;
    const { version } = this.members().membership;
    if (version !== this.readerMembershipVersion) {
      this.readerMembershipVersion = version;
      this.readerId = coordinatorFor(READER_ROLE_KEY, this.members().owners());
    }
    return (this.readerId ?? this.self().instanceId) === this.self().instanceId;
  }

  private get receivesFreshViews(): boolean {
    return this.clock.monotonicMs() - this.relayReadAtMs <= FRESH_VIEW_MS;
  }

  private startConfigurationRead(): void {
    if (this.readingConfiguration) return;
    this.readingConfiguration = true;
    this.readConfiguration()
      .catch((error: unknown) => this.onReadError('configuration', error))
      .finally(() => (this.readingConfiguration = false));
  }

  private startDirectoryRead(nowMs: number): void {
    if (this.directoryReading || nowMs < this.nextDirectoryMs) return;
    this.nextDirectoryMs = nowMs + DIRECTORY_PERIOD_MS;
    void this.beginDirectoryRead();
  }

  private beginDirectoryRead(): Promise<void> {
    this.directoryBegunAtMs = this.clock.monotonicMs();
    const reading = this.readDirectory()
      .catch((error: unknown) => this.onReadError('directory', error))
      .finally(() => (this.directoryReading = undefined));
    this.directoryReading = reading;
    return reading;
  }

  /** The view before stays in force, and the next read is made as usual. */
  private async onReadError(what: string, error: unknown): Promise<void> {
    if (isFatalError(error)) throw error;
    this.log.record(LogCategory.failure, 'view_read_error', { what, ...errorFields(error) });
    await sleep(FAILED_READ_PAUSE_MS);
  }

  private async readConfiguration(): Promise<void> {
    const waitMs = this.configurationRevision === 0 ? 0 : CONFIGURATION_WAIT_MS;
    const askedAt = { monotonicMs: this.clock.monotonicMs(), unixMs: this.clock.nowUnixMs() };
    const reading = await this.source.nextConfiguration(this.configurationRevision, waitMs);
    if (reading.ok) {
      this.configurationRevision = reading.value.revision;
      const { configuration, rejection } = reading.value;
      if (waitMs === 0 && (configuration !== undefined || rejection !== undefined))
        this.onNewestRead(askedAt);
      if (configuration) this.applyConfigurationFrom(configuration, 'store');
      if (rejection !== undefined) this.logRejection(rejection);
    }
    if (!reading.ok || (waitMs === 0 && !reading.value.configuration)) await sleep(FAILED_READ_PAUSE_MS);
  }

  private async readToConfirm(askedAtMs: number): Promise<void> {
    const reading = await this.source.currentConfiguration();
    if (!reading.ok) return;
    const { configuration, rejection } = reading.value;
    this.applyConfigurationFrom(configuration, 'store');
    if (rejection !== undefined) this.logRejection(rejection);
    // A configuration that could not be taken may have what the one in force lacks.
    else if (configuration) this.view.confirmConfiguration(askedAtMs);
  }

  private async readDirectory(): Promise<void> {
    const requestedAtMs = this.clock.monotonicMs();
    const reading = await this.source.readDirectory();
    this.recordStoreReachability(reading.ok, reading.ok ? '' : reading.error.detail);
    if (!reading.ok) {
      this.directory.onReadFailed(this.clock.monotonicMs());
      return;
    }
    this.storeReadAtMs = requestedAtMs;
    this.nextPushMs = 0;
    const { revision, replicas, rejected } = reading.value;
    this.logRejectedEntries(rejected);
    this.directory.apply({ revision, replicas }, this.clock.monotonicMs());
    this.applyDirectoryFrom(this.directory.snapshot, 'store', requestedAtMs);
  }

  private recordStoreReachability(reachable: boolean, detail: string): void {
    if (reachable === this.storeReachable) return;
    this.storeReachable = reachable;
    this.log.record(LogCategory.state, reachable ? 'store_regained' : 'store_lost', { detail });
  }

  private logRejection(detail: string): void {
    this.metrics.count('configurations_rejected');
    const { configurationVersion } = this.view;
    this.log.record(LogCategory.failure, 'configuration_rejected', { detail, inForce: configurationVersion });
  }

  /** Logs an entry when a read rejects it first, or for another reason than the read before. */
  private logRejectedEntries(rejected: readonly RejectedEntry[]): void {
    rejected
      .filter(({ key, reason }) => this.rejectedEntries.get(key) !== reason)
      .forEach((entry) => this.log.record(LogCategory.failure, 'replica_entry_rejected', { ...entry }));
    this.rejectedEntries = new Map(rejected.map(({ key, reason }) => [key, reason]));
  }

  /** Applies a configuration if it is newer than the one in force. `from` names its source in the log. */
  applyConfigurationFrom(configuration: FleetViewBody['configuration'], from: string): void {
    if (!configuration || !this.view.applyConfiguration(configuration)) return;
    this.view.originHistory.observeRoutes(configuration.routes, this.clock.monotonicMs());
    this.nextPushMs = 0;
    const { version, routes, organisations } = configuration;
    this.log.record(LogCategory.state, 'configuration_applied', {
      version,
      routes: routes.length,
      organisations: organisations?.length,
      from,
    });
  }

  /** An instance of an earlier release passes on replicas that no request can be sent to. */
  private applyReceivedDirectory({ directory, ageMs }: FleetViewBody, from: string): void {
    const readAtMs = this.clock.monotonicMs() - ageMs;
    const replicas = directory.replicas.filter((replica) => replicaFault(replica) === undefined);
    const usable = { revision: directory.revision, replicas };
    this.directory.applyFromPeer(usable, readAtMs);
    this.applyDirectoryFrom(usable, from, readAtMs);
  }

  private applyDirectoryFrom(directory: FleetViewBody['directory'], from: string, readAtMs: number): void {
    const ageMs = this.clock.monotonicMs() - readAtMs;
    const readAt = { monotonicMs: readAtMs, unixMs: this.clock.nowUnixMs() - ageMs };
    this.view.originHistory.observeReplicas(directory.replicas, readAt, from === 'store');
    this.view.forgetLongGone(this.clock.monotonicMs());
    if (!this.view.applyDirectory(directory)) return;
    this.nextPushMs = 0;
    this.log.record(LogCategory.state, 'directory_changed', {
      from,
      revision: directory.revision,
      replicas: directory.replicas.map(
        (replica) => `${replica.replicaId}${replica.leaving ? ' leaving' : ''}`,
      ),
      softwareVersions: countByVersion(directory.replicas),
    });
  }

  private push(nowMs: number): void {
    this.nextPushMs = nowMs + PUSH_PERIOD_MS;
    if (this.view.replicas.revision === 0) return;
    const isNew = this.view.configurationVersion !== this.pushedConfigurationVersion;
    this.pushedConfigurationVersion = this.view.configurationVersion;
    const body = this.body(isNew);
    const addresses = this.receivers().map((member) => member.peerAddress);
    this.node.notifyAll(addresses, 'view.pushed', body);
  }

  /**
   * The instances of this failure domain and of failure domains without a relay. An instance that reads the
   * directory also pushes to all other relays.
   */
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
    const { leavingReplicaIds } = this.view;
    return {
      ...observationsBody(this.view, this.clock.monotonicMs()),
      configurationVersion: this.view.configurationVersion,
      configuration: withConfiguration ? this.view.configuration : undefined,
      directory: this.view.replicas,
      ageMs: Math.min(this.ageMs, Number.MAX_SAFE_INTEGER),
      backlog: this.backlog.snapshot(),
      leavingReplicaIds: leavingReplicaIds.length > 0 ? leavingReplicaIds : undefined,
    };
  }

  private onPushed(body: FleetViewBody): void {
    this.pushReceivedAtMs = this.clock.monotonicMs();
    if (body.backlog) this.backlog.onPushed(body.backlog);
    this.applyConfigurationFrom(body.configuration, 'relay');
    this.applyReceivedDirectory(body, 'relay');
    this.applyObservations(body);
    this.view.onVersionNamed(body.configurationVersion, this.clock.monotonicMs());
    if (body.configurationVersion > this.view.configurationVersion) this.metrics.count('views_behind');
    const isCurrent = body.configurationVersion <= this.view.configurationVersion;
    const isNewest = body.directory.revision >= this.view.replicas.revision;
    if (isCurrent && isNewest) {
      const readAtMs = this.clock.monotonicMs() - body.ageMs;
      if (readAtMs > this.relayReadAtMs + SAME_READING_MS) this.nextPushMs = 0;
      this.relayReadAtMs = Math.max(this.relayReadAtMs, readAtMs);
    }
  }

  /** Applies what replicas and their responses have shown to other instances. */
  private applyObservations(body: FleetViewBody): void {
    const { view, clock, metrics, log } = this;
    recordObservations(body, ObservationSource.relay, { view, clock, metrics, log });
    body.leavingReplicaIds?.forEach((replicaId) =>
      recordAnnouncement(replicaId, AnnouncementSource.relay, { view, clock, metrics, log }),
    );
  }

  /** Fetches the view of a peer. */
  async fetchFrom(address: string): Promise<void> {
    if (this.fetchingFrom !== undefined) return;
    this.fetchingFrom = address;
    const answer = await this.node.request(address, 'view.fetch', {}, FETCH_TIMEOUT_MS);
    this.fetchingFrom = undefined;
    if (!answer.ok) return;
    this.applyConfigurationFrom(answer.value.configuration, 'peer');
    this.applyReceivedDirectory(answer.value, 'peer');
    this.applyObservations(answer.value);
  }
}

/** Numbers of replicas by service and software version. */
function countByVersion(replicas: readonly ReplicaRecord[]): Record<string, number> {
  return replicas.reduce<Record<string, number>>((counts, { service, softwareVersion }) => {
    const key = `${service} ${softwareVersion}`;
    return { ...counts, [key]: (counts[key] ?? 0) + 1 };
  }, {});
}

/**
 * Keeps proving that this instance knows the newest configuration, and so which keys have been withdrawn. One coordinator
 * reads it from the store, the other coordinators ask that one, and all other instances a coordinator. Whoever gets no
 * proof that is recent enough reads the store itself. An answer states the age of what its sender has proven, which the
 * receiver carries on. Pushed views are no proof: they may have been held up on the way for any time.
 */
import type { Clock, DecisionLog, Metrics, RoutingConfiguration, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { ClockReading } from '@fighub/decisions';
import { KnowledgeAge, coordinatorFor, coordinatorsOf, isCoordinator } from '@fighub/decisions';
import type { ConfigurationProof, MembershipRunner, PeerNode } from '@fighub/peers';

import type { FleetSource } from '../routing/fleet-source.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { KeyKnowledge } from './access-control.js';

/** The proof is renewed this many times within the limit, so that single answers may be lost or late. */
const RENEWALS_PER_LIMIT = 5;
/** Part of the limit that is left for differences between the clocks of machines. */
const CLOCK_MARGIN_FRACTION = 0.05;
/** An instance with an older proof from a peer reads the store itself, as a fraction of the limit. */
const MAX_RELAYED_AGE_FRACTION = 0.6;
const ASK_TIMEOUT_MS = 300;
/** Key by which the coordinator that reads the configuration is chosen. */
const READER_ROLE_KEY = 'configuration reader';

/** Components that `KeyConfirmation` uses. */
export interface KeyConfirmationDependencies {
  readonly view: FleetView;
  readonly source: FleetSource;
  readonly selfId: string;
  /** Longest time for which a withdrawn key may be accepted, in milliseconds; undefined for any. */
  readonly withdrawalLimitMs: number | undefined;
  readonly members: () => MembershipRunner;
  readonly node: PeerNode;
  /** Applies a configuration that was read from the store. */
  readonly apply: (configuration: RoutingConfiguration) => void;
  /** Fetches the configuration of a peer that has a newer one. */
  readonly fetchFrom: (address: string) => Promise<void>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly random: () => number;
}

/** Renews the proof while the configuration has organisations and the limit is set. */
export class KeyConfirmation implements System, KeyKnowledge {
  readonly name = 'key confirmation';
  readonly busy = false;
  private readonly age = new KnowledgeAge();
  private asking = false;
  private nextMs = Number.NEGATIVE_INFINITY;
  /** Whether the last coordinator that was asked has not responded. */
  private peerFailed = false;
  private wasConfirmed = true;

  constructor(private readonly dependencies: KeyConfirmationDependencies) {
    dependencies.node.onRequest('configuration.prove', () => this.proof());
  }

  get ageMs(): number {
    return this.age.ageMs(this.now());
  }

  /** Always true without a limit, or without organisations. */
  get isConfirmed(): boolean {
    const { withdrawalLimitMs } = this.dependencies;
    if (withdrawalLimitMs === undefined || !this.dependencies.view.organisationKeys) return true;
    return this.ageMs <= withdrawalLimitMs * (1 - CLOCK_MARGIN_FRACTION);
  }

  run(nowMs: number): void {
    const { withdrawalLimitMs, view } = this.dependencies;
    if (withdrawalLimitMs === undefined || !view.organisationKeys) return;
    this.logChange();
    if (this.asking || nowMs < this.nextMs) return;
    this.asking = true;
    this.nextMs = nowMs + withdrawalLimitMs / RENEWALS_PER_LIMIT;
    this.dependencies.node.detach(
      'configuration.prove',
      this.renew().finally(() => (this.asking = false)),
    );
  }

  /** Records that another part of this instance has read the newest configuration, which it began to do at `askedAt`. */
  onNewestRead(askedAt: ClockReading): void {
    this.age.prove(askedAt, 0);
    const { withdrawalLimitMs = 0 } = this.dependencies;
    this.nextMs = askedAt.monotonicMs + withdrawalLimitMs / RENEWALS_PER_LIMIT;
  }

  dump(): Record<string, unknown> {
    return {
      isConfirmed: this.isConfirmed,
      ageMs: Number.isFinite(this.ageMs) ? Math.round(this.ageMs) : undefined,
    };
  }

  private async renew(): Promise<void> {
    const proven = this.isReader
      ? (await this.readStore()) || (await this.askPeer())
      : ((await this.askPeer()) && this.isRecent) || (await this.readStore());
    if (!proven) this.dependencies.metrics.count('key_confirmations_failed');
  }

  /** Whether this instance is the one that reads the store for the fleet. */
  private get isReader(): boolean {
    const { members, selfId } = this.dependencies;
    return coordinatorFor(READER_ROLE_KEY, members().owners()) === selfId;
  }

  /** Whether the proof is so recent that the instance that reads the store for the fleet reaches it. */
  private get isRecent(): boolean {
    const { withdrawalLimitMs = Number.POSITIVE_INFINITY } = this.dependencies;
    return this.ageMs <= withdrawalLimitMs * MAX_RELAYED_AGE_FRACTION;
  }

  /**
   * Reads the configuration from the store. Whatever was acknowledged before the read began is known after it. One that cannot
   * be read leaves the version before in force, which is then the newest that there is.
   */
  private async readStore(): Promise<boolean> {
    const askedAt = this.now();
    const reading = await this.dependencies.source.currentConfiguration();
    if (!reading.ok) return false;
    const { configuration, rejection } = reading.value;
    if (!configuration && rejection === undefined) return false;
    if (configuration) this.dependencies.apply(configuration);
    this.age.prove(askedAt, 0);
    return true;
  }

  private async askPeer(): Promise<boolean> {
    const { view, node } = this.dependencies;
    const address = this.peerToAsk();
    if (address === undefined) return false;
    const askedAt = this.now();
    const answer = await node.request(address, 'configuration.prove', {}, ASK_TIMEOUT_MS);
    this.peerFailed = !answer.ok;
    if (!answer.ok || answer.value.ageMs === undefined) return false;
    if (answer.value.version > view.configurationVersion) await this.dependencies.fetchFrom(address);
    // Versions only rise: what was newest at the peer is known here if this instance has it or a later one.
    if (answer.value.version > view.configurationVersion) return false;
    this.age.prove(askedAt, answer.value.ageMs);
    return true;
  }

  /** For coordinators the reader; for others a coordinator of their failure domain. If that has not responded, any. */
  private peerToAsk(): string | undefined {
    const { members, selfId, random } = this.dependencies;
    const owners = members().owners();
    const self = owners.find(({ instanceId }) => instanceId === selfId);
    const failureDomain = self?.failureDomain;
    const others = coordinatorsOf(owners).filter(({ instanceId }) => instanceId !== selfId);
    const readerId = coordinatorFor(READER_ROLE_KEY, owners);
    const reader = others.find(({ instanceId }) => instanceId === readerId);
    if (self && isCoordinator(self) && reader && !this.peerFailed) return reader.peerAddress;
    const near = others.filter((member) => member.failureDomain === failureDomain);
    const candidates = near.length > 0 && !this.peerFailed ? near : others;
    return candidates[Math.floor(random() * candidates.length)]?.peerAddress;
  }

  private proof(): ConfigurationProof {
    const { ageMs } = this;
    return {
      version: this.dependencies.view.configurationVersion,
      ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
    };
  }

  private logChange(): void {
    const { isConfirmed } = this;
    if (isConfirmed === this.wasConfirmed) return;
    this.wasConfirmed = isConfirmed;
    this.dependencies.log.record(LogCategory.state, isConfirmed ? 'keys_confirmed' : 'keys_unconfirmed', {
      ageMs: Math.round(Math.min(this.ageMs, Number.MAX_SAFE_INTEGER)),
      configurationVersion: this.dependencies.view.configurationVersion,
    });
  }

  private now(): ClockReading {
    const { clock } = this.dependencies;
    return { monotonicMs: clock.monotonicMs(), unixMs: clock.nowUnixMs() };
  }
}

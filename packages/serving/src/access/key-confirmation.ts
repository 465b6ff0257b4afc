/**
 * Keeps proving that this instance knows the newest configuration, and so which keys have been withdrawn. Coordinators read it
 * from the store; other instances ask a coordinator, and read the store when none responds. An answer states the age of
 * what its sender has proven, which the receiver carries on. Pushed views are no proof: they may have been held up on the
 * way for any time.
 */
import type { Clock, DecisionLog, Metrics, RoutingConfiguration, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { ClockReading } from '@fighub/decisions';
import { KnowledgeAge, coordinatorsOf } from '@fighub/decisions';
import type { ConfigurationProof, MembershipRunner, PeerNode } from '@fighub/peers';

import type { FleetSource } from '../routing/fleet-source.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { KeyKnowledge } from './access-control.js';

/** The proof is renewed this many times within the limit, so that single answers may be lost or late. */
const RENEWALS_PER_LIMIT = 5;
/** Part of the limit that is left for differences between the clocks of machines. */
const CLOCK_MARGIN_FRACTION = 0.05;
const ASK_TIMEOUT_MS = 300;

/** Components that `KeyConfirmation` uses. */
export interface KeyConfirmationDependencies {
  readonly view: FleetView;
  readonly source: FleetSource;
  readonly selfId: string;
  readonly isCoordinator: boolean;
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
    void this.renew().finally(() => (this.asking = false));
  }

  dump(): Record<string, unknown> {
    return {
      isConfirmed: this.isConfirmed,
      ageMs: Number.isFinite(this.ageMs) ? Math.round(this.ageMs) : undefined,
    };
  }

  private async renew(): Promise<void> {
    const { isCoordinator } = this.dependencies;
    const proven = isCoordinator
      ? (await this.readStore()) || (await this.askPeer())
      : (await this.askPeer()) || (await this.readStore());
    if (proven) return;
    this.dependencies.metrics.count('key_confirmations_failed');
  }

  /** Reads the configuration from the store. Whatever was acknowledged before the read began is known after it. */
  private async readStore(): Promise<boolean> {
    const askedAt = this.now();
    const reading = await this.dependencies.source.currentConfiguration();
    if (!reading.ok || !reading.value.configuration) return false;
    this.dependencies.apply(reading.value.configuration);
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

  /** A coordinator of this failure domain or, if that has not responded, any coordinator. */
  private peerToAsk(): string | undefined {
    const { members, selfId, random } = this.dependencies;
    const owners = members().owners();
    const failureDomain = owners.find(({ instanceId }) => instanceId === selfId)?.failureDomain;
    const others = coordinatorsOf(owners).filter(({ instanceId }) => instanceId !== selfId);
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

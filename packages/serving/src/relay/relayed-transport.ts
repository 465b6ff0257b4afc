/**
 * Sends requests to replicas directly, and through another instance when this one has lost its paths to them. The state
 * belongs to the instance, so that callers do not wait for connection attempts once it is known.
 */
import type { Clock, DecisionLog, Metrics, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { ReplicaAddress } from '@fighub/decisions';
import { UpstreamPaths, UpstreamWay } from '@fighub/decisions';

import type {
  DirectTransport,
  UpstreamCall,
  UpstreamEnd,
  UpstreamListener,
  UpstreamTransport,
} from '../online/forwarding.js';
import { UpstreamEndKind } from '../online/forwarding.js';
import { GuardedListener } from './guarded-listener.js';
import type { RelayClient } from './relay-client.js';

/** Why a request is relayed. The values appear in metrics. */
const RelayReason = {
  /** This instance reaches no replica. */
  pathsLost: 'paths_lost',
  /** This instance does not reach this replica, but others. */
  pathFailed: 'path_failed',
} as const;
type RelayReason = (typeof RelayReason)[keyof typeof RelayReason];

/** Components that the transport uses. */
export interface RelayedTransportDependencies {
  readonly direct: DirectTransport;
  readonly client: RelayClient;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
}

/** Transport of all requests of this instance to replicas, with the state of its paths. */
export class RelayedTransport implements UpstreamTransport, System {
  readonly name = 'relayed transport';
  readonly busy = false;
  private readonly paths = new UpstreamPaths();
  /** Sends directly and records what this shows about the path. Used for calls that are relayed for others. */
  readonly directPath: UpstreamTransport = {
    send: (call, listener, signal) => this.sendDirectly(call, listener, signal),
  };

  constructor(private readonly dependencies: RelayedTransportDependencies) {}

  /** Whether this instance has lost its paths to all replicas. */
  get arePathsLost(): boolean {
    return this.paths.areLost;
  }

  async send(call: UpstreamCall, listener: UpstreamListener, signal: AbortSignal): Promise<UpstreamEnd> {
    const guarded = new GuardedListener(listener);
    try {
      const end = await this.sendEitherWay(call, guarded, AbortSignal.any([signal, guarded.signal]));
      return guarded.thrown ? unexpectedEnd(guarded.thrown.error) : end;
    } catch (error) {
      return unexpectedEnd(error);
    }
  }

  private async sendEitherWay(
    call: UpstreamCall,
    listener: UpstreamListener,
    signal: AbortSignal,
  ): Promise<UpstreamEnd> {
    if (this.isRelayed(call)) {
      const relayed = await this.relay(call, listener, signal);
      if (relayed) return relayed;
    }
    const end = await this.sendDirectly(call, listener, signal);
    if (!end.unreachable || signal.aborted || !this.isRelayed(call)) return end;
    // The failure of this attempt has shown that the path is lost.
    return (await this.relay(call, listener, signal)) ?? end;
  }

  run(nowMs: number): void {
    if (this.paths.areLost) this.dependencies.client.refresh();
    const target = this.paths.takeProbe(nowMs);
    if (target) void this.probe(target);
  }

  dump(): Record<string, unknown> {
    return { ...this.paths.dump(this.dependencies.clock.monotonicMs()), ...this.dependencies.client.dump() };
  }

  private isRelayed({ replicaId }: UpstreamCall): boolean {
    return this.paths.wayTo(replicaId, this.dependencies.clock.monotonicMs()) === UpstreamWay.relayed;
  }

  /** Returns undefined if no instance relays the call; then nothing was sent. */
  private async relay(
    call: UpstreamCall,
    listener: UpstreamListener,
    signal: AbortSignal,
  ): Promise<UpstreamEnd | undefined> {
    const { client, clock, metrics } = this.dependencies;
    const isLost = this.paths.areLost;
    const reason: RelayReason = isLost ? RelayReason.pathsLost : RelayReason.pathFailed;
    const end = await client.send(call, listener, signal, isLost);
    metrics.count(end ? 'requests_relayed' : 'requests_not_relayed', 1, [reason]);
    if (!end) return undefined;
    if (end.unreachable) this.paths.onNotRelayed(call.replicaId, clock.monotonicMs());
    else if (end.kind === UpstreamEndKind.complete) this.paths.onRelayed(call, clock.monotonicMs());
    return end;
  }

  private async sendDirectly(
    call: UpstreamCall,
    listener: UpstreamListener,
    signal: AbortSignal,
  ): Promise<UpstreamEnd> {
    const { direct, clock } = this.dependencies;
    const { replicaId } = call;
    const observedCall: UpstreamCall = {
      ...call,
      mayBegin: () => {
        this.logIfRegained(this.paths.onConnected(replicaId, clock.monotonicMs()));
        return call.mayBegin();
      },
    };
    const end = await direct.send(observedCall, listener, signal);
    if (end.unreachable) this.onFailed(call, end.detail);
    const isFailure = end.unreachable === true || end.kind === UpstreamEndKind.broken;
    return isFailure && this.paths.areLost ? { ...end, pathsLost: true } : end;
  }

  private async probe(target: ReplicaAddress): Promise<void> {
    const { direct, clock, metrics } = this.dependencies;
    metrics.count('replica_path_probes');
    const connected = await direct.probe(target.address);
    const wereLost = this.paths.areLost;
    this.logIfRegained(this.paths.onProbed(target, connected, clock.monotonicMs()));
    if (!wereLost && this.paths.areLost) this.onLost('a probe could not connect');
  }

  private onFailed(target: ReplicaAddress, detail: string): void {
    if (this.paths.onFailed(target, this.dependencies.clock.monotonicMs())) this.onLost(detail);
  }

  private onLost(detail: string): void {
    const { log, metrics, client } = this.dependencies;
    client.refresh();
    metrics.count('replica_paths_lost');
    log.record(LogCategory.state, 'replica_paths_lost', {
      failedReplicaIds: this.paths.failedReplicaIds,
      detail,
    });
  }

  private logIfRegained(lostAtMs: number | undefined): void {
    if (lostAtMs === undefined) return;
    const { clock, log } = this.dependencies;
    log.record(LogCategory.state, 'replica_paths_regained', {
      lostForMs: Math.round(clock.monotonicMs() - lostAtMs),
    });
  }
}

/** The end of a call that an unexpected error has ended. The request may have run. */
function unexpectedEnd(error: unknown): UpstreamEnd {
  return { kind: UpstreamEndKind.broken, detail: 'unexpected error', thrown: { error } };
}

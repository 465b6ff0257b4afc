/**
 * Judges by connection attempts whether this instance reaches the replicas itself. Loads that it answers: an instance is
 * partitioned from all replicas while callers and the other instances reach it, or from some replicas only; a replica
 * ends, or a failure domain with several; connections hang, are refused, or old ones live on while new ones fail.
 *
 * A failed attempt at one replica is a sign of the replica or of the path. Failures at several replicas with no success in
 * between are taken for a loss of the paths of this instance, until a direct connection is established again.
 */

/** How a request gets to its replica. The values appear in logs. */
export const UpstreamWay = {
  direct: 'direct',
  /** Through another instance. */
  relayed: 'relayed',
} as const;
export type UpstreamWay = (typeof UpstreamWay)[keyof typeof UpstreamWay];

/** A replica and where it listens. */
export interface ReplicaAddress {
  readonly replicaId: string;
  readonly address: string;
}

/** Replicas that cannot be reached in a row, without a success, for which the paths of this instance count as lost. */
const FAILED_REPLICAS_TO_LOSE_PATHS = 2;
/** Failures in a row at one replica, while others are reached, after which another instance is asked to reach it. */
const FAILURES_TO_RELAY_ONE = 2;
/** Failures are forgotten after this time without another one. */
const FAILURE_LIFETIME_MS = 10_000;
/** A replica that another instance did not reach either is not tried through others for this long. */
const UNREACHED_BY_RELAYS_MS = 1_000;
const FIRST_PROBE_DELAY_MS = 200;
const PROBE_PERIOD_MS = 500;
const MAX_PROBE_PERIOD_MS = 4_000;
/** Connections in a row that have to be established before requests are sent directly again. */
const CONNECTIONS_TO_REGAIN = 2;
const REPEATED_PROBE_DELAY_MS = 100;
/** Number of replicas, known to be alive, that are probed in turn. */
const MAX_RELAYED_TARGETS = 4;
/** When the paths are lost again within this time, the time between probes is doubled. */
const RELAPSE_MS = 10_000;

/** What is known of the path to one replica that could not be reached. */
interface FailedPath {
  readonly address: string;
  failures: number;
  lastFailedAtMs: number;
  /** Whether another instance has reached the replica since, which shows that only the path has failed. */
  isReachedByRelays: boolean;
  /** No other instance is asked to reach the replica before this time. */
  relayFromMs: number;
}

/** The paths of this instance to the replicas. Only those that failed are kept. */
export class UpstreamPaths {
  private readonly failed = new Map<string, FailedPath>();
  private lastConnectedAtMs = Number.NEGATIVE_INFINITY;
  private lostAtMs: number | undefined;
  private regainedAtMs = Number.NEGATIVE_INFINITY;
  private nextProbeMs = Number.POSITIVE_INFINITY;
  /** How many times in a row the paths were lost again soon after they had been regained. */
  private relapses = 0;
  private connectionsInARow = 0;
  /** Replicas that other instances reached lately, the one that was probed longest ago first. */
  private readonly relayed = new Map<string, ReplicaAddress>();

  /** Whether this instance is taken to reach no replica. */
  get areLost(): boolean {
    return this.lostAtMs !== undefined;
  }

  /** Ids of the replicas that could not be reached lately. */
  get failedReplicaIds(): string[] {
    return [...this.failed.keys()];
  }

  /** How a request is sent to a replica. */
  wayTo(replicaId: string, nowMs: number): UpstreamWay {
    if (this.areLost) return UpstreamWay.relayed;
    const path = this.pathOf(replicaId, nowMs);
    if (!path || nowMs < path.relayFromMs) return UpstreamWay.direct;
    const isRelayed = path.isReachedByRelays || path.failures >= FAILURES_TO_RELAY_ONE;
    return isRelayed ? UpstreamWay.relayed : UpstreamWay.direct;
  }

  /**
   * Records that a connection to a replica was established. If the paths are regained by this, returns when they were lost,
   * in monotonic time.
   */
  onConnected(replicaId: string, nowMs: number): number | undefined {
    this.failed.delete(replicaId);
    this.lastConnectedAtMs = nowMs;
    this.connectionsInARow += 1;
    const { lostAtMs } = this;
    if (lostAtMs === undefined || this.connectionsInARow < CONNECTIONS_TO_REGAIN) return undefined;
    this.lostAtMs = undefined;
    this.regainedAtMs = nowMs;
    this.nextProbeMs = Number.POSITIVE_INFINITY;
    this.failed.clear();
    return lostAtMs;
  }

  /** Records that no connection to a replica could be established. Returns whether the paths were lost by this. */
  onFailed({ replicaId, address }: ReplicaAddress, nowMs: number): boolean {
    this.connectionsInARow = 0;
    const path = this.pathOf(replicaId, nowMs);
    this.failed.set(replicaId, {
      address,
      failures: (path?.failures ?? 0) + 1,
      lastFailedAtMs: nowMs,
      isReachedByRelays: path?.isReachedByRelays ?? false,
      relayFromMs: path?.relayFromMs ?? nowMs,
    });
    if (this.areLost || this.failedSinceSuccess(nowMs) < FAILED_REPLICAS_TO_LOSE_PATHS) return false;
    this.lose(nowMs);
    return true;
  }

  /** Records that another instance has reached a replica for this one. */
  onRelayed(target: ReplicaAddress, nowMs: number): void {
    this.relayed.set(target.replicaId, target);
    if (this.relayed.size > MAX_RELAYED_TARGETS) this.dropFirstRelayed();
    const path = this.failed.get(target.replicaId);
    if (!path) return;
    path.isReachedByRelays = true;
    if (!this.areLost && !Number.isFinite(this.nextProbeMs)) this.nextProbeMs = nowMs + this.probePeriodMs;
  }

  /** Records that other instances did not reach a replica either. */
  onNotRelayed(replicaId: string, nowMs: number): void {
    const path = this.failed.get(replicaId);
    if (!path) return;
    path.isReachedByRelays = false;
    path.relayFromMs = nowMs + UNREACHED_BY_RELAYS_MS;
  }

  /** The replica to connect to now; undefined while nothing is to be probed. The next probe follows after its result. */
  takeProbe(nowMs: number): ReplicaAddress | undefined {
    if (nowMs < this.nextProbeMs) return undefined;
    this.nextProbeMs = Number.POSITIVE_INFINITY;
    return this.areLost ? this.probeTarget() : this.relayedPath(nowMs);
  }

  /** Records the result of a probe. Returns the same as `onConnected`. */
  onProbed(target: ReplicaAddress, connected: boolean, nowMs: number): number | undefined {
    const lostAtMs = connected ? this.onConnected(target.replicaId, nowMs) : undefined;
    if (!connected) {
      this.relayed.delete(target.replicaId);
      this.onFailed(target, nowMs);
    }
    if (this.areLost || this.relayedPath(nowMs))
      this.nextProbeMs = nowMs + (connected ? REPEATED_PROBE_DELAY_MS : this.probePeriodMs);
    return lostAtMs;
  }

  dump(nowMs: number): Record<string, unknown> {
    return {
      areLost: this.areLost,
      lostForMs: this.lostAtMs === undefined ? undefined : nowMs - this.lostAtMs,
      failed: Object.fromEntries(this.failed),
    };
  }

  private get probePeriodMs(): number {
    return Math.min(MAX_PROBE_PERIOD_MS, PROBE_PERIOD_MS * 2 ** this.relapses);
  }

  /** Number of replicas that could not be reached since the last connection was established. */
  private failedSinceSuccess(nowMs: number): number {
    this.forgetOld(nowMs);
    return [...this.failed.values()].filter(({ lastFailedAtMs }) => lastFailedAtMs > this.lastConnectedAtMs)
      .length;
  }

  private lose(nowMs: number): void {
    this.relapses = nowMs - this.regainedAtMs < RELAPSE_MS ? this.relapses + 1 : 0;
    this.lostAtMs = nowMs;
    this.nextProbeMs = nowMs + (this.relapses > 0 ? this.probePeriodMs : FIRST_PROBE_DELAY_MS);
  }

  /** A replica that is known to be alive tells most; otherwise the one that failed longest ago is tried again. */
  private probeTarget(): ReplicaAddress | undefined {
    const [alive] = this.relayed.values();
    if (alive) {
      this.relayed.delete(alive.replicaId);
      this.relayed.set(alive.replicaId, alive);
      return alive;
    }
    const [oldest] = [...this.failed].sort(([, a], [, b]) => a.lastFailedAtMs - b.lastFailedAtMs);
    return oldest && { replicaId: oldest[0], address: oldest[1].address };
  }

  private dropFirstRelayed(): void {
    const [first] = this.relayed.keys();
    if (first !== undefined) this.relayed.delete(first);
  }

  /** A replica that only other instances reach, while this one reaches others. */
  private relayedPath(nowMs: number): ReplicaAddress | undefined {
    this.forgetOld(nowMs);
    const relayed = [...this.failed].find(([, path]) => path.isReachedByRelays);
    return relayed && { replicaId: relayed[0], address: relayed[1].address };
  }

  private pathOf(replicaId: string, nowMs: number): FailedPath | undefined {
    const path = this.failed.get(replicaId);
    return path && nowMs - path.lastFailedAtMs < FAILURE_LIFETIME_MS ? path : undefined;
  }

  private forgetOld(nowMs: number): void {
    this.failed.forEach(({ lastFailedAtMs }, replicaId) => {
      if (nowMs - lastFailedAtMs >= FAILURE_LIFETIME_MS) this.failed.delete(replicaId);
    });
  }
}

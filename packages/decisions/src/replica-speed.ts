/**
 * How fast a replica works beside the others of its pool. Answers replicas that differ in speed, turn slow, or share their
 * machines with other work: the expected end of a request at a slow replica is later than its number of streams shows.
 */

/** Weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.2;
/** Without a sample for this long a replica counts as average, so that it is tried again. */
const SAMPLE_LIFETIME_MS = 4_000;
/** A replica that differs from the mean by less counts as average, since loads and outputs vary. */
const SIGNIFICANT_DIFFERENCE = 0.25;
/** Bounds of the difference that counts: a replica is at most this much slower or faster than the mean. */
const MAX_SLOWER = 2;
const MAX_FASTER = 0.5;
/** What a replica that takes twice the mean time counts as: streams in this part of its slots. */
const STREAMS_PER_DIFFERENCE = 0.5;

/** The mean over the replicas of a pool, each of which counts the same however many streams it has run. */
export class PoolSpeed {
  private sumMs = 0;
  private count = 0;

  /** Replaces what is known of a replica. Both are in milliseconds; undefined for a replica without samples. */
  replace(before: number | undefined, after: number | undefined): void {
    this.sumMs += (after ?? 0) - (before ?? 0);
    this.count += Number(after !== undefined) - Number(before !== undefined);
  }

  /** Mean time between two events, in milliseconds; undefined before the first sample. */
  get betweenEventsMs(): number | undefined {
    return this.count > 0 ? this.sumMs / this.count : undefined;
  }
}

/** The speed of one replica. */
export class ReplicaSpeed {
  private meanMs: number | undefined;
  private observedAtMs = Number.NEGATIVE_INFINITY;

  /** Moving average of the time between two events, in milliseconds; undefined before the first sample. */
  get betweenEventsMs(): number | undefined {
    return this.meanMs;
  }

  /** Records the mean time between two events of a stream there. */
  observe(betweenEventsMs: number, nowMs: number): void {
    const isFresh = nowMs - this.observedAtMs < SAMPLE_LIFETIME_MS;
    this.meanMs = smooth(isFresh ? this.meanMs : undefined, betweenEventsMs);
    this.observedAtMs = nowMs;
  }

  /**
   * Streams that the replica, which has `slots`, counts as running more than it does; negative for a fast one, and 0 for one
   * that is not known to differ from the pool.
   */
  extraStreams(pool: PoolSpeed, slots: number, nowMs: number): number {
    const poolMs = pool.betweenEventsMs;
    if (this.meanMs === undefined || poolMs === undefined || poolMs <= 0) return 0;
    if (nowMs - this.observedAtMs >= SAMPLE_LIFETIME_MS) return 0;
    const difference = this.meanMs / poolMs - 1;
    if (Math.abs(difference) < SIGNIFICANT_DIFFERENCE) return 0;
    const bounded = Math.max(-MAX_FASTER, Math.min(MAX_SLOWER, difference));
    return Math.round(bounded * slots * STREAMS_PER_DIFFERENCE);
  }
}

function smooth(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SMOOTHING_FACTOR * (sample - mean);
}

/**
 * Weight of the newest report in the moving averages. One or two streams begin or end between a report and its
 * arrival, so a single report is not accurate enough.
 */
const SMOOTHING_FACTOR = 0.4;
/** An older report is ignored, since it says nothing about the streams that run now. */
const OBSERVATION_LIFETIME_MS = 700;

/** Numbers of streams at a replica at the time when one of its load reports arrives. */
export interface LoadObservation {
  /** Streams that run or wait at the replica, as it reports them. */
  readonly reported: number;
  /** Streams with a permit. */
  readonly permitted: number;
  /** Streams whose permit is old enough for them to have reached the replica. */
  readonly settled: number;
}

/**
 * Difference between the streams that a replica reports and the permits that the pool's owner has granted for it.
 * Instances that cannot reach the owner run streams without permits; the releases of instances that were killed,
 * or whose messages were lost, never arrive.
 */
export class LoadDrift {
  private unknownMean = 0;
  private endedMean = 0;
  private validUntilMs = Number.NEGATIVE_INFINITY;

  /** Records one load report. */
  observe({ reported, permitted, settled }: LoadObservation, nowMs: number): void {
    const isFresh = nowMs < this.validUntilMs;
    this.unknownMean = smooth(isFresh ? this.unknownMean : 0, reported - permitted);
    this.endedMean = smooth(isFresh ? this.endedMean : 0, settled - reported);
    this.validUntilMs = nowMs + OBSERVATION_LIFETIME_MS;
  }

  /** Estimated number of streams that run without a permit; 0 when there is no recent report. */
  unknownStreams(nowMs: number): number {
    return nowMs < this.validUntilMs ? Math.max(0, Math.round(this.unknownMean)) : 0;
  }

  /** Estimated number of streams without a permit minus permits without a stream. */
  balance(nowMs: number): number {
    return this.unknownStreams(nowMs) - this.endedStreams(nowMs);
  }

  /** Estimated number of permits whose streams have ended; 0 when there is no recent report. */
  endedStreams(nowMs: number): number {
    return nowMs < this.validUntilMs ? Math.max(0, Math.floor(this.endedMean)) : 0;
  }
}

function smooth(mean: number, value: number): number {
  return mean + SMOOTHING_FACTOR * (value - mean);
}

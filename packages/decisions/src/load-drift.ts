/** Streams begin and end between a report and its arrival, by one or two either way: the mean tells. */
const SMOOTHING = 0.4;
/** A report says nothing about later times, in milliseconds. */
const LIFETIME_MS = 700;

/** Streams at a replica when a report of it arrives. */
export interface LoadObservation {
  /** Running or waiting there, as the replica says. */
  readonly reported: number;
  /** With a permit. */
  readonly permitted: number;
  /** With a permit that is old enough for the stream to have reached the replica. */
  readonly settled: number;
}

/**
 * How far a replica's own count of streams is from the permits of the pool's owner. Instances that are cut off place
 * requests without permits; the releases of instances that were killed, or whose messages are lost, never come.
 */
export class LoadDrift {
  private unknownMean = 0;
  private endedMean = 0;
  private validUntilMs = Number.NEGATIVE_INFINITY;

  observe({ reported, permitted, settled }: LoadObservation, nowMs: number): void {
    const isFresh = nowMs < this.validUntilMs;
    this.unknownMean = follow(isFresh ? this.unknownMean : 0, reported - permitted);
    this.endedMean = follow(isFresh ? this.endedMean : 0, settled - reported);
    this.validUntilMs = nowMs + LIFETIME_MS;
  }

  /** Streams that run without a permit, as far as is known. */
  unknownStreams(nowMs: number): number {
    return nowMs < this.validUntilMs ? Math.max(0, Math.round(this.unknownMean)) : 0;
  }

  /** Streams without a permit less permits without a stream. */
  balance(nowMs: number): number {
    return this.unknownStreams(nowMs) - this.endedStreams(nowMs);
  }

  /** Permits whose streams have ended, as far as is known. */
  endedStreams(nowMs: number): number {
    return nowMs < this.validUntilMs ? Math.max(0, Math.floor(this.endedMean)) : 0;
  }
}

function follow(mean: number, value: number): number {
  return mean + SMOOTHING * (value - mean);
}

/** Learns how many streams a replica can carry within its latency targets. */

/** Latency targets of a model. */
export interface LatencyTargets {
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** What one finished stream tells about its replica. */
export interface StreamMeasurement {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

const INCREASE_STEP = 0.25;
const DECREASE_FACTOR = 0.85;
const DECREASE_PAUSE_MS = 1_000;
const MIN_CONCURRENCY = 1;

/**
 * Additive increase while streams meet both targets and the limit is in use, multiplicative decrease at
 * most once a second when one misses a target. Bounded by the maximum that the engine reports.
 */
export class ConcurrencyLimit {
  private learned: number;
  private nextDecreaseAtMs = 0;

  constructor(private maximum: number) {
    this.learned = maximum;
  }

  /** Streams that the replica may carry now. */
  get places(): number {
    return Math.max(MIN_CONCURRENCY, Math.floor(Math.min(this.learned, this.maximum)));
  }

  /** Sets the bound that the engine states. */
  setMaximum(maximum: number): void {
    this.maximum = maximum;
    this.learned = Math.min(this.learned, maximum);
  }

  /** Takes in one measurement. `inFlight` is the number of streams when it was made. */
  observe(measured: StreamMeasurement, targets: LatencyTargets, inFlight: number, nowMs: number): void {
    const missed =
      measured.firstTokenMs > targets.firstTokenTargetMs ||
      measured.betweenTokensMs > targets.betweenTokensTargetMs;
    if (missed) this.decrease(nowMs);
    else if (inFlight >= this.places - 1) this.learned = Math.min(this.maximum, this.learned + INCREASE_STEP);
  }

  private decrease(nowMs: number): void {
    if (nowMs < this.nextDecreaseAtMs) return;
    this.nextDecreaseAtMs = nowMs + DECREASE_PAUSE_MS;
    this.learned = Math.max(MIN_CONCURRENCY, this.learned * DECREASE_FACTOR);
  }
}

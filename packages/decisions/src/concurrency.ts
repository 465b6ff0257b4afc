/** Adapts the number of concurrent streams of a replica to its latency targets. */

/** Latency targets of a model. */
export interface LatencyTargets {
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Latencies of one completed stream. */
export interface StreamMeasurement {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

const INCREASE_STEP_STREAMS = 0.25;
const DECREASE_FACTOR = 0.85;
/** Minimum time between two decreases. */
const DECREASE_INTERVAL_MS = 1_000;
const MIN_STREAMS = 1;

/**
 * Concurrency limit of one replica by additive increase and multiplicative decrease (AIMD). The limit rises while
 * streams meet both targets and the limit is in use, and falls at most once per second when a stream misses a
 * target. It is bounded by the maximum that is configured or that the engine reports.
 */
export class ConcurrencyLimit {
  private adaptiveLimit: number;
  private nextDecreaseAtMs = 0;

  constructor(private maximum: number) {
    this.adaptiveLimit = maximum;
  }

  /** Number of streams that the replica may run now: its slots. */
  get places(): number {
    return Math.max(MIN_STREAMS, Math.floor(Math.min(this.adaptiveLimit, this.maximum)));
  }

  /** Sets the maximum number of streams, as configured or as reported by the engine. Returns whether it changed. */
  setMaximum(maximum: number): boolean {
    if (maximum === this.maximum) return false;
    this.maximum = maximum;
    this.adaptiveLimit = Math.min(this.adaptiveLimit, maximum);
    return true;
  }

  /**
   * Applies one measurement. `inFlight` is the number of other streams at the replica when the measured stream
   * ended.
   */
  observe(measured: StreamMeasurement, targets: LatencyTargets, inFlight: number, nowMs: number): void {
    const missesTarget =
      measured.firstTokenMs > targets.firstTokenTargetMs ||
      measured.betweenTokensMs > targets.betweenTokensTargetMs;
    if (missesTarget) this.decrease(nowMs);
    else if (inFlight >= this.places - 1)
      this.adaptiveLimit = Math.min(this.maximum, this.adaptiveLimit + INCREASE_STEP_STREAMS);
  }

  private decrease(nowMs: number): void {
    if (nowMs < this.nextDecreaseAtMs) return;
    this.nextDecreaseAtMs = nowMs + DECREASE_INTERVAL_MS;
    this.adaptiveLimit = Math.max(MIN_STREAMS, this.adaptiveLimit * DECREASE_FACTOR);
  }
}

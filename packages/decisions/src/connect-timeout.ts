/**
 * Bounds the time of a connection attempt to a replica by the times that earlier attempts took. Answers replicas that
 * stop responding without closing their connections: a request that was granted one of their slots is sent to another
 * replica while it can still meet its target.
 */

/** Bound before enough attempts were observed, and the upper limit of the bound. */
const MAX_TIMEOUT_MS = 400;
/** Lower limit of the bound, which allows for delays of the event loop on both sides. */
const MIN_TIMEOUT_MS = 50;
/** Number of observed attempts from which the bound follows them. */
const MIN_SAMPLES = 8;
const MEAN_SMOOTHING_FACTOR = 1 / 8;
const DEVIATION_SMOOTHING_FACTOR = 1 / 4;
/** Number of mean deviations above the mean time; with the factors above as for TCP's retransmission timer. */
const DEVIATIONS = 4;

/**
 * Estimates the bound as TCP estimates its retransmission timeout (RFC 6298): from a moving mean and mean deviation,
 * and twice as long with each attempt in a row that timed out, so that it grows when the whole network is slow.
 */
export class ConnectTimeout {
  private samples = 0;
  private meanMs = 0;
  private meanDeviationMs = 0;
  private timeoutsInARow = 0;

  /** Time after which a connection attempt is given up, in milliseconds. */
  get timeoutMs(): number {
    if (this.samples < MIN_SAMPLES) return MAX_TIMEOUT_MS;
    const estimateMs = Math.max(MIN_TIMEOUT_MS, this.meanMs + DEVIATIONS * this.meanDeviationMs);
    return Math.min(MAX_TIMEOUT_MS, estimateMs * 2 ** this.timeoutsInARow);
  }

  /** Records an attempt that succeeded after `tookMs`. */
  onConnected(tookMs: number): void {
    this.timeoutsInARow = 0;
    this.samples += 1;
    if (this.samples === 1) {
      this.meanMs = tookMs;
      this.meanDeviationMs = tookMs / 2;
      return;
    }
    const differenceMs = tookMs - this.meanMs;
    this.meanMs += MEAN_SMOOTHING_FACTOR * differenceMs;
    this.meanDeviationMs += DEVIATION_SMOOTHING_FACTOR * (Math.abs(differenceMs) - this.meanDeviationMs);
  }

  /** Records an attempt that was given up. */
  onTimeout(): void {
    this.timeoutsInARow += 1;
  }
}

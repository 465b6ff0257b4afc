/** Computes how many slots batch items leave free for bursts of online requests. */

/** Length of the window in which arrivals count as one burst. */
const ARRIVAL_WINDOW_MS = 50;
/** Half-life of the exponential decay of the peak. */
const PEAK_HALF_LIFE_MS = 5_000;

/** Tracks the largest recent number of online arrivals in one window; the peak decays exponentially. */
export class BurstReserve {
  private windowEndsAtMs = 0;
  private arrivalsInWindow = 0;
  private peakArrivals = 0;
  private peakAtMs = 0;

  /** Counts one online arrival. */
  onArrival(nowMs: number): void {
    if (nowMs >= this.windowEndsAtMs) {
      this.windowEndsAtMs = nowMs + ARRIVAL_WINDOW_MS;
      this.arrivalsInWindow = 0;
    }
    this.arrivalsInWindow += 1;
    if (this.arrivalsInWindow >= this.decayedPeak(nowMs)) {
      this.peakArrivals = this.arrivalsInWindow;
      this.peakAtMs = nowMs;
    }
  }

  /** Number of slots to keep free of batch items: the decayed peak, but at most `maximumFraction` of `totalSlots`. */
  places(totalSlots: number, maximumFraction: number, nowMs: number): number {
    const wanted = Math.round(this.decayedPeak(nowMs));
    return Math.min(wanted, Math.floor(totalSlots * maximumFraction));
  }

  private decayedPeak(nowMs: number): number {
    return this.peakArrivals * Math.pow(0.5, (nowMs - this.peakAtMs) / PEAK_HALF_LIFE_MS);
  }
}

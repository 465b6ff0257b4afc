/** Sizes the places that batch leaves free for sudden online arrivals. */

const WINDOW_MS = 50;
const HALF_LIFE_MS = 5_000;

/** Follows the largest recent number of online arrivals in one short window. */
export class BurstReserve {
  private windowEndsAtMs = 0;
  private arrivalsInWindow = 0;
  private peakArrivals = 0;
  private peakAtMs = 0;

  /** Counts one online arrival. */
  onArrival(nowMs: number): void {
    if (nowMs >= this.windowEndsAtMs) {
      this.windowEndsAtMs = nowMs + WINDOW_MS;
      this.arrivalsInWindow = 0;
    }
    this.arrivalsInWindow += 1;
    if (this.arrivalsInWindow >= this.decayedPeak(nowMs)) {
      this.peakArrivals = this.arrivalsInWindow;
      this.peakAtMs = nowMs;
    }
  }

  /** Places to keep free of batch, out of `totalPlaces` and at most `maximumFraction` of them. */
  places(totalPlaces: number, maximumFraction: number, nowMs: number): number {
    const wanted = Math.round(this.decayedPeak(nowMs));
    return Math.min(wanted, Math.floor(totalPlaces * maximumFraction));
  }

  private decayedPeak(nowMs: number): number {
    return this.peakArrivals * Math.pow(0.5, (nowMs - this.peakAtMs) / HALF_LIFE_MS);
  }
}

/**
 * How old an instance's knowledge of something may be that others can change at any time. Answers keys that are withdrawn
 * while an instance is cut off, or while its machine is suspended.
 */

/** A moment by both clocks of this machine. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly unixMs: number;
}

/**
 * Keeps when the knowledge was last proven to be current. The age is the longer one of both clocks: the monotonic clock
 * stands still while the machine is suspended, and the other one may be set back.
 */
export class KnowledgeAge {
  private provenAt: ClockReading | undefined;

  /**
   * Records a proof: `knownAgeMs` before `askedAt` the knowledge was current. `askedAt` is when the proof was asked for, so
   * that the time that the answer took counts towards the age.
   */
  prove(askedAt: ClockReading, knownAgeMs: number): void {
    const provenAt = {
      monotonicMs: askedAt.monotonicMs - knownAgeMs,
      unixMs: askedAt.unixMs - knownAgeMs,
    };
    if (!this.provenAt || provenAt.monotonicMs > this.provenAt.monotonicMs) this.provenAt = provenAt;
  }

  /** Age of the newest proof, in milliseconds; infinite before the first one. */
  ageMs(now: ClockReading): number {
    if (!this.provenAt) return Number.POSITIVE_INFINITY;
    const { monotonicMs, unixMs } = this.provenAt;
    return Math.max(0, now.monotonicMs - monotonicMs, now.unixMs - unixMs);
  }
}

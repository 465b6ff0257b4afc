/**
 * Recognises streams that have stalled: nothing arrives any more, or bytes arrive now and then that complete no event. A
 * slow stream whose events keep coming has not stalled.
 */

/** How long a stream may take. */
export interface StallLimits {
  /** Longest time without any bytes, in milliseconds. */
  readonly silenceMs: number;
  /** Longest time without a whole event, in milliseconds. */
  readonly eventGapMs: number;
}

/** The time by which a stream has stalled unless more of it arrives. Times are monotonic. */
export class StallDeadline {
  private lastBytesMs: number;
  private lastEventMs: number;

  constructor(
    private readonly limits: StallLimits,
    startedMs: number,
  ) {
    this.lastBytesMs = startedMs;
    this.lastEventMs = startedMs;
  }

  onBytes(nowMs: number): void {
    this.lastBytesMs = nowMs;
  }

  onEvent(nowMs: number): void {
    this.lastEventMs = nowMs;
  }

  /** When the stream has stalled, as far as is known now. */
  get atMs(): number {
    return Math.min(this.lastBytesMs + this.limits.silenceMs, this.lastEventMs + this.limits.eventGapMs);
  }
}

/** Decides which requests an instance still takes after it was asked to stop. */

/** Parts of the grace period that are kept at its end: for clean-up, and before that for answers to requests that have not ended. */
const CLEAN_UP_FRACTION = 1 / 12;
const LAST_ANSWERS_FRACTION = 1 / 40;
/** The notice may take this part of the grace period at most. */
const MAX_NOTICE_FRACTION = 1 / 3;
/** Durations that are kept for each kind of request, the newest ones. */
const MAX_SAMPLES = 64;
/** Kinds of requests whose durations are kept. */
const MAX_KINDS = 500;
/** Share of the requests that end within the duration that counts as usual. */
const USUAL_SHARE = 0.9;
/** A request may take this many times as long as the longest one of its kind so far. */
const LONGEST_FACTOR = 1.25;

/** When an instance that stops does what, in monotonic time. */
export interface StopSchedule {
  /** Until then the load balancer may send new callers. */
  readonly noticeEndsAtMs: number;
  /** Requests that have not ended by then are ended with an error. */
  readonly answerByMs: number;
  /** The HTTP servers are closed by then. */
  readonly closeByMs: number;
}

/** The schedule of an instance that was asked to stop at `askedAtMs` and is killed `graceMs` later. */
export function stopSchedule(askedAtMs: number, graceMs: number, noticeMs: number): StopSchedule {
  const closeByMs = askedAtMs + graceMs * (1 - CLEAN_UP_FRACTION);
  return {
    noticeEndsAtMs: askedAtMs + Math.min(noticeMs, graceMs * MAX_NOTICE_FRACTION),
    answerByMs: closeByMs - graceMs * LAST_ANSWERS_FRACTION,
    closeByMs,
  };
}

/** How long requests of one kind have taken, in milliseconds. */
export interface ExpectedDuration {
  readonly usualMs: number;
  readonly longestMs: number;
}

/** Durations of the latest requests, by their kind. */
export class RequestDurations {
  private readonly samples = new Map<string, number[]>();

  observe(kind: string, durationMs: number): void {
    const earlier = this.samples.get(kind) ?? [];
    // The kind that was not seen for longest is the first key.
    this.samples.delete(kind);
    this.samples.set(kind, [...earlier, durationMs].slice(-MAX_SAMPLES));
    const [oldest] = this.samples.keys();
    if (this.samples.size > MAX_KINDS && oldest !== undefined) this.samples.delete(oldest);
  }

  /** Undefined if no request of this kind has ended. */
  expected(kind: string): ExpectedDuration | undefined {
    const sorted = this.samples.get(kind)?.toSorted((a, b) => a - b);
    const longestMs = sorted?.at(-1);
    const usualMs = sorted?.[Math.ceil(sorted.length * USUAL_SHARE) - 1];
    return usualMs === undefined || longestMs === undefined ? undefined : { usualMs, longestMs };
  }
}

/** A request that has arrived at an instance that stops. */
export interface LateRequest {
  readonly nowMs: number;
  /** When the request is ended at the latest. */
  readonly deadlineMs: number;
  /** Whether its caller may send it again after it was broken off. */
  readonly isRepeatable: boolean;
  readonly expected: ExpectedDuration | undefined;
}

/**
 * Whether the request is taken. One that is certain or expected to end in time is; any other is refused at once, since another instance can
 * run it. A request that cannot be repeated, or that comes when the load balancer sends no new callers, must fit with the longest
 * duration so far.
 */
export function takesLateRequest(
  { nowMs, deadlineMs, isRepeatable, expected }: LateRequest,
  { noticeEndsAtMs, answerByMs }: StopSchedule,
): boolean {
  if (deadlineMs <= answerByMs) return true;
  if (!expected) return false;
  const isLenient = isRepeatable && nowMs < noticeEndsAtMs;
  return nowMs + (isLenient ? expected.usualMs : expected.longestMs * LONGEST_FACTOR) <= answerByMs;
}

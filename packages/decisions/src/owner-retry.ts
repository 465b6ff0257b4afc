/**
 * Decides whether the owner of a pool is asked for a slot again. Load that it answers: requests that arrive while the owner does
 * not run for some 100 ms, or a new one has just started, at an instance whose own share of the slots or of an
 * organisation's limits is used up.
 */

/** An owner that did not accept a request at first has this long to accept it each time when it is asked again. */
const ASK_AGAIN_TIMEOUT_MS = 120;

/** An online request that no owner has accepted, and that this instance does not start by itself. */
export interface UnacceptedRequest {
  /** How often owners have been asked. */
  readonly asks: number;
  /** The request is in time if it starts by then. */
  readonly startByUnixMs: number;
  /** Its caller waits no longer for it to start. */
  readonly deadlineUnixMs: number;
  /**
   * Whether slots are free, and only this instance's share of an organisation's limit is used up. The organisation may well be within
   * its limit, which only an owner knows.
   */
  readonly lacksLimitShare: boolean;
}

/** How an owner is asked again. */
export interface NextAsk {
  /** How long to wait for its response, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether it may start the request later than the time by which it would be in time. */
  readonly mayStartLate: boolean;
}

/**
 * The next way to ask, or undefined if the request is to be refused. A request that only lacks a share of a limit is not known to be
 * one that cannot be served, and is offered until its deadline; a failed owner is replaced sooner than that.
 */
export function nextAsk(request: UnacceptedRequest, nowUnixMs: number): NextAsk | undefined {
  const inTimeMs = request.startByUnixMs - nowUnixMs;
  if (request.asks <= 1 && inTimeMs > 0)
    return { timeoutMs: Math.min(inTimeMs, ASK_AGAIN_TIMEOUT_MS), mayStartLate: false };
  const leftMs = request.deadlineUnixMs - nowUnixMs;
  if (!request.lacksLimitShare || leftMs <= 0) return undefined;
  return { timeoutMs: Math.min(leftMs, ASK_AGAIN_TIMEOUT_MS), mayStartLate: true };
}

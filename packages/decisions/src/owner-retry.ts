/**
 * Decides whether the owner of a pool is asked for a slot once more. Load that it answers: requests that arrive while the
 * owner does not run for some 100 ms, at an instance whose own share of the slots is used up.
 */

/** An owner that did not accept a request at first has this long to accept it when it is asked once more. */
const SECOND_ASK_TIMEOUT_MS = 120;

/**
 * How long to wait for the owner's response to a second request for a slot, in milliseconds; undefined if it must not be
 * asked again, as the request could not start by `startByUnixMs` any more.
 */
export function secondAskTimeoutMs(startByUnixMs: number, nowUnixMs: number): number | undefined {
  const leftMs = startByUnixMs - nowUnixMs;
  return leftMs > 0 ? Math.min(leftMs, SECOND_ASK_TIMEOUT_MS) : undefined;
}

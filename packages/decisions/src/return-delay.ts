/**
 * Decides when a refused caller should return. Answers bursts of online requests above the capacity of a pool: callers
 * that return during the same burst are refused again, and have then used up their time.
 */

/** Fraction of the time that the caller has left after which it returns; the rest is left for its answer. */
const RETURN_FRACTION = 1 / 3;

/**
 * Delay after which a refused caller should return, in milliseconds: as late as leaves it time for its answer, since
 * bursts are shorter than that in most cases, but not before the expected wait for a slot has passed. `callerLeftMs` is
 * the time for which the caller still waits.
 */
export function returnDelayMs(expectedWaitMs: number, callerLeftMs: number): number {
  return Math.max(expectedWaitMs, callerLeftMs * RETURN_FRACTION);
}

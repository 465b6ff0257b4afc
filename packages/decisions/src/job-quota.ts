/**
 * Decides whether a batch job can be accepted under its route's token limit without reading the store first.
 */

/** An instance's estimate of the tokens that wait on a route. */
export interface BacklogEstimate {
  readonly waitingTokens: number;
  /** Age of the job listing that the estimate is based on, in milliseconds. */
  readonly ageMs: number;
}

/** Below this fraction of the limit, other instances cannot have filled the rest since the listing. */
const LOCAL_ACCEPT_FRACTION = 0.5;
/** An older estimate is not used. */
const MAX_BACKLOG_AGE_MS = 4_000;

/**
 * Whether `offeredTokens` certainly fit under the limit; a limit of 0 or less means no limit. If so, the
 * call to the store is saved, which matters where such calls are slow and the caller expects a response within a
 * fraction of a second. The margin suffices because jobs arrive in groups of a few percent of a limit.
 */
export function isCertainlyWithinLimit(
  backlog: BacklogEstimate | undefined,
  offeredTokens: number,
  limitTokens: number,
): boolean {
  if (limitTokens <= 0) return true;
  if (!backlog || backlog.ageMs > MAX_BACKLOG_AGE_MS) return false;
  return backlog.waitingTokens + offeredTokens <= limitTokens * LOCAL_ACCEPT_FRACTION;
}

/** Decides whether a request may be sent again, given the outcomes of its earlier sends. */
import type { RouteKind } from '@fighub/core';

/** What the outcome of a send proves about the execution of the request. */
export const SendEvidence = {
  /**
   * The request did not run: no connection was made, or the replica itself reported that it did not run it.
   */
  notRun: 'not_run',
  /** The request may have run. A reset, a closed connection or a missing response proves nothing. */
  mayHaveRun: 'may_have_run',
} as const;
export type SendEvidence = (typeof SendEvidence)[keyof typeof SendEvidence];

/** Properties of a request's route that limit its retries. */
export interface RetryLimits {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Maximum number of sends that may have run; a value below 1 counts as 1. */
  readonly maxRuns: number;
}

/** Summary of the sends of one request so far. */
export interface SendHistory {
  readonly sends: number;
  /** Number of sends that may have run. */
  readonly runs: number;
  /** Outcome of the most recent send. */
  readonly last: SendEvidence;
}

/** Maximum number of sends of one request, including those that provably did not run. */
const MAX_SENDS = 6;

/** Whether the request may be sent again, to another replica. */
export function mayRetry(limits: RetryLimits, history: SendHistory): boolean {
  if (history.sends >= MAX_SENDS) return false;
  if (history.last === SendEvidence.notRun && history.runs === 0) return true;
  const isRetryable = limits.kind === 'safe' || (limits.kind === 'streaming' && limits.resumable);
  return isRetryable && history.runs < Math.max(1, limits.maxRuns);
}

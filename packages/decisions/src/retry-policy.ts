/** Decides whether a request may be sent once more, from what is known of its earlier sends. */
import type { RouteKind } from '@fighub/core';

/** What is known of one send. */
export const SendEvidence = {
  /** No connection was made, or the replica itself says that it did not run the request. */
  notRun: 'not_run',
  /** Anything else: a reset, a closed connection or silence prove nothing. */
  mayHaveRun: 'may_have_run',
} as const;
export type SendEvidence = (typeof SendEvidence)[keyof typeof SendEvidence];

/** What limits repeats of a request. */
export interface RepeatLimits {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Replicas that the request may run on. */
  readonly maxRuns: number;
}

/** Sends of one request so far. */
export interface SendHistory {
  readonly sends: number;
  /** Sends that may have run. */
  readonly runs: number;
  readonly last: SendEvidence;
}

/** Sends of one request that end without a run, before it is given up. */
const MAX_SENDS = 6;

/** Whether the request may be sent to another replica. */
export function mayRepeat(limits: RepeatLimits, history: SendHistory): boolean {
  if (history.sends >= MAX_SENDS) return false;
  if (history.last === SendEvidence.notRun && history.runs === 0) return true;
  const repeatable = limits.kind === 'safe' || (limits.kind === 'streaming' && limits.resumable);
  return repeatable && history.runs < Math.max(1, limits.maxRuns);
}

/** What the end of an attempt says about its replica, as the owner of the pool is told. */
import { AttemptEnd } from '@fighub/decisions';

import type { UpstreamEnd } from './forwarding.js';
import { MISDIRECTED_STATUS, UpstreamEndKind } from './forwarding.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Classifies the end of an attempt whose response had this status; 0 for none. */
export function attemptEndOf(end: UpstreamEnd, reportedNotRun: boolean, status: number): AttemptEnd {
  if (end.pathsLost) return AttemptEnd.cancelled;
  if (end.kind === UpstreamEndKind.notConnected) return AttemptEnd.refused;
  if (end.kind === UpstreamEndKind.cancelled || end.kind === UpstreamEndKind.unsendable)
    return AttemptEnd.cancelled;
  if (end.kind === UpstreamEndKind.broken) return AttemptEnd.broken;
  if (end.kind === UpstreamEndKind.unusable) return AttemptEnd.unusable;
  if (reportedNotRun) return status === MISDIRECTED_STATUS ? AttemptEnd.refused : AttemptEnd.cancelled;
  return status >= FIRST_SERVER_ERROR_STATUS ? AttemptEnd.cancelled : AttemptEnd.completed;
}

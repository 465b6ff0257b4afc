/** Checks `not_run` refusals against the requests that replicas received. */
import type { JournalEntry } from '@fighub/standins';
import { promptDigest } from '@fighub/standins';

import type { OnlineResult } from './online-load.js';

/** Number of requests that ended with a `not_run` refusal although a replica had accepted them. */
export function checkRefusals(
  results: readonly OnlineResult[],
  receivedRequests: readonly JournalEntry[],
): number {
  const received = new Set(
    receivedRequests.filter((entry) => entry.refusal === undefined).map((entry) => entry.promptDigest),
  );
  return results.filter(
    (result) => result.error?.run === 'not_run' && received.has(promptDigest(result.arrival.prompt)),
  ).length;
}

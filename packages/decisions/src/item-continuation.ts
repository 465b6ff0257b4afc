/** Decides what a batch item continues that has received a part of its output, and how long it waits to do so. */

/** While one version serves, an item looks for others no more often than this. */
const MIN_WAIT_AT_SOLE_VERSION_MS = 1_000;

/**
 * How long an item waits for a slot where its output can be continued before it looks for slots at other versions, in
 * milliseconds. `spentMs` is the time that its runs have taken, also those whose output was discarded, so that an item
 * that is preempted again and again does not lose more work than it has waited.
 */
export function continuationWaitMs(spentMs: number, otherVersionsServe: boolean): number {
  return Math.ceil(otherVersionsServe ? spentMs : Math.max(spentMs, MIN_WAIT_AT_SOLE_VERSION_MS));
}

/** The part of an item's output that earlier runs have received. */
export interface PartialRun {
  readonly tokens: readonly string[];
  /** Version of the replicas that produced the tokens; undefined when there are none, or versions are not known. */
  readonly softwareVersion?: string;
}

/** What the next run continues, given whether the last one found no replica. Without one of its version it starts anew. */
export function runToContinue({ tokens, softwareVersion }: PartialRun, foundNoReplica: boolean): PartialRun {
  if (softwareVersion !== undefined && foundNoReplica) return { tokens: [] };
  return { tokens, softwareVersion };
}

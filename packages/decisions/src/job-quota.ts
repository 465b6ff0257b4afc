/** Decides whether a batch job fits under its route's limit without asking the store first. */

/** What an instance knows of the tokens that wait on a route. */
export interface BacklogKnowledge {
  readonly waitingTokens: number;
  /** Time since the listing that it was taken from, in milliseconds. */
  readonly ageMs: number;
}

/** Up to here others cannot have filled the limit since the listing. */
const SURE_FRACTION = 0.5;
const SURE_AGE_MS = 4_000;

/**
 * Whether `offeredTokens` fit for certain. A call to the store is saved, which matters where calls are slow and
 * the caller wants its answer in a fraction of a second. Jobs come in heaps of some percent of a limit.
 */
export function surelyFits(
  knowledge: BacklogKnowledge | undefined,
  offeredTokens: number,
  limitTokens: number,
): boolean {
  if (limitTokens <= 0) return true;
  if (!knowledge || knowledge.ageMs > SURE_AGE_MS) return false;
  return knowledge.waitingTokens + offeredTokens <= limitTokens * SURE_FRACTION;
}

/**
 * Counts the requests of organisations by their outcome, for operators who ask which of them is slow, refused or too loud. The
 * number of organisations that are counted apart is bounded.
 */

/** Outcomes of requests. The values appear in metric names. */
export const RequestOutcome = {
  completed: 'completed',
  /** Refused because of the quota of the organisation. */
  overQuota: 'over_quota',
  /** Refused or failed for another reason. */
  failed: 'failed',
} as const;
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Counters of one organisation. */
export type OrganisationCounts = Readonly<Record<RequestOutcome, number>>;

const MAX_ORGANISATIONS = 200;
/** Counts the requests of all organisations beyond that number. */
const OTHERS = '(others)';

/** The counters of this instance, which only rise. */
export class OrganisationUsage {
  private readonly counts = new Map<string, Record<RequestOutcome, number>>();

  count(organisation: string, outcome: RequestOutcome): void {
    const name =
      this.counts.has(organisation) || this.counts.size < MAX_ORGANISATIONS ? organisation : OTHERS;
    const counts = this.counts.get(name) ?? { completed: 0, over_quota: 0, failed: 0 };
    counts[outcome] += 1;
    this.counts.set(name, counts);
  }

  /** All counters by organisation. */
  dump(): Readonly<Record<string, OrganisationCounts>> {
    return Object.fromEntries(this.counts);
  }
}

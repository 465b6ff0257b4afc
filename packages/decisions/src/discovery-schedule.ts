/**
 * Decides which instances register in the hosting platform's instance list, and how often each of them reads it. Answers
 * a fleet of hundreds of instances: if each of them renewed its entry and read all others, the calls would grow with
 * their number and the bytes with its square. One listed instance is enough to find all members, so only coordinators
 * stay listed, and the others only while they know none.
 */

/** What an instance knows about the other members. */
export interface MembersKnown {
  readonly isCoordinator: boolean;
  /** Whether another instance than this one is a live member. */
  readonly knowsOthers: boolean;
  /** Whether another instance that is a live member is a coordinator. */
  readonly knowsCoordinator: boolean;
  /** Time for which this instance has known no other coordinator, in milliseconds; 0 while it knows one. */
  readonly withoutCoordinatorMs: number;
}

/** Interval between reads until another instance is known. */
const ALONE_READ_PERIOD_MS = 300;
/** Interval between reads of coordinators, and of others that know no coordinator. */
const READ_PERIOD_MS = 2_000;
/**
 * Interval between reads of instances that know a coordinator. They find members again from which a partition had
 * separated them, besides their seed addresses.
 */
const ROUTINE_READ_PERIOD_MS = 20_000;
/** An instance that is not a coordinator registers when it has known none for this long. */
const REGISTER_AFTER_MS = 3_000;

/** Whether the instance keeps its entry in the instance list. */
export function isListed(known: MembersKnown): boolean {
  return known.isCoordinator || known.withoutCoordinatorMs >= REGISTER_AFTER_MS;
}

/** Interval between reads of the instance list, in milliseconds. */
export function listReadPeriodMs(known: MembersKnown): number {
  if (!known.knowsOthers) return ALONE_READ_PERIOD_MS;
  return known.isCoordinator || !known.knowsCoordinator ? READ_PERIOD_MS : ROUTINE_READ_PERIOD_MS;
}

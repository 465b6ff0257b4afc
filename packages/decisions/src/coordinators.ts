/**
 * Selection of coordinators: the members that own pools, read the store on behalf of others and run batch
 * jobs. Keys are assigned to them by rendezvous hashing.
 */
import { winnerOf } from './rendezvous.js';

/** The properties of a member that decide whether it is selected. */
interface Candidate {
  readonly instanceId: string;
  /** False for an instance that is not a coordinator and so owns no pools; absent means true. */
  readonly schedules?: boolean;
}

export function isCoordinator(member: Candidate): boolean {
  return member.schedules !== false;
}

/** Filters the members down to the coordinators. */
export function coordinatorsOf<T extends Candidate>(members: readonly T[]): T[] {
  return members.filter(isCoordinator);
}

/**
 * Instance id of the coordinator that is responsible for `key`, or undefined when there is no coordinator.
 */
export function coordinatorFor(key: string, members: readonly Candidate[]): string | undefined {
  return winnerOf(
    key,
    coordinatorsOf(members).map((member) => member.instanceId),
  );
}

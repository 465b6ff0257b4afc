/** Which members own pools, read the store for others and run batch jobs, and which of them serves a key. */
import { winnerOf } from './rendezvous.js';

/** A member as these choices see it. */
interface Candidate {
  readonly instanceId: string;
  /** False for an instance that owns no pools. */
  readonly schedules?: boolean;
}

/** Whether a member is a coordinator. */
export function isCoordinator(member: Candidate): boolean {
  return member.schedules !== false;
}

/** The coordinators among the members. */
export function coordinatorsOf<T extends Candidate>(members: readonly T[]): T[] {
  return members.filter(isCoordinator);
}

/** The coordinator that wins `key`, or undefined when there is none. */
export function coordinatorFor(key: string, members: readonly Candidate[]): string | undefined {
  return winnerOf(
    key,
    coordinatorsOf(members).map((member) => member.instanceId),
  );
}

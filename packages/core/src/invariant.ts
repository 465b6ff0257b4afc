/** Invariants that are checked at run time. A broken one stops the process. */
import VError from 'verror';

/** Names of all invariants, as they appear in logs and reports. */
export const InvariantName = {
  itemCommittedOnce: 'item_committed_once',
  permitUsedOnce: 'permit_used_once',
  revisionNeverFalls: 'revision_never_falls',
  notRunNothingSent: 'not_run_nothing_sent',
  noDispatchOnLapsedLease: 'no_dispatch_on_lapsed_lease',
  streamChunkBelongs: 'stream_chunk_belongs',
  countsAddUp: 'counts_add_up',
} as const;
export type InvariantName = (typeof InvariantName)[keyof typeof InvariantName];

/** Thrown when an invariant is broken. Carries the name and the state at that moment. */
export class InvariantError extends VError {
  constructor(
    readonly invariant: InvariantName,
    readonly state: Record<string, unknown>,
  ) {
    super({ name: 'InvariantError', info: { invariant, state } }, `invariant broken: ${invariant}`);
  }
}

/** Throws `InvariantError` unless `holds`. */
export function checkInvariant(
  invariant: InvariantName,
  holds: boolean,
  state: () => Record<string, unknown>,
): void {
  if (!holds) throw new InvariantError(invariant, state());
}

/** Invariants that are checked at run time. The process exits when one is violated. */
import VError from 'verror';

/** Names of all invariants, as they appear in logs and reports. */
export const InvariantName = {
  itemCommittedOnce: 'item_committed_once',
  permitUsedOnce: 'permit_used_once',
  revisionNeverFalls: 'revision_never_falls',
  notRunNothingSent: 'not_run_nothing_sent',
  noDispatchOnExpiredLease: 'no_dispatch_on_lapsed_lease',
  streamChunkBelongs: 'stream_chunk_belongs',
  countsAddUp: 'counts_add_up',
} as const;
export type InvariantName = (typeof InvariantName)[keyof typeof InvariantName];

/** Thrown when an invariant is violated. Carries the name of the invariant and the state at that moment. */
export class InvariantError extends VError {
  constructor(
    readonly invariant: InvariantName,
    readonly state: Record<string, unknown>,
  ) {
    super({ name: 'InvariantError', info: { invariant, state } }, `invariant violated: ${invariant}`);
  }
}

/** Throws an `InvariantError` unless `holds`. `state` is called only in that case. */
export function checkInvariant(
  invariant: InvariantName,
  holds: boolean,
  state: () => Record<string, unknown>,
): void {
  if (!holds) throw new InvariantError(invariant, state());
}

/** Invariants that are checked at run time. The process exits when one is violated. */
import VError from 'verror';

/** Names of all invariants, as they appear in logs and reports. */
export const InvariantName = {
  /** An item of a batch job gets only one result. */
  itemCommittedOnce: 'item_committed_once',
  /** A permit id is granted only once. */
  permitUsedOnce: 'permit_used_once',
  /** The revision of a table bucket and the version of the routing configuration never decrease. */
  revisionNeverFalls: 'revision_never_falls',
  /** No part of a request that is reported as not run was sent to an upstream. */
  notRunNothingSent: 'not_run_nothing_sent',
  /** A holder dispatches an item only while its lease is valid. */
  noDispatchOnExpiredLease: 'no_dispatch_on_lapsed_lease',
  /** A chunk of a stream belongs to the request and carries its next token. */
  streamChunkBelongs: 'stream_chunk_belongs',
  /** The stored counts and records of a job agree with each other. */
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

/** Fixture of tests: a request for a slot. */
import type { SlotRequest } from '../pool-types.js';

/** An online request that can be resumed, with the given changes. */
export function slotRequest(requestId: string, changes: Partial<SlotRequest> = {}): SlotRequest {
  return {
    requestId,
    organisation: 'a',
    costTokens: 10,
    deadlineMs: 60_000,
    holder: 'h',
    workClass: 'online',
    prefixDigest: '',
    sharedPartIds: [],
    excludedReplicaIds: [],
    resumable: true,
    alone: false,
    enqueuedAtMs: 0,
    ...changes,
  };
}

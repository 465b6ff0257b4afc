import { describe, expect, it } from 'vitest';

import { BatchRunEstimates } from './batch-run-estimates.js';
import type { SlotRequest } from './pool-types.js';

function item(changes: Partial<SlotRequest> = {}): SlotRequest {
  return {
    requestId: 'q',
    organisation: 'a',
    costTokens: 1,
    deadlineMs: 18_000,
    holder: 'h',
    workClass: 'batch',
    prefixDigest: '',
    excludedReplicaIds: [],
    resumable: true,
    alone: false,
    enqueuedAtMs: 0,
    ...changes,
  };
}

/** Estimates after many items of 200 tokens, in two runs each, at 25 ms a token. */
function observed(): BatchRunEstimates {
  const estimates = new BatchRunEstimates();
  Array.from({ length: 100 }).forEach(() => {
    estimates.observe({
      organisation: 'a',
      earlierTokens: 0,
      tokens: 80,
      ranMs: 2_000,
      completed: false,
    });
    estimates.observe({
      organisation: 'a',
      earlierTokens: 80,
      tokens: 120,
      ranMs: 3_000,
      completed: true,
    });
  });
  return estimates;
}

describe('BatchRunEstimates', () => {
  it('expects nothing of an organisation without finished items', () => {
    expect(observed().remainingOf(item({ organisation: 'b' }))).toEqual({ expectedRunMs: 0, longRunMs: 0 });
  });

  it('derives the remaining run time from the length of finished items and the observed rate', () => {
    const estimates = observed();
    expect(estimates.remainingOf(item()).expectedRunMs).toBeCloseTo(5_000, -1);
    expect(estimates.remainingOf(item({ receivedTokens: 120 })).expectedRunMs).toBeCloseTo(2_000, -1);
  });

  it('counts the time for which an item has been running', () => {
    const request = item({ receivedTokens: 80 });
    const permit = { permitId: 'p', request, replicaId: 'r', grantedAtMs: 10_000, expiresAtMs: 14_000 };
    expect(observed().remainingOfRunning(permit, 11_000).expectedRunMs).toBeCloseTo(2_000, -1);
  });

  it('expects some time of an item that is longer than usual', () => {
    const estimates = observed();
    estimates.observe({ organisation: 'a', earlierTokens: 0, tokens: 300, ranMs: 7_500, completed: true });
    expect(estimates.remainingOf(item({ receivedTokens: 280 })).expectedRunMs).toBeGreaterThan(0);
  });
});

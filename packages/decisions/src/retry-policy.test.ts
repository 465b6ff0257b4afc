import { describe, expect, it } from 'vitest';

import { SendEvidence, mayRetry } from './retry-policy.js';

const { notRun, mayHaveRun } = SendEvidence;

describe('retry policy', () => {
  const unsafe = { kind: 'unsafe', resumable: false, maxRuns: 3 } as const;
  const stream = { kind: 'streaming', resumable: false, maxRuns: 3 } as const;
  const resumable = { kind: 'streaming', resumable: true, maxRuns: 2 } as const;
  const safe = { kind: 'safe', resumable: false, maxRuns: 2 } as const;

  it('retries any request that provably has not run', () => {
    [unsafe, stream, resumable, safe].forEach((limits) =>
      expect(mayRetry(limits, { sends: 1, runs: 0, last: notRun })).toBe(true),
    );
  });

  it('never retries a request that may have run and must not run twice', () => {
    [unsafe, stream].forEach((limits) =>
      expect(mayRetry(limits, { sends: 1, runs: 1, last: mayHaveRun })).toBe(false),
    );
  });

  it('does not retry an unsafe request after a later refusal, since an earlier send may have run', () => {
    expect(mayRetry(unsafe, { sends: 2, runs: 1, last: notRun })).toBe(false);
  });

  it('retries safe and resumable requests until the maximum number of runs is reached', () => {
    [resumable, safe].forEach((limits) => {
      expect(mayRetry(limits, { sends: 1, runs: 1, last: mayHaveRun })).toBe(true);
      expect(mayRetry(limits, { sends: 2, runs: 2, last: mayHaveRun })).toBe(false);
    });
  });

  it('stops after a bounded number of sends', () => {
    expect(mayRetry(safe, { sends: 6, runs: 0, last: notRun })).toBe(false);
  });
});

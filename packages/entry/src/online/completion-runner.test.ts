import { ManualClock, Metrics } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { CompletionRunner } from './completion-runner.js';

const SPEC = {
  requestId: 'q',
  organisation: 'o',
  model: 'm',
  prompt: 'p',
  maxTokens: 1,
  deadlineUnixMs: 99_999,
  workClass: 'online' as const,
  idempotent: true,
  alone: false,
  tokensSoFar: [],
};
const SLOT = {
  permitId: 'p',
  poolId: 'x',
  replicaId: 'r',
  address: 'a',
  fencingChecked: false,
  revoked: new AbortController().signal,
};

describe('CompletionRunner', () => {
  it('says that a request may have run when a later attempt was rejected before it was sent', async () => {
    const ends = [
      { kind: 'broken', detail: '', sent: true },
      { kind: 'rejected', detail: '', sent: false },
    ];
    const engine = { run: () => Promise.resolve(ends.shift()) };
    const permits = {
      acquire: () => Promise.resolve({ ok: true, value: SLOT }),
      release: () => undefined,
    };
    const runner = new CompletionRunner(
      permits as never,
      engine as never,
      {} as never,
      { headersMs: 1, gapMs: 1 },
      1,
      new ManualClock(),
      new Metrics(),
    );
    const end = await runner.run(SPEC, new AbortController().signal);
    expect(end).toMatchObject({ kind: 'rejected', sent: true, problem: { run: 'may_have_run' } });
  });
});

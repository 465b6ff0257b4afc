/** Fixture of tests: a completion, and a runner whose slots are always free. */
import { ManualClock, Metrics } from '@fighub/core';

import { CompletionRunner } from '../online/completion-runner.js';

export const COMPLETION_SPEC = {
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

/** A runner that uses `engine` for all attempts. */
export function runnerWith(engine: unknown): CompletionRunner {
  const slot = {
    permitId: 'p',
    poolId: 'x',
    replicaId: 'r',
    address: 'a',
    fencingChecked: false,
    revoked: new AbortController().signal,
  };
  const permits = { acquire: () => Promise.resolve({ ok: true, value: slot }), release: () => undefined };
  const limits = { headersMs: 1, gapMs: 1 };
  return new CompletionRunner(
    permits as never,
    engine as never,
    {} as never,
    limits,
    1,
    new ManualClock(),
    new Metrics(),
  );
}

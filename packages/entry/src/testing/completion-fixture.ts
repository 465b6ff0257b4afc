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

/** A runner that uses `engine` for all attempts. Slots are at replicas of `softwareVersion`. */
export function runnerWith(
  engine: unknown,
  softwareVersion?: string,
  demands: unknown[] = [],
): CompletionRunner {
  const slot = {
    permitId: 'p',
    poolId: 'x',
    replicaId: 'r',
    address: 'a',
    fencingChecked: false,
    softwareVersion,
    revoked: new AbortController().signal,
  };
  const acquire = (demand: unknown): Promise<unknown> => {
    demands.push(demand);
    return Promise.resolve({ ok: true, value: slot });
  };
  const permits = { acquire, release: () => undefined };
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

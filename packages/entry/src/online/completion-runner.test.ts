import type { EngineCall, EngineChunk } from '@fighub/outside';
import { describe, expect, it } from 'vitest';

import { COMPLETION_SPEC, runnerWith } from '../testing/completion-fixture.js';

describe('CompletionRunner', () => {
  it('says that a request may have run when a later attempt was rejected before it was sent', async () => {
    const ends = [
      { kind: 'broken', detail: '', sent: true },
      { kind: 'rejected', detail: '', sent: false },
    ];
    const runner = runnerWith({ run: () => Promise.resolve(ends.shift()) });
    const end = await runner.run(COMPLETION_SPEC, new AbortController().signal);
    expect(end).toMatchObject({ kind: 'rejected', sent: true, problem: { run: 'may_have_run' } });
  });

  it('does not continue a broken stream at another software version', async () => {
    const demands: { readonly softwareVersion?: string }[] = [];
    const engine = {
      run: (call: EngineCall, _limits: unknown, onChunk: (chunk: EngineChunk) => void) => {
        const { requestId, attemptId, fromToken: tokenIndex } = call;
        onChunk({ requestId, attemptId, tokenIndex, text: 'x' });
        return Promise.resolve({ kind: tokenIndex === 0 ? 'broken' : 'completed', detail: '', sent: true });
      },
    };
    const runner = runnerWith(engine, 'v1', demands);
    const end = await runner.run(COMPLETION_SPEC, new AbortController().signal);
    expect(demands.map(({ softwareVersion }) => softwareVersion)).toEqual([undefined, 'v1']);
    expect(end).toMatchObject({ kind: 'completed', tokens: ['x', 'x'], softwareVersion: 'v1' });
  });

  it('gives the slot back when the engine throws', async () => {
    const unexpected = new TypeError('unexpected');
    const releases: unknown[] = [];
    const runner = runnerWith({ run: () => Promise.reject(unexpected) });
    (runner.dependencies.permits as { release: unknown }).release = (_: unknown, end: unknown) =>
      releases.push(end);
    await expect(runner.run(COMPLETION_SPEC, new AbortController().signal)).rejects.toBe(unexpected);
    expect(releases).toEqual([{ end: 'cancelled', tokens: 0 }]);
  });
});

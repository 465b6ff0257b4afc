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
});

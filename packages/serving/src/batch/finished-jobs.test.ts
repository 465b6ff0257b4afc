import { describe, expect, it } from 'vitest';

import { FinishedJobs } from './finished-jobs.js';

function resultsOf(...outputs: readonly string[]) {
  const results = outputs.map((output, index) => ({ itemId: String(index), succeeded: true, output }));
  return {
    held: true,
    itemCount: outputs.length,
    committedCount: outputs.length,
    organisation: 'fox',
    results,
  };
}

describe('FinishedJobs', () => {
  it('returns the results after a position, with the organisation of the job', () => {
    const jobs = new FinishedJobs();
    jobs.add('j', resultsOf('a', 'b'));
    expect(jobs.results('j', 1)).toMatchObject({
      held: true,
      committedCount: 2,
      organisation: 'fox',
      results: [{ output: 'b' }],
    });
    expect(jobs.results('other', 0)).toBeUndefined();
  });

  it('drops the jobs that finished first when their outputs take too much memory', () => {
    const jobs = new FinishedJobs();
    const large = 'x'.repeat(1_000_000);
    Array.from({ length: 40 }).forEach((_, index) => jobs.add(`j${String(index)}`, resultsOf(large)));
    expect(jobs.results('j0', 0)).toBeUndefined();
    expect(jobs.results('j39', 0)).toBeDefined();
  });

  it('keeps within its memory when a large job follows many small ones', () => {
    const jobs = new FinishedJobs();
    Array.from({ length: 20 }).forEach((_, index) =>
      jobs.add(`j${String(index)}`, resultsOf('x'.repeat(1_000_000))),
    );
    jobs.add('large', resultsOf('x'.repeat(20_000_000)));
    const kept = ['large', ...Array.from({ length: 20 }, (_, index) => `j${String(index)}`)]
      .flatMap((jobId) => jobs.results(jobId, 0)?.results ?? [])
      .reduce((sum, { output }) => sum + output.length, 0);
    expect(kept).toBeLessThanOrEqual(24_000_000);
    expect(jobs.results('large', 0)).toBeDefined();
  });
});

/**
 * Results of finished jobs, kept by the instance that ran them. Answers callers that read jobs all day, at any instance: each
 * first read at an instance would otherwise cost several calls to the store.
 */
import type { JobResultsResponse } from '@fighub/peers';

/** Characters of output that are kept, over all jobs. The jobs that finished first are dropped. */
const MAX_KEPT_CHARACTERS = 24_000_000;

interface FinishedJob {
  readonly results: JobResultsResponse;
  readonly characters: number;
}

/** The results of a finished job never change, so that they may be read here whoever holds the job later. */
export class FinishedJobs {
  private readonly jobs = new Map<string, FinishedJob>();
  private characters = 0;

  /** Adds a job with all of its results. */
  add(jobId: string, results: JobResultsResponse): void {
    this.remove(jobId);
    const characters = results.results.reduce((sum, { output }) => sum + output.length, 0);
    this.jobs.set(jobId, { results, characters });
    this.characters += characters;
    [...this.jobs.keys()].forEach((oldestId) => {
      if (this.characters > MAX_KEPT_CHARACTERS) this.remove(oldestId);
    });
  }

  /** The results after the first `afterPosition` ones; undefined if the job is not kept. */
  results(jobId: string, afterPosition: number): JobResultsResponse | undefined {
    const kept = this.jobs.get(jobId)?.results;
    return kept && { ...kept, results: kept.results.slice(afterPosition) };
  }

  private remove(jobId: string): void {
    this.characters -= this.jobs.get(jobId)?.characters ?? 0;
    this.jobs.delete(jobId);
  }
}

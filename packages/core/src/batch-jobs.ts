/**
 * Stored form of batch jobs whose items are opaque HTTP requests. The input is written once, the progress is
 * updated by compare-and-swap, and the results are stored in segments. Jobs of prompts are in `jobs.ts`.
 */

/** One item of a job, which is an HTTP request, as it was submitted. */
export interface StoredItem {
  readonly itemId: string;
  /** Path and query of the request. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly bodyBase64: string;
  /** Upper bound of the prompt and output tokens together. */
  readonly tokens: number;
}

/** The result of one item. */
export interface StoredResult {
  readonly itemId: string;
  /** False when the job gave up the item. */
  readonly succeeded: boolean;
  readonly output: string;
}

/** One part of a job's input. The texts of all parts, joined in order, are a JSON list of `StoredItem`. */
export interface JobInputPart {
  readonly text: string;
}

/** Results that were committed together, stored under one key. */
export interface ResultSegment {
  readonly results: readonly StoredResult[];
}

/** Refers to a stored segment. Result positions are numbered across the segments of a job in list order. */
export interface SegmentReference {
  readonly key: string;
  readonly count: number;
}

/** Number of failed attempts of an item that has no result yet. */
export interface ItemFailures {
  readonly index: number;
  readonly failedAttempts: number;
}

/** The mutable state of a job. A job is accepted if and only if this record exists. */
export interface JobProgress {
  readonly jobId: string;
  readonly host: string;
  readonly routeName: string;
  readonly acceptedAtUnixMs: number;
  readonly dueAtUnixMs: number;
  /** Time from which the job may give up an item. */
  readonly abandonAtUnixMs: number;
  readonly maxAttempts: number;
  readonly itemCount: number;
  readonly inputPartCount: number;
  /** Id of the instance that runs the job; empty after the job was released. */
  readonly holder: string;
  /** Increases by one with each new holder. */
  readonly epoch: number;
  /** Increases with each write, so that other instances can detect a holder that makes no progress. */
  readonly sequence: number;
  /** True when the caller has ended the job: no further item is run. */
  readonly ended: boolean;
  /** Indexes of the items that have a result. */
  readonly finishedIndexes: readonly number[];
  readonly failures: readonly ItemFailures[];
  readonly segments: readonly SegmentReference[];
  /** Sum of `tokens` over the items without a result. */
  readonly openTokens: number;
}

/** Keys under which the records of a batch job are stored in the key-value service. */
export const batchJobKeys = {
  progressPrefix: 'progress/',
  progress: (jobId: string): string => `progress/${jobId}`,
  input: (jobId: string, part: number): string => `input/${jobId}/${String(part)}`,
  checkpoint: (jobId: string): string => `checkpoint/${jobId}`,
  segment: (jobId: string, epoch: number, sequence: number): string =>
    `results/${jobId}/${String(epoch)}-${String(sequence)}`,
} as const;

/**
 * Stored form of batch jobs whose items are opaque HTTP requests. The input is written once, the progress is
 * updated by compare-and-swap, and the results are stored in segments. Jobs of prompts are defined in `jobs.ts`.
 */

/** One item of a job: an HTTP request as its caller submitted it. */
export interface StoredItem {
  readonly itemId: string;
  /** Path and query of the request. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly bodyBase64: string;
  /** Upper bound of the prompt and output tokens together. */
  readonly tokens: number;
  /**
   * Ids of the parts of the prompt that other requests may share, in order. Absent in records of older releases.
   */
  readonly sharedPartIds?: readonly string[];
}

/** The result of one item. */
export interface StoredResult {
  readonly itemId: string;
  /** False when the job gave up the item. */
  readonly succeeded: boolean;
  /** The events of the item's response, separated by newlines; empty when the job gave up the item. */
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

/** Refers to a stored segment. Results are numbered through all segments of a job, in the order of their list. */
export interface SegmentReference {
  readonly key: string;
  readonly count: number;
}

/** Number of failed attempts of an item that has no result yet. */
export interface ItemFailures {
  /** Index of the item in the job. */
  readonly index: number;
  readonly failedAttempts: number;
}

/** The mutable state of a job. A job is accepted if and only if this record exists. */
export interface JobProgress {
  readonly jobId: string;
  /** The `Host` header with which the job was submitted. Its items are routed and sent with the same one. */
  readonly host: string;
  readonly routeName: string;
  /** Organisation that submitted the job; absent if callers needed no key. */
  readonly organisation?: string;
  readonly acceptedAtUnixMs: number;
  /** Version of the configuration by which the job was accepted. Absent in records of older releases. */
  readonly configurationVersion?: number;
  readonly dueAtUnixMs: number;
  /** Time at which the job gives up all items that have no result. */
  readonly abandonAtUnixMs: number;
  /** Number of failed attempts after which the job gives up an item. */
  readonly maxAttempts: number;
  readonly itemCount: number;
  readonly inputPartCount: number;
  /** Id of the instance that runs the job; empty after the job was released. */
  readonly holder: string;
  /** Increases by one with each new holder. */
  readonly epoch: number;
  /** Increases by one with each write, so that other instances can detect a holder that makes no progress. */
  readonly sequence: number;
  /** True when the caller has ended the job: no further item is run. */
  readonly ended: boolean;
  /** Indexes of the items that have a result. */
  readonly finishedIndexes: readonly number[];
  /** Failed attempts of the items that have no result yet. */
  readonly failures: readonly ItemFailures[];
  readonly segments: readonly SegmentReference[];
  /** Sum of `tokens` over the items without a result; 0 after the caller has ended the job. */
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

/** Whether a stored value has the fields of a job's progress that every holder relies on. */
export function isJobProgress(value: unknown): value is JobProgress {
  const progress = value as Partial<JobProgress> | null;
  return (
    typeof progress === 'object' &&
    typeof progress?.jobId === 'string' &&
    typeof progress.holder === 'string' &&
    typeof progress.epoch === 'number' &&
    typeof progress.sequence === 'number' &&
    typeof progress.itemCount === 'number' &&
    Array.isArray(progress.finishedIndexes) &&
    Array.isArray(progress.failures) &&
    Array.isArray(progress.segments)
  );
}

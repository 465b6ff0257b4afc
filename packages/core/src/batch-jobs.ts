/** Jobs of opaque requests as stored: the input once, the progress by compare-and-swap, results by segments. */

/** One item as it was submitted. */
export interface StoredItem {
  readonly itemId: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly bodyBase64: string;
  /** Prompt and output tokens at most. */
  readonly tokens: number;
}

/** The result of one item. */
export interface StoredResult {
  readonly itemId: string;
  /** False when the item was given up. */
  readonly succeeded: boolean;
  readonly output: string;
}

/** A part of the text of a job's items. The parts together are one JSON list of `StoredItem`. */
export interface JobInputPart {
  readonly text: string;
}

/** Results that were committed together. */
export interface ResultSegment {
  readonly results: readonly StoredResult[];
}

/** Names a segment. Positions of results run through the segments in order. */
export interface SegmentReference {
  readonly key: string;
  readonly count: number;
}

/** Failed attempts of an item that is not finished. */
export interface ItemFailures {
  readonly index: number;
  readonly failedAttempts: number;
}

/** Everything of a job that changes. Its existence means that the job is accepted. */
export interface JobProgress {
  readonly jobId: string;
  readonly host: string;
  readonly routeName: string;
  readonly acceptedAtUnixMs: number;
  readonly dueAtUnixMs: number;
  /** From then on an item may be given up. */
  readonly abandonAtUnixMs: number;
  readonly maxAttempts: number;
  readonly itemCount: number;
  readonly inputPartCount: number;
  /** Instance that runs the job; empty when it was given back. */
  readonly holder: string;
  /** Rises by one with each new holder. */
  readonly epoch: number;
  /** Rises with each write, so that a holder that does nothing can be seen. */
  readonly sequence: number;
  /** The caller has ended the job: nothing more is run. */
  readonly ended: boolean;
  /** Indexes of items with a result. */
  readonly finishedIndexes: readonly number[];
  readonly failures: readonly ItemFailures[];
  readonly segments: readonly SegmentReference[];
  /** Tokens of items without a result. */
  readonly openTokens: number;
}

/** Keys of a job's records. */
export const batchJobKeys = {
  progressPrefix: 'progress/',
  progress: (jobId: string): string => `progress/${jobId}`,
  input: (jobId: string, part: number): string => `input/${jobId}/${String(part)}`,
  checkpoint: (jobId: string): string => `checkpoint/${jobId}`,
  segment: (jobId: string, epoch: number, sequence: number): string =>
    `results/${jobId}/${String(epoch)}-${String(sequence)}`,
} as const;

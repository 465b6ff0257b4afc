/** Stored form of batch jobs whose items are prompts. Jobs of opaque requests are defined in `batch-jobs.ts`. */

/** States of a job. A job is complete when all of its items have a result. */
export const JobState = { open: 'open', complete: 'complete', cancelled: 'cancelled' } as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Description of a job. A job is accepted if and only if this record exists. */
export interface JobManifest {
  readonly jobId: string;
  /** Id of the upload whose input chunks belong to the job. */
  readonly uploadId: string;
  readonly organisation: string;
  readonly model: string;
  readonly state: JobState;
  /** Whether an item may run again when it is unknown whether it has run. */
  readonly idempotent: boolean;
  readonly dueAtUnixMs: number;
  readonly createdAtUnixMs: number;
  readonly endedAtUnixMs?: number;
  readonly itemCount: number;
  readonly chunkCount: number;
  /** Digest of the submitted body. Distinguishes a retried submission from a different job with the same id. */
  readonly bodyDigest: string;
}

/** One prompt of a job. */
export interface JobItem {
  readonly customId: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Consecutive items of a job, stored under one key. */
export interface JobChunk {
  /** Index in the job of the first item of the chunk. */
  readonly firstIndex: number;
  readonly items: readonly JobItem[];
}

/** How an item ended. */
export const ItemStatus = {
  succeeded: 'succeeded',
  failed: 'failed',
  /** A non-idempotent item that was started and whose outcome is unknown. */
  mayHaveRun: 'may_have_run',
} as const;
export type ItemStatus = (typeof ItemStatus)[keyof typeof ItemStatus];

/** The result of one item. */
export interface ItemResult {
  /** Index of the item in the job. */
  readonly index: number;
  readonly customId: string;
  readonly status: ItemStatus;
  /** The output of an item that succeeded. */
  readonly text?: string;
  readonly tokens?: number;
  /** Why the item did not succeed. */
  readonly cause?: string;
}

/** Number of attempts of one item that failed because of the item itself. */
export interface ItemAttempts {
  /** Offset of the item in its chunk. */
  readonly offset: number;
  readonly failedAttempts: number;
  readonly lastCause: string;
}

/** Lease, progress and segment list of one chunk. Changed only by compare-and-swap. */
export interface ChunkLedger {
  /** Increases by one with each new holder. Serves as fencing number. */
  readonly epoch: number;
  readonly holder: string;
  /** Increases by one with each write, so that other instances can detect a holder that makes no progress. */
  readonly sequence: number;
  readonly itemCount: number;
  /** Offsets of the ended items, as a bitmap in base64. */
  readonly doneBitmap: string;
  /** Number of ended items, including the failed ones. */
  readonly doneCount: number;
  readonly failedCount: number;
  readonly attempts: readonly ItemAttempts[];
  /** Offsets of the non-idempotent items that were started and have not ended. */
  readonly startedOffsets: readonly number[];
  /** Names of the output segments that hold the results of ended items. */
  readonly segments: readonly string[];
  /** True when no instance holds the lease, so that the chunk can be claimed without waiting for its expiry. */
  readonly released: boolean;
}

/** Keys under which the records of a job are stored in the key-value service. */
export const jobKeys = {
  manifest: (jobId: string): string => `jobs/${jobId}/manifest`,
  inputPrefix: (jobId: string, uploadId: string): string => `jobs/${jobId}/input/${uploadId}/`,
  input: (jobId: string, uploadId: string, chunk: number): string =>
    `jobs/${jobId}/input/${uploadId}/${padded(chunk)}`,
  ledgerPrefix: (jobId: string): string => `jobs/${jobId}/ledger/`,
  ledger: (jobId: string, chunk: number): string => `jobs/${jobId}/ledger/${padded(chunk)}`,
  output: (jobId: string, segment: string): string => `jobs/${jobId}/output/${segment}`,
  outputPrefix: (jobId: string): string => `jobs/${jobId}/output/`,
  allInputPrefix: (jobId: string): string => `jobs/${jobId}/input/`,
  uploadPrefix: 'uploads/',
  upload: (jobId: string, uploadId: string): string => `uploads/${jobId}/${uploadId}`,
  endedPrefix: 'ended/',
  ended: (jobId: string): string => `ended/${jobId}`,
  openPrefix: 'open/',
  open: (jobId: string): string => `open/${jobId}`,
} as const;

function padded(chunk: number): string {
  return String(chunk).padStart(6, '0');
}

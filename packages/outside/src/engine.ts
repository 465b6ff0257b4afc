/** The interface to model engines. */

/** Fencing of a call by a lease's holder: the upstream refuses an epoch below the highest that it has received. */
export interface Fencing {
  /** Identifies what the lease covers; epochs are compared within one scope. */
  readonly scope: string;
  readonly epoch: number;
}

/** A call that runs one stream at a replica. */
export interface EngineCall {
  /** Base URL of the replica. */
  readonly address: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Index of the first token to send; a value above 0 resumes an earlier attempt. */
  readonly fromToken: number;
  /** Lease under which the call is made; set when the upstream checks it. */
  readonly fencing?: Fencing;
  /** Whether the call may run more than once. A non-idempotent call never uses a persistent connection. */
  readonly idempotent: boolean;
}

/** One token of a stream, as received from a replica. */
export interface EngineChunk {
  readonly requestId: string;
  readonly attemptId: string;
  readonly tokenIndex: number;
  readonly text: string;
}

/** How a call ended. */
export const EngineEndKind = {
  completed: 'completed',
  /** The caller of `run` cancelled the call. */
  cancelled: 'cancelled',
  /** No connection could be made: nothing was sent. */
  notConnected: 'not_connected',
  /** The engine refused the call before running anything, because it is about to stop. */
  leaving: 'leaving',
  /** The engine refused the call before running anything, because it is at capacity. */
  overloaded: 'overloaded',
  /** The engine refused the call before running anything, because its fencing number is too low. */
  fenced: 'fenced',
  /** The engine refused the request as one that it cannot process. */
  rejected: 'rejected',
  /** No response headers or no data arrived within the timeout. */
  silent: 'silent',
  /** The connection failed after the request was sent, the response was incomplete or a refusal had an unknown code. */
  broken: 'broken',
} as const;
export type EngineEndKind = (typeof EngineEndKind)[keyof typeof EngineEndKind];

/** How a call ended, with a description of the cause. */
export interface EngineEnd {
  readonly kind: EngineEndKind;
  readonly detail: string;
  /** Whether any byte of the request may have reached the engine. */
  readonly sent: boolean;
}

/** Timeouts for a response that does not arrive or stops arriving, in milliseconds. */
export interface InactivityTimeouts {
  /** Longest time from the call to the response headers. */
  readonly headersMs: number;
  /** Longest time from the headers to the first data, and between two pieces of data. */
  readonly gapMs: number;
}

/** Load report of an engine. It can be out of date, because engines report with a delay. */
export interface EngineLoad {
  /** Streams that are running. */
  readonly running: number;
  /** Streams that are queued at the engine. */
  readonly waiting: number;
  readonly maxConcurrency: number;
  readonly leaving: boolean;
  readonly cachedPrefixes: readonly string[];
  readonly models: readonly string[];
}

/** Reads the load reports of engines. */
export interface LoadReader {
  /** Returns the load report of the engine at `address`; undefined when it does not respond, or not with a report. */
  load(address: string): Promise<EngineLoad | undefined>;
}

/** Runs streams at engines. */
export interface Engine extends LoadReader {
  /**
   * Runs one stream and passes each token to `onChunk`. Aborting `signal` cancels the call. Never rejects: failures
   * are returned as the kind of the end.
   */
  run(
    call: EngineCall,
    limits: InactivityTimeouts,
    onChunk: (chunk: EngineChunk) => void,
    signal: AbortSignal,
  ): Promise<EngineEnd>;
}

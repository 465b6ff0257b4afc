/** The interface to model engines. */

/** An order of a lease's holder; the upstream refuses epochs below the highest it has seen. */
export interface Fencing {
  /** What the lease is for. */
  readonly scope: string;
  readonly epoch: number;
}

/** A stream to be run at a replica. */
export interface EngineCall {
  readonly address: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Index of the first token that is wanted; more than 0 resumes an earlier attempt. */
  readonly fromToken: number;
  /** Lease under which the call is made, where the upstream checks it. */
  readonly fencing?: Fencing;
  /** Non-idempotent calls never use a kept connection. */
  readonly idempotent: boolean;
}

/** One token of a stream. */
export interface EngineChunk {
  readonly requestId: string;
  readonly attemptId: string;
  readonly tokenIndex: number;
  readonly text: string;
}

/** How a call ended. */
export const EngineEndKind = {
  completed: 'completed',
  /** We stopped it. */
  cancelled: 'cancelled',
  /** No connection could be made: nothing was sent. */
  notConnected: 'not_connected',
  /** The engine refused before it ran anything. */
  leaving: 'leaving',
  overloaded: 'overloaded',
  fenced: 'fenced',
  /** The engine cannot do this request. */
  rejected: 'rejected',
  /** No answer or no token came within the limit. */
  silent: 'silent',
  /** The connection broke after the request was sent. */
  broken: 'broken',
} as const;
export type EngineEndKind = (typeof EngineEndKind)[keyof typeof EngineEndKind];

/** End of a call with its evidence. */
export interface EngineEnd {
  readonly kind: EngineEndKind;
  readonly detail: string;
  /** Whether any byte of the request may have reached the engine. */
  readonly sent: boolean;
}

/** Limits on silence, in milliseconds. */
export interface SilenceLimits {
  readonly headersMs: number;
  readonly gapMs: number;
}

/** Load as an engine reports it, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly maxConcurrency: number;
  readonly leaving: boolean;
  readonly cachedPrefixes: readonly string[];
  readonly models: readonly string[];
}

/** Reads load reports. */
export interface LoadReader {
  /** The report of the engine at `address`; undefined when there is no answer. */
  load(address: string): Promise<EngineLoad | undefined>;
}

/** Runs streams at engines. */
export interface Engine extends LoadReader {
  /** Runs one stream; each token is passed to `onChunk`. Never rejects. */
  run(
    call: EngineCall,
    limits: SilenceLimits,
    onChunk: (chunk: EngineChunk) => void,
    signal: AbortSignal,
  ): Promise<EngineEnd>;
}

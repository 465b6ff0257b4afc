/** Requests that are forwarded without being understood, and the replicas' side of it. */
import type { Problem } from '@fighub/core';

/** Header names and values in the order in which they were received. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request of a caller. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with query. */
  readonly target: string;
  /** End-to-end headers, without those that this system sets itself. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** When the caller gives up; monotonic time. */
  readonly deadlineMs: number;
  /** Output tokens at most; an estimate of what the request costs. */
  readonly costTokens: number;
  /** Names the first part of the prompt, which replicas may have cached. */
  readonly prefixDigest: string;
  /** The last event that the caller has, when it resumes a stream itself. */
  readonly resumeAfter?: number;
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
}

/** Where an answer goes. Nothing may be written after `end`, `cut` or `refuse`. */
export interface AnswerSink {
  head(head: AnswerHead): void;
  data(part: Buffer): void;
  end(): void;
  /** Breaks the answer off so that it does not look complete. */
  cut(): void;
  refuse(problem: Problem): void;
}

/** One request to one replica. */
export interface UpstreamCall {
  readonly replicaId: string;
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** When the replica must stop; monotonic time. Undefined for no limit. */
  readonly deadlineMs?: number;
  readonly resumeAfter?: number;
}

/** The head of a replica's answer. */
export interface UpstreamHead extends AnswerHead {
  /** The replica itself says that it did not run the request. */
  readonly notRun: boolean;
  /** What the replica says of its load. */
  readonly load?: UpstreamLoad;
}

/** Requests at a replica as it reports them with an answer. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Receives what a replica says of its load. */
export type LoadListener = (load: UpstreamLoad) => void;

/** Receives a replica's answer while it arrives. */
export interface UpstreamListener {
  onHead(head: UpstreamHead): void;
  onData(part: Buffer): void;
}

/** How a call ended. */
export const UpstreamEndKind = {
  /** The whole answer arrived. */
  complete: 'complete',
  /** No connection could be made: nothing was sent. */
  notConnected: 'not_connected',
  /** The connection broke, or what came was not an answer to this request. */
  broken: 'broken',
  /** Stopped by us. */
  cancelled: 'cancelled',
} as const;
export type UpstreamEndKind = (typeof UpstreamEndKind)[keyof typeof UpstreamEndKind];

/** End of a call. */
export interface UpstreamEnd {
  readonly kind: UpstreamEndKind;
  readonly detail: string;
}

/** Sends requests to replicas. */
export interface UpstreamTransport {
  /** Never rejects. Aborting `signal` closes the connection at once. */
  send(call: UpstreamCall, listener: UpstreamListener, signal: AbortSignal): Promise<UpstreamEnd>;
}

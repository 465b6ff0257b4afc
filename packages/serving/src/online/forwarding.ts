/** Interfaces for forwarding requests to replicas without interpreting their bodies. */
import type { Problem } from '@fighub/core';

/** Header names and values in the order in which they were received. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request of a caller, as it is forwarded. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path and query of the request. */
  readonly target: string;
  /** End-to-end headers, without the ones that the transport sets itself. */
  readonly headers: HeaderList;
  /** Organisation that holds the caller's key; undefined where callers need none. */
  readonly organisation?: string;
  readonly body: Buffer;
  /** When the request arrived, in monotonic time. */
  readonly arrivedAtMs: number;
  /** When its body was whole, in monotonic time. */
  readonly wholeAtMs: number;
  /** When the caller stops waiting, in monotonic time. */
  readonly deadlineMs: number;
  /** Maximum number of output tokens, as an estimate of what the request costs. */
  readonly costTokens: number;
  /** Tokens of the prompt and of the longest output together; undefined when not known. */
  readonly memoryTokens?: number;
  /** Digest of the start of the prompt, which replicas may have cached. */
  readonly prefixDigest: string;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedPartIds: readonly string[];
  /** Id of the last event that the caller has received, when the caller itself resumes a stream. */
  readonly resumeAfter?: number;
  /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
  readonly resumedRequestId?: string;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
}

/** Writes a response to the caller. Nothing may be written after `end`, `cut` or `refuse`. */
export interface ResponseSink {
  /** Writes status and headers, before any data. */
  head(head: ResponseHead): void;
  data(part: Buffer): void;
  /** Resolves when the caller has received most of the data; undefined while it keeps up. */
  whenDrained(): Promise<void> | undefined;
  /** Completes the response. */
  end(): void;
  /** Aborts the response so that the caller can tell that it is incomplete. */
  cut(): void;
  /** Responds with a problem; only before `head`. */
  refuse(problem: Problem): void;
}

/** One attempt to run a request at one replica. */
export interface UpstreamCall {
  readonly replicaId: string;
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** When the replica must stop, in monotonic time. Undefined for no limit. */
  readonly deadlineMs?: number;
  /** Id of the last event that was received, to resume a stream after it. */
  readonly resumeAfter?: number;
  /** Checked once the connection is established. If it returns false, nothing is sent. */
  readonly mayBegin: () => boolean;
}

/** What marks the end of the body of a response. The values appear in logs. */
export const BodyFraming = {
  length: 'length',
  chunks: 'chunks',
  /** The body has neither a length nor chunks and ends with its connection. */
  connection: 'connection',
} as const;
export type BodyFraming = (typeof BodyFraming)[keyof typeof BodyFraming];

/** Status and headers of a replica's response. */
export interface UpstreamHead extends ResponseHead {
  readonly framing: BodyFraming;
  /** Whether the replica itself reports that it did not run the request. */
  readonly notRun: boolean;
  /** The load that the replica reports with the response. */
  readonly load?: UpstreamLoad;
  /** Requests a second that the replica takes from all instances together; undefined if it states no limit. */
  readonly requestsPerSecond?: number;
}

/** Numbers of requests at a replica, as it reports them with a response. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Receives the load that a replica reports with a response. */
export type LoadListener = (load: UpstreamLoad) => void;

/** Receives a replica's response while it arrives. */
export interface UpstreamListener {
  /**
   * The replica that responds states that it is leaving. Called before `onHead`, and also for a response that cannot be
   * used. Another replica than the one that was called may have responded.
   */
  onLeaving(replicaId: string): void;
  onHead(head: UpstreamHead): void;
  onData(part: Buffer): void;
  /** Resolves when the receiver can take more data; undefined if it can now. The response is not read until then. */
  whenReady(): Promise<void> | undefined;
}

/** How a call to a replica ended. */
export const UpstreamEndKind = {
  /** The whole response arrived. */
  complete: 'complete',
  /** Nothing was sent, because no connection could be established or `mayBegin` returned false then. */
  notConnected: 'not_connected',
  /** The connection broke, or a stream ended inside an event. */
  broken: 'broken',
  /** Nothing was sent, because the request cannot be expressed in the protocol. It would be the same at any replica. */
  unsendable: 'unsendable',
  /** The response was not for this request, or does not end. */
  unusable: 'unusable',
  /** The call was aborted through its signal. */
  cancelled: 'cancelled',
} as const;
export type UpstreamEndKind = (typeof UpstreamEndKind)[keyof typeof UpstreamEndKind];

/** The end of a call to a replica. */
export interface UpstreamEnd {
  readonly kind: UpstreamEndKind;
  readonly detail: string;
  /** Whether no connection to the replica could be established; absent if one was, or if none was attempted. */
  readonly unreachable?: boolean;
  /** Whether the failure says nothing about the replica: this instance has lost its paths, or the relaying instance. */
  readonly pathsLost?: boolean;
  /** Instance that relayed the call; absent for a direct one. */
  readonly relayedBy?: string;
  /** An unexpected error of this instance, which says nothing about the replica; absent if there was none. */
  readonly thrown?: { readonly error: unknown };
}

/**
 * The end of a call that returned a stream. If the connection ended inside an event, the replica broke the stream off,
 * also where the framing of the response does not show it.
 */
export function endOfStream(end: UpstreamEnd, isInsideEvent: boolean): UpstreamEnd {
  if (end.kind !== UpstreamEndKind.complete || !isInsideEvent) return end;
  return { kind: UpstreamEndKind.broken, detail: 'the stream ended inside an event' };
}

/** HTTP 421: the process at this address is not the intended replica, so it did not run the request. */
export const MISDIRECTED_STATUS = 421;

/** Kinds of ends of calls of which nothing was sent. */
const NOT_SENT_KINDS: ReadonlySet<UpstreamEndKind> = new Set([
  UpstreamEndKind.notConnected,
  UpstreamEndKind.unsendable,
]);

/** Whether nothing of the request was sent, so that no replica can have run it. */
export function wasNotSent({ kind }: UpstreamEnd): boolean {
  return NOT_SENT_KINDS.has(kind);
}

/** The end of a call that was aborted because the response exceeds what a replica's response may hold. */
export const ENDLESS_RESPONSE: UpstreamEnd = {
  kind: UpstreamEndKind.unusable,
  detail: 'the response does not end',
};

/** The end of a call that was aborted because its response is none that goes on with the stream that has begun. */
export const FOREIGN_RESPONSE: UpstreamEnd = {
  kind: UpstreamEndKind.unusable,
  detail: 'the response does not go on with the stream',
};

/** Sends requests to replicas and passes their responses on while they arrive. */
export interface UpstreamTransport {
  /** Never rejects. Aborting `signal` closes the connection at once. */
  send(call: UpstreamCall, listener: UpstreamListener, signal: AbortSignal): Promise<UpstreamEnd>;
}

/** Sends requests to replicas from this instance, and checks whether it reaches them. */
export interface DirectTransport extends UpstreamTransport {
  /** Whether a connection to `address` can be established. It is closed at once; no request is sent. */
  probe(address: string): Promise<boolean>;
}

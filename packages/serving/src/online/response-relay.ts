/** Passes the responses of replicas on to the caller, from several attempts when a stream is resumed. */
import type { Clock, Problem, Route } from '@fighub/core';
import { BodyParts, RouteKind } from '@fighub/core';
import type { BufferBudget } from '@fighub/decisions';
import { EVENTS_OF_SOUND_PROMPT } from '@fighub/decisions';

import type { RawEvent } from './event-splitter.js';
import { EventSplitter, MAX_EVENT_BYTES, dataOf } from './event-splitter.js';
import { MISDIRECTED_STATUS } from './forwarding.js';
import { continuesStream, withoutLength } from './response-head.js';
import { StallTimer } from './stall-timer.js';
import type {
  BodyFraming,
  ResponseSink,
  LoadListener,
  UpstreamHead,
  UpstreamListener,
} from './forwarding.js';

/**
 * A resumable stream that exceeds these limits is resumed at another replica. A sound replica may be silent for a second or
 * so, and callers leave after two seconds without an event.
 */
const STALL_LIMITS = { silenceMs: 1_400, eventGapMs: 1_800 };
/** Longest response that is kept until it is complete, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1_048_576;
const FIRST_NON_SUCCESS_STATUS = 300;
/** Statuses that tell the caller that its request has not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/** Is told what one attempt shows about its replica. */
export interface AttemptObserver {
  readonly onLoad: LoadListener;
  /** Told with each response: requests a second that the replica takes, undefined if it states no limit. */
  onRequestLimit(requestsPerSecond: number | undefined): void;
  /** The replica that responds states that it is leaving. */
  onLeaving(replicaId: string): void;
  /**
   * Called before the first part of the response is passed on: the first event of a stream, or a complete response. Returns
   * false if another attempt has won, so that nothing of this one may be passed on.
   */
  mayPassOn(): boolean;
  /** Called before the first event of the attempt is passed on. */
  onFirstEvent(): void;
  /** Called when the attempt has brought enough events to show that its prompt does not crash the replica. */
  onSoundPrompt(): void;
}

/** The response to one caller, over all attempts at replicas. */
export class ResponseRelay {
  /** Id of the last event that was passed on; undefined before the first one with an id. */
  lastEventId: number | undefined;
  /** Head of the response that the caller receives; undefined before it is written. */
  private begunHead: UpstreamHead | undefined;
  private hasUnnumberedEvents = false;
  private done = false;

  constructor(
    readonly route: Route,
    readonly requestId: string,
    resumeAfter: number | undefined,
    private readonly sink: ResponseSink,
    readonly clock: Clock,
    readonly buffers: BufferBudget,
  ) {
    this.lastEventId = resumeAfter;
  }

  /** Creates the listener for one attempt. The attempt must stop when `stop` is aborted. */
  startAttempt(stop: AbortSignal, observer: AttemptObserver): AttemptListener {
    return new AttemptListener(this, stop, observer);
  }

  /** Whether a part of the response has been written to the caller. */
  get hasStarted(): boolean {
    return this.begunHead !== undefined;
  }

  /** Whether another response may go on where this one is. No replica can be told to skip events without an id. */
  get canBeContinued(): boolean {
    return !this.hasUnnumberedEvents;
  }

  /** Whether a response with this head may be joined to the one that the caller has begun to receive. */
  mayJoin(head: UpstreamHead): boolean {
    return this.begunHead !== undefined && continuesStream(head, this.begunHead);
  }

  /** Passes one event of a stream on. */
  event(head: UpstreamHead, event: RawEvent): void {
    this.lastEventId = event.eventId ?? this.lastEventId;
    this.hasUnnumberedEvents ||= event.eventId === undefined && dataOf(event) !== undefined;
    this.writePart(head, event.bytes);
  }

  /** Resolves when the caller has received most of the response so far; undefined while it keeps up. */
  whenDrained(): Promise<void> | undefined {
    return this.done ? undefined : this.sink.whenDrained();
  }

  /** Passes on the remaining bytes of a complete response and ends it. */
  end(head: UpstreamHead, rest: Buffer): void {
    this.writePart(head, rest);
    if (this.done) return;
    this.done = true;
    this.sink.end();
  }

  /** Responds with a problem, or aborts the response if a part of it has been written. */
  refuse(problem: Problem): void {
    if (this.hasStarted) {
      this.cut();
      return;
    }
    if (this.done) return;
    this.done = true;
    this.sink.refuse(problem);
  }

  /** Aborts the response unless it has ended. */
  cut(): void {
    if (this.done) return;
    this.done = true;
    this.sink.cut();
  }

  /** Writes nothing more, since the request has failed and is answered elsewhere. */
  abandon(): void {
    this.done = true;
  }

  private writePart(head: UpstreamHead, part: Buffer): void {
    if (this.done) return;
    if (!this.begunHead) {
      this.begunHead = head;
      const { kind, resumable } = this.route;
      // What another replica adds need not have the length that the first one stated.
      this.sink.head(kind === RouteKind.streaming && resumable ? withoutLength(head) : head);
    }
    if (part.length > 0) this.sink.data(part);
  }
}

/**
 * Receives the replica's response to one attempt. Streams are passed on event by event, other responses only when
 * they are complete.
 */
export class AttemptListener implements UpstreamListener {
  /** Events that were passed on. */
  events = 0;
  /** HTTP status of the response; 0 before its head arrives. */
  status = 0;
  /** Whether the response proves that the replica did not run the request. */
  reportedNotRun = false;
  /** Whether the attempt was stopped for another one, which says nothing about its replica. */
  wasAbandoned = false;
  private head: UpstreamHead | undefined;
  private readonly splitter = new EventSplitter();
  private readonly parts = new BodyParts();
  private keptBytes = 0;
  private exceeded = false;
  /** Aborted when the stream has stalled, or does not continue with the next event. */
  private readonly streamFault = new AbortController();
  private readonly stop: AbortSignal;
  private readonly startedMs: number;
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  /** Undefined where the route does not allow to resume. */
  private readonly stallTimer: StallTimer | undefined;
  /** Whether the next event is the first one of a resumed stream. */
  private isFirstOfResumed: boolean;
  /** Whether the response goes on with one that the caller has begun to receive. */
  private readonly isJoined: boolean;
  private cannotJoin = false;

  constructor(
    private readonly relay: ResponseRelay,
    stop: AbortSignal,
    private readonly observer: AttemptObserver,
  ) {
    this.stop = AbortSignal.any([stop, this.streamFault.signal]);
    this.startedMs = relay.clock.monotonicMs();
    this.isFirstOfResumed = relay.lastEventId !== undefined;
    this.isJoined = relay.hasStarted;
    const { kind, resumable } = relay.route;
    // Only streams consist of events.
    const limits =
      kind === RouteKind.streaming ? STALL_LIMITS : { ...STALL_LIMITS, eventGapMs: Number.POSITIVE_INFINITY };
    if (resumable) this.stallTimer = new StallTimer(limits, relay.clock, () => this.streamFault.abort());
  }

  /** Stops the attempt since another one has won or is about to. Nothing more is passed on. */
  abandon(): void {
    this.wasAbandoned = true;
    this.streamFault.abort();
  }

  /** Aborted when the attempt must stop: the caller disconnected, the deadline passed, or the stream is faulty. */
  get signal(): AbortSignal {
    return this.stop;
  }

  onLeaving(replicaId: string): void {
    this.observer.onLeaving(replicaId);
  }

  onHead(head: UpstreamHead): void {
    this.head = head;
    this.status = head.status;
    this.reportedNotRun = head.notRun || head.status === MISDIRECTED_STATUS;
    if (head.load) this.observer.onLoad(head.load);
    // Another replica than the intended one has responded.
    if (head.status !== MISDIRECTED_STATUS) this.observer.onRequestLimit(head.requestsPerSecond);
    this.stallTimer?.onBytes();
    if (!this.isJoined || !this.isStream || this.relay.mayJoin(head)) return;
    this.cannotJoin = true;
    this.streamFault.abort();
  }

  onData(part: Buffer): void {
    this.stallTimer?.onBytes();
    if (!this.isStream) this.keep(part);
    else this.splitter.push(part).forEach((event) => this.onEvent(event));
    if (this.splitter.unfinishedBytes > MAX_EVENT_BYTES) this.exceed();
  }

  /** A stream is not read while its caller does not keep up, which is no stall of the replica. */
  whenReady(): Promise<void> | undefined {
    if (!this.isStream) return undefined;
    const drained = this.relay.whenDrained();
    if (drained) this.stallTimer?.suspend(drained);
    return drained;
  }

  /** Whether the response was left because it does not end. */
  get isEndless(): boolean {
    return this.exceeded;
  }

  /** Whether the response was left because it is none that goes on with the stream. */
  get isForeign(): boolean {
    return this.cannotJoin;
  }

  /** What marks the end of the response; undefined before its head arrives. */
  get framing(): BodyFraming | undefined {
    return this.head?.framing;
  }

  /** Requests a second that the replica takes, as the response states. */
  get requestsPerSecond(): number | undefined {
    return this.head?.requestsPerSecond;
  }

  /** Bytes of a stream that arrived after its last whole event. */
  get unfinishedBytes(): number {
    return this.splitter.unfinishedBytes;
  }

  /** Whether a stream ends inside an event if no more data arrives. */
  get isInsideEvent(): boolean {
    return this.isStream && this.splitter.isInsideEvent;
  }

  /** Stops the timer and gives the memory back; to be called when the attempt has ended and been delivered. */
  close(): void {
    this.stallTimer?.stop();
    this.relay.buffers.release(this.keptBytes);
    this.keptBytes = 0;
    this.parts.clear();
  }

  /** Passes a complete response on to the caller. Returns false when it must not be passed on. */
  deliver(): boolean {
    const { head } = this;
    if (!head || this.streamFault.signal.aborted || this.isInsideEvent) return false;
    if (this.isStream) {
      // Nothing in a response without events shows that the stream was at its end.
      if (this.isJoined && this.events === 0) return false;
      if (this.events === 0 && !this.observer.mayPassOn()) return false;
      this.relay.end(head, this.splitter.rest);
      return true;
    }
    // Once events have been passed on, only the rest of the stream may follow. A refusal status is not passed on:
    // it would tell the caller that nothing ran, for which there is no evidence.
    if (this.relay.hasStarted || REFUSAL_STATUSES.has(head.status)) return false;
    if (!this.observer.mayPassOn()) return false;
    this.relay.end(head, this.parts.whole());
    return true;
  }

  /** Latencies of the stream, from which the owner of the pool derives the replica's concurrency limit. */
  timing(): { firstTokenMs?: number; betweenTokensMs?: number } {
    if (this.firstEventMs === undefined) return {};
    const betweenTokensMs =
      this.events > 1 ? (this.lastEventMs - this.firstEventMs) / (this.events - 1) : undefined;
    return { firstTokenMs: this.firstEventMs - this.startedMs, betweenTokensMs };
  }

  /** Keeps a part of a response until it is complete. */
  private keep(part: Buffer): void {
    if (this.exceeded) return;
    const fits = this.keptBytes + part.length <= MAX_BUFFERED_RESPONSE_BYTES;
    if (!fits || !this.relay.buffers.take(part.length)) {
      this.exceed();
      return;
    }
    this.keptBytes += part.length;
    this.parts.add(part);
  }

  private exceed(): void {
    this.exceeded = true;
    this.streamFault.abort();
  }

  private get isStream(): boolean {
    const ok = this.status >= 200 && this.status < FIRST_NON_SUCCESS_STATUS;
    return ok && this.relay.route.kind === RouteKind.streaming;
  }

  private onEvent(event: RawEvent): void {
    if (!this.head || this.streamFault.signal.aborted) return;
    // Comments may come before the first event.
    if (this.isJoined && this.isFirstOfResumed && isComment(event)) return;
    if (!this.isNextEvent(event)) {
      this.streamFault.abort();
      return;
    }
    if (this.events === 0 && !this.observer.mayPassOn()) {
      this.streamFault.abort();
      return;
    }
    this.isFirstOfResumed = false;
    this.stallTimer?.onEvent();
    this.lastEventMs = this.relay.clock.monotonicMs();
    this.firstEventMs ??= this.lastEventMs;
    this.events += 1;
    if (this.events === 1) this.observer.onFirstEvent();
    this.relay.event(this.head, event);
    if (this.events === EVENTS_OF_SOUND_PROMPT) this.observer.onSoundPrompt();
  }

  /**
   * Whether an event continues the response. A resumed stream must start with exactly the next id; after that, ids
   * only have to increase.
   */
  private isNextEvent(event: RawEvent): boolean {
    const { lastEventId } = this.relay;
    if (lastEventId === undefined) return true;
    if (event.eventId === undefined) return !(this.isJoined && this.isFirstOfResumed);
    return this.isFirstOfResumed ? event.eventId === lastEventId + 1 : event.eventId > lastEventId;
  }
}

function isComment(event: RawEvent): boolean {
  return event.eventId === undefined && dataOf(event) === undefined;
}

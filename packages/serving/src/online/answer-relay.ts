/** Passes a replica's answer on to the caller, over several sends when a stream is resumed. */
import type { Clock, Problem, Route } from '@fighub/core';
import { RouteKind } from '@fighub/core';

import type { RawEvent } from './event-splitter.js';
import { EventSplitter } from './event-splitter.js';
import type { AnswerSink, LoadListener, UpstreamHead, UpstreamListener } from './forwarding.js';

/** A resumable stream that brings nothing for this long is resumed elsewhere, in milliseconds. */
const SILENCE_LIMIT_MS = 900;
const MISDIRECTED = 421;
const FIRST_ERROR_STATUS = 300;
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/** State of the caller's answer. */
export class AnswerRelay {
  lastEventId: number | undefined;
  private headSent = false;
  private done = false;

  constructor(
    readonly route: Route,
    readonly requestId: string,
    resumeAfter: number | undefined,
    private readonly sink: AnswerSink,
    readonly clock: Clock,
  ) {
    this.lastEventId = resumeAfter;
  }

  /** Starts to listen to one send. */
  begin(stop: AbortSignal, onLoad: LoadListener): SendListener {
    return new SendListener(this, stop, onLoad);
  }

  /** Whether the caller has received a part of the answer. */
  get begun(): boolean {
    return this.headSent;
  }

  event(head: UpstreamHead, event: RawEvent): void {
    this.lastEventId = event.eventId ?? this.lastEventId;
    this.bytes(head, event.bytes);
  }

  /** Passes on the rest of a whole answer and ends it. */
  end(head: UpstreamHead, rest: Buffer): void {
    this.bytes(head, rest);
    if (this.done) return;
    this.done = true;
    this.sink.end();
  }

  refuse(problem: Problem): void {
    if (this.headSent) {
      this.cut();
      return;
    }
    if (this.done) return;
    this.done = true;
    this.sink.refuse(problem);
  }

  cut(): void {
    if (this.done) return;
    this.done = true;
    this.sink.cut();
  }

  private bytes(head: UpstreamHead, part: Buffer): void {
    if (this.done) return;
    if (!this.headSent) {
      this.headSent = true;
      this.sink.head(head);
    }
    if (part.length > 0) this.sink.data(part);
  }
}

/** Listens to one send. Streams are passed on by whole events, other answers when they are whole. */
export class SendListener implements UpstreamListener {
  events = 0;
  status = 0;
  saidNotRun = false;
  private head: UpstreamHead | undefined;
  private readonly splitter = new EventSplitter();
  private readonly parts: Buffer[] = [];
  private readonly silence = new AbortController();
  private readonly stop: AbortSignal;
  private readonly startedMs: number;
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  private timer: NodeJS.Timeout | undefined;
  private isFirstOfResumed: boolean;

  constructor(
    private readonly relay: AnswerRelay,
    stop: AbortSignal,
    private readonly onLoad: LoadListener,
  ) {
    this.stop = AbortSignal.any([stop, this.silence.signal]);
    this.startedMs = relay.clock.monotonicMs();
    this.isFirstOfResumed = relay.lastEventId !== undefined;
    this.armSilence();
  }

  /** Aborted when the send must stop: by the caller, by time, or because it went silent or astray. */
  get signal(): AbortSignal {
    return this.stop;
  }

  onHead(head: UpstreamHead): void {
    this.head = head;
    this.status = head.status;
    this.saidNotRun = head.notRun || head.status === MISDIRECTED;
    if (head.load) this.onLoad(head.load);
    this.armSilence();
  }

  onData(part: Buffer): void {
    this.armSilence();
    if (!this.isStream) this.parts.push(part);
    else this.splitter.push(part).forEach((event) => this.onEvent(event));
  }

  close(): void {
    clearTimeout(this.timer);
  }

  /** Hands a complete answer to the caller. False when it is not one that may be passed on. */
  deliver(): boolean {
    const { head } = this;
    if (!head || this.silence.signal.aborted) return false;
    if (this.isStream) {
      this.relay.end(head, this.splitter.rest);
      return true;
    }
    // After the first events only a stream may follow; a refusal without evidence would be a false promise.
    if (this.relay.begun || REFUSAL_STATUSES.has(head.status)) return false;
    this.relay.end(head, Buffer.concat(this.parts));
    return true;
  }

  /** Times of the stream, for the learned limits. */
  timing(): { firstTokenMs?: number; betweenTokensMs?: number } {
    if (this.firstEventMs === undefined) return {};
    const betweenTokensMs =
      this.events > 1 ? (this.lastEventMs - this.firstEventMs) / (this.events - 1) : undefined;
    return { firstTokenMs: this.firstEventMs - this.startedMs, betweenTokensMs };
  }

  private get isStream(): boolean {
    const ok = this.status >= 200 && this.status < FIRST_ERROR_STATUS;
    return ok && this.relay.route.kind === RouteKind.streaming;
  }

  private onEvent(event: RawEvent): void {
    if (!this.head || this.silence.signal.aborted) return;
    if (!this.follows(event)) {
      this.silence.abort();
      return;
    }
    this.isFirstOfResumed = false;
    this.lastEventMs = this.relay.clock.monotonicMs();
    this.firstEventMs ??= this.lastEventMs;
    this.events += 1;
    this.relay.event(this.head, event);
  }

  /** A resumed stream must go on with the very next event. */
  private follows(event: RawEvent): boolean {
    const { lastEventId } = this.relay;
    if (event.eventId === undefined || lastEventId === undefined) return true;
    return this.isFirstOfResumed ? event.eventId === lastEventId + 1 : event.eventId > lastEventId;
  }

  private armSilence(): void {
    if (!this.relay.route.resumable) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.silence.abort(), SILENCE_LIMIT_MS);
  }
}

/** Forwards one request: place, sends, resumption, and the evidence for what the caller is told. */
import type { PermitClient, Place, PlaceDemand } from '@fighub/admission';
import type { Clock, DecisionLog, Metrics, Problem, Route } from '@fighub/core';
import { LogWeight, mayHaveRun, notRun } from '@fighub/core';
import type { AttemptEnd } from '@fighub/decisions';
import { AttemptEnd as Ends, SendEvidence, mayRetry } from '@fighub/decisions';

import type { FleetView } from '../routing/fleet-view.js';
import type { SendListener } from './answer-relay.js';
import { AnswerRelay } from './answer-relay.js';
import { pickBackend } from './backend-choice.js';
import type { AnswerSink, ForwardedRequest, UpstreamEnd, UpstreamTransport } from './forwarding.js';
import { UpstreamEndKind } from './forwarding.js';

/** Waits for a place that are expected to be longer are refused at once: the target would be missed. */
const LONGEST_USEFUL_WAIT_FRACTION = 0.75;
/** A request that has not started by then is refused: callers leave soon after, in milliseconds. */
const QUEUE_LIMIT_MS = 1_500;
const NO_UPSTREAM_RETRY_MS = 1_000;

/** Parts that runs use. */
export interface ForwardParts {
  readonly view: FleetView;
  readonly permits: PermitClient;
  readonly transport: UpstreamTransport;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly random: () => number;
}

/** Forwards requests of callers. */
export class ForwardRunner {
  private open = 0;

  constructor(private readonly parts: ForwardParts) {}

  /** Requests that have no final answer yet. */
  get openRequests(): number {
    return this.open;
  }

  /** Answers `request` through `sink`. `signal` is aborted when the caller goes away. */
  async run(request: ForwardedRequest, route: Route, sink: AnswerSink, signal: AbortSignal): Promise<void> {
    this.open += 1;
    try {
      await new ForwardRun(request, route, sink, signal, this.parts).run();
    } finally {
      this.open -= 1;
    }
  }
}

/** State of one request. */
class ForwardRun {
  private readonly excluded: string[] = [];
  private readonly service: string;
  private readonly deadlineMs: number;
  private readonly expiry = new AbortController();
  private readonly relay: AnswerRelay;
  private sends = 0;
  private runs = 0;

  constructor(
    private readonly request: ForwardedRequest,
    private readonly route: Route,
    sink: AnswerSink,
    private readonly callerGone: AbortSignal,
    private readonly parts: ForwardParts,
  ) {
    this.service = pickBackend(route.backends, parts.random());
    this.deadlineMs = Math.min(request.deadlineMs, request.arrivedAtMs + route.timeoutMs);
    this.relay = new AnswerRelay(route, request.requestId, request.resumeAfter, sink, parts.clock);
  }

  async run(): Promise<void> {
    const leftMs = Math.max(0, this.deadlineMs - this.parts.clock.monotonicMs());
    const timer = setTimeout(() => this.expiry.abort(), leftMs);
    const stop = AbortSignal.any([this.callerGone, this.expiry.signal]);
    try {
      while (await this.step(stop));
    } finally {
      clearTimeout(timer);
    }
  }

  /** One place and one send. Returns whether another one is to be made. */
  private async step(stop: AbortSignal): Promise<boolean> {
    const place = await this.parts.permits.acquire(this.demand(), stop);
    if (stop.aborted) {
      if (place.ok) this.parts.permits.release(place.value, { end: Ends.cancelled, tokens: 0 });
      return this.stopped();
    }
    if (!place.ok) return this.finish(place.error, 'no_place');
    if (!this.parts.view.isUsable(place.value.replicaId)) {
      this.parts.permits.release(place.value, { end: Ends.cancelled, tokens: 0 });
      this.excluded.push(place.value.replicaId);
      this.sends += 1;
      return this.afterSend(SendEvidence.notRun, 'the replica is leaving');
    }
    return this.send(place.value, stop);
  }

  private demand(): PlaceDemand {
    const { request, route } = this;
    const { clock } = this.parts;
    const startByMs = request.arrivedAtMs + route.targetMs * LONGEST_USEFUL_WAIT_FRACTION;
    const giveUpMs = Math.min(this.deadlineMs, request.arrivedAtMs + QUEUE_LIMIT_MS);
    const offsetMs = clock.nowUnixMs() - clock.monotonicMs();
    return {
      requestId: `${request.requestId}/${String(this.sends)}`,
      organisation: route.name,
      model: this.service,
      workClass: 'online',
      costTokens: request.costTokens,
      startByUnixMs: this.runs > 0 ? undefined : startByMs + offsetMs,
      deadlineUnixMs: (this.runs > 0 ? this.deadlineMs : giveUpMs) + offsetMs,
      prefixDigest: request.prefixDigest,
      excludedReplicaIds: this.excluded,
      resumable: route.resumable,
      alone: false,
    };
  }

  private async send(place: Place, stop: AbortSignal): Promise<boolean> {
    const { request } = this;
    this.sends += 1;
    const sentAtMs = this.parts.clock.monotonicMs();
    const attempt = this.relay.begin(stop, (load) => this.parts.permits.noteLoad(place, load));
    const end = await this.parts.transport.send(
      {
        replicaId: place.replicaId,
        address: place.address,
        requestId: request.requestId,
        method: request.method,
        host: request.host,
        target: request.target,
        headers: request.headers,
        body: request.body,
        deadlineMs: this.deadlineMs,
        resumeAfter: this.relay.lastEventId,
      },
      attempt,
      attempt.signal,
    );
    attempt.close();
    const evidence =
      attempt.saidNotRun || end.kind === UpstreamEndKind.notConnected ? 'not_run' : 'may_have_run';
    if (evidence === SendEvidence.mayHaveRun) this.runs += 1;
    this.parts.permits.release(place, {
      end: endOf(end, attempt.saidNotRun, attempt.status),
      tokens: attempt.events,
      ...attempt.timing(),
    });
    this.logSend(place, end, attempt, evidence, sentAtMs);
    if (end.kind === UpstreamEndKind.complete && !attempt.saidNotRun) {
      if (attempt.deliver()) return this.delivered();
    }
    if (this.callerGone.aborted || this.expiry.signal.aborted) return this.stopped();
    this.excluded.push(place.replicaId);
    return this.afterSend(evidence, end.detail || `status ${String(attempt.status)}`);
  }

  private delivered(): false {
    const { clock, metrics } = this.parts;
    metrics.count('requests_completed');
    metrics.sample('answer_ms', clock.monotonicMs() - this.request.arrivedAtMs);
    return false;
  }

  private afterSend(last: SendEvidence, detail: string): boolean {
    const { kind, resumable, maxAttempts } = this.route;
    const history = { sends: this.sends, runs: this.runs, last };
    if (mayRetry({ kind, resumable, maxRuns: maxAttempts }, history)) {
      this.parts.metrics.count('requests_sent_again');
      return true;
    }
    return this.finish(notRun('upstream_failed', detail, NO_UPSTREAM_RETRY_MS), 'not_repeatable');
  }

  /** The caller went away, or its time is up. */
  private stopped(): false {
    if (this.callerGone.aborted) {
      this.parts.metrics.count('callers_gone');
      this.relay.cut();
      return false;
    }
    return this.finish(notRun('deadline_passed', 'the time limit of the request was reached'), 'deadline');
  }

  /** Tells the caller that there will be no answer; what may have run is never called "not run". */
  private finish(problem: Problem, reason: string): false {
    const told = this.runs > 0 ? mayHaveRun(problem.code, problem.detail) : problem;
    this.parts.metrics.count('requests_failed', 1, [told.code]);
    this.parts.log.record(LogWeight.failure, 'request_failed', {
      requestId: this.request.requestId,
      route: this.route.name,
      reason,
      code: told.code,
      run: told.run,
      detail: told.detail,
      sends: this.sends,
      runs: this.runs,
      heldMs: Math.round(this.parts.clock.monotonicMs() - this.request.arrivedAtMs),
      retryAfterMs: told.retryAfterMs,
    });
    this.relay.refuse(told);
    return false;
  }

  private logSend(
    place: Place,
    end: UpstreamEnd,
    attempt: SendListener,
    evidence: SendEvidence,
    sentAtMs: number,
  ): void {
    const { status } = attempt;
    const { firstTokenMs } = attempt.timing();
    const failed = end.kind !== UpstreamEndKind.complete || status >= 300;
    this.parts.log.record(failed ? LogWeight.failure : LogWeight.routine, failed ? 'send_failed' : 'sent', {
      requestId: this.request.requestId,
      replicaId: place.replicaId,
      permitId: place.permitId,
      end: end.kind,
      detail: end.detail,
      status,
      evidence,
      heldMs: Math.round(sentAtMs - this.request.arrivedAtMs),
      firstEventMs: firstTokenMs === undefined ? undefined : Math.round(firstTokenMs),
      events: attempt.events,
      ranMs: Math.round(this.parts.clock.monotonicMs() - sentAtMs),
      directoryRevision: this.parts.view.replicas.revision,
      configurationVersion: this.parts.view.configurationVersion,
    });
  }
}

function endOf(end: UpstreamEnd, saidNotRun: boolean, status: number): AttemptEnd {
  if (end.kind === UpstreamEndKind.notConnected) return Ends.refused;
  if (end.kind === UpstreamEndKind.cancelled) return Ends.cancelled;
  if (end.kind === UpstreamEndKind.broken) return Ends.broken;
  if (saidNotRun) return status === MISDIRECTED ? Ends.refused : Ends.cancelled;
  return status >= SERVER_ERROR ? Ends.cancelled : Ends.completed;
}

const MISDIRECTED = 421;
const SERVER_ERROR = 500;

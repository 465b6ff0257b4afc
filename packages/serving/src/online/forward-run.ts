/**
 * Forwards one request: acquires slots, sends to replicas, resumes its stream, and keeps track of whether a replica may
 * have run it, since that decides what the caller is told.
 */
import type { PermitClient, Slot, SlotDemand } from '@fighub/admission';
import { DIRECT_POOL_ID } from '@fighub/admission';
import type { Clock, DecisionLog, Metrics, Problem, Route } from '@fighub/core';
import { LogCategory, RouteKind, WaitLimit, isFinal, mayHaveRun, notRun, sleep, timerMs } from '@fighub/core';
import type { BufferBudget, StreamOrigin } from '@fighub/decisions';
import {
  AttemptEnd,
  PROMPT_BLOCKED,
  SendEvidence,
  canContinue,
  mayRetry,
  returnDelayMs,
} from '@fighub/decisions';

import type { OrganisationUsage } from '../access/organisation-usage.js';
import { RequestOutcome } from '../access/organisation-usage.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { LeavingAnnouncements } from '../routing/leaving-announcements.js';
import { attemptEndOf } from './attempt-end.js';
import { AttemptRace } from './attempt-race.js';
import type { AttemptListener } from './response-relay.js';
import { ResponseRelay } from './response-relay.js';
import { pickBackend } from './backend-choice.js';
import type { CopyDelays } from './copy-delays.js';
import type { ResponseSink, ForwardedRequest, UpstreamEnd, UpstreamTransport } from './forwarding.js';
import {
  ENDLESS_RESPONSE,
  FOREIGN_RESPONSE,
  UpstreamEndKind,
  endOfStream,
  wasNotSent,
} from './forwarding.js';
import { requestDigest } from './request-digest.js';
import type { StreamOriginExchange } from './stream-origin-exchange.js';

/**
 * A request whose expected wait for a slot exceeds this fraction of its route's target is refused at once, since it
 * would miss the target.
 */
const MAX_WAIT_FRACTION_OF_TARGET = 0.75;
/** A request that has not started within this time is refused, since callers disconnect soon after. */
const QUEUE_TIMEOUT_MS = 1_500;
/** A copy of a request that has not responded is ended after this time. */
const MAX_COPY_OVERLAP_MS = 300;
/** The origin of a stream is kept for this long after its caller's deadline, since clocks and messages vary. */
const ORIGIN_MARGIN_MS = 2_000;

/** A stream of unknown origin is refused if the directory was not read by then, so that its caller can try another instance. */
const DIRECTORY_READ_TIMEOUT_MS = 250;

/** Components that the forwarding of requests uses. */
export interface ForwardDependencies {
  readonly view: FleetView;
  readonly permits: PermitClient;
  readonly transport: UpstreamTransport;
  readonly origins: StreamOriginExchange;
  readonly leavingAnnouncements: LeavingAnnouncements;
  /** Reads the directory from the store; resolves after the reading, whether or not it has succeeded, or after the time limit. */
  readonly readDirectoryNow: (timeoutMs: number) => Promise<void>;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly random: () => number;
  readonly organisationUsage: OrganisationUsage;
  /** Memory for responses that are incomplete. */
  readonly responseBuffers: BufferBudget;
  /** When copies are sent of requests that are slow to respond; undefined if none are. */
  readonly copyDelays?: CopyDelays;
}

/** How one attempt ended. */
interface AttemptResult {
  readonly replicaId: string;
  /** Whether the response was passed on to the caller as a whole. */
  readonly delivered: boolean;
  readonly evidence: SendEvidence;
  /** Whether the request cannot be expressed in the protocol, so that no other replica can get it either. */
  readonly isUnsendable: boolean;
  readonly detail: string;
}

/** What was sent to a replica, for the log. */
interface SentRequest {
  readonly sentAtMs: number;
  readonly resumeAfter?: number;
  /** Origin of the replica's streams as the directory told when the request was sent. */
  readonly expectedOrigin?: StreamOrigin;
  /** Whether another attempt of the request ran when this one was sent. */
  readonly isCopy: boolean;
}

/** The state of one forwarded request. */
export class ForwardRun {
  private readonly excluded: string[] = [];
  private service: string;
  /** Where the stream began, at this instance or at another one; undefined before its first event. */
  private origin: StreamOrigin | undefined;
  /** Whether the stream has begun at a replica whose version is not certain. */
  private hasUnknownOrigin = false;
  private readonly deadlineMs: number;
  private readonly deadlinePassed = new AbortController();
  private readonly relay: ResponseRelay;
  private readonly requestDigest: string;
  /** Attempts so far, including those for which nothing was sent because the replica was leaving. */
  private sends = 0;
  /** Attempts that a replica may have run. */
  private runs = 0;

  constructor(
    private readonly request: ForwardedRequest,
    private readonly route: Route,
    sink: ResponseSink,
    private readonly callerDisconnected: AbortSignal,
    /** Aborted when this instance can forward no longer, since it is about to be killed. */
    private readonly instanceEnds: AbortSignal,
    private readonly dependencies: ForwardDependencies,
  ) {
    this.requestDigest = requestDigest(request);
    this.service = pickBackend(route.backends, dependencies.random());
    this.deadlineMs = Math.min(request.deadlineMs, request.arrivedAtMs + route.timeoutMs);
    this.relay = new ResponseRelay(
      route,
      request.requestId,
      request.resumeAfter,
      sink,
      dependencies.clock,
      dependencies.responseBuffers,
    );
  }

  async run(): Promise<void> {
    const leftMs = Math.max(0, this.deadlineMs - this.dependencies.clock.monotonicMs());
    const timer = setTimeout(() => this.deadlinePassed.abort(), timerMs(leftMs));
    const stop = AbortSignal.any([this.callerDisconnected, this.deadlinePassed.signal, this.instanceEnds]);
    try {
      if (!(await this.findOrigin())) return;
      while (await this.runAttempt(stop));
    } catch (error) {
      // A copy that still runs must not write to the caller either.
      this.relay.abandon();
      this.deadlinePassed.abort();
      throw error;
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * For a stream that its caller resumes, finds where it began, which decides where it may go on. Returns false when the
   * request was refused because that is unknown, or because nothing is left there.
   */
  private async findOrigin(): Promise<boolean> {
    const { resumeAfter, resumedRequestId } = this.request;
    if (this.route.kind !== RouteKind.streaming || resumeAfter === undefined) return true;
    const { origins, view } = this.dependencies;
    const { requestDigest } = this;
    const known = await origins.find({ requestId: resumedRequestId, requestDigest });
    const origin = known ?? (await this.findSoleOrigin());
    if (!origin) return this.refuseToResume('it is not known where the stream began', 'origin_unknown');
    const isRouted = this.route.backends.some(
      ({ service, weight }) => service === origin.service && weight > 0,
    );
    if (!isRouted || !view.serves(origin))
      return this.refuseToResume('no replica can continue the stream', 'origin_gone');
    this.service = origin.service;
    this.origin = origin;
    return true;
  }

  /** Where the stream began if all streams began there, as a reading of the directory after its arrival shows. */
  private async findSoleOrigin(): Promise<StreamOrigin | undefined> {
    const { originHistory } = this.dependencies.view;
    const askedAtMs = this.dependencies.clock.monotonicMs();
    if (!originHistory.likelySoleOrigin(this.route, askedAtMs)) return undefined;
    await this.dependencies.readDirectoryNow(DIRECTORY_READ_TIMEOUT_MS);
    return originHistory.soleOrigin(this.route, askedAtMs);
  }

  private refuseToResume(detail: string, reason: string): false {
    return this.finishWithProblem(notRun('no_upstream', detail), reason);
  }

  /** Acquires a slot and makes one attempt. Returns whether another attempt is to be made. */
  private async runAttempt(stop: AbortSignal): Promise<boolean> {
    if (stop.aborted) return this.finishStopped();
    if (this.isPromptBlocked()) return this.finishWithProblem(PROMPT_BLOCKED, 'prompt_blocked');
    const slot = await this.dependencies.permits.acquire(this.demand(), stop);
    if (stop.aborted) {
      if (slot.ok) this.dependencies.permits.release(slot.value, { end: AttemptEnd.cancelled, tokens: 0 });
      return this.finishStopped();
    }
    if (!slot.ok) return this.finishWithProblem(slot.error, 'no_place');
    if (!this.isUsable(slot.value.replicaId)) {
      this.dependencies.leavingAnnouncements.onUnusableSlot(slot.value.replicaId);
      this.dependencies.permits.release(slot.value, { end: AttemptEnd.cancelled, tokens: 0 });
      this.excluded.push(slot.value.replicaId);
      this.sends += 1;
      return this.afterAttempt(SendEvidence.notRun, 'the granted replica is leaving');
    }
    return this.sendToReplica(slot.value, stop);
  }

  /** Whether this instance knows the replica as one that takes requests and may continue the stream, if it has begun. */
  private isUsable(replicaId: string): boolean {
    const { view } = this.dependencies;
    const at = view.originOf(replicaId);
    return at !== undefined && view.isUsable(replicaId) && (!this.origin || canContinue(this.origin, at));
  }

  private isPromptBlocked(): boolean {
    const { view, clock } = this.dependencies;
    return view.blockedPrompts.refuses(
      { sharedPartIds: this.request.sharedPartIds, requestDigest: this.requestDigest },
      clock.monotonicMs(),
    );
  }

  private demand(): SlotDemand {
    const { request, route } = this;
    const { clock } = this.dependencies;
    // What the caller itself took to send the body is no wait.
    const startByMs = request.wholeAtMs + route.targetMs * MAX_WAIT_FRACTION_OF_TARGET;
    const queueDeadlineMs = Math.min(this.deadlineMs, request.wholeAtMs + QUEUE_TIMEOUT_MS);
    const offsetMs = clock.nowUnixMs() - clock.monotonicMs();
    return {
      requestId: `${request.requestId}/${String(this.sends)}`,
      organisation: request.organisation ?? route.name,
      model: this.service,
      workClass: 'online',
      costTokens: request.costTokens,
      memoryTokens: request.memoryTokens,
      startByUnixMs: this.runs > 0 ? undefined : startByMs + offsetMs,
      deadlineUnixMs: (this.runs > 0 ? this.deadlineMs : queueDeadlineMs) + offsetMs,
      prefixDigest: request.prefixDigest,
      sharedPartIds: request.sharedPartIds,
      requestDigest: this.requestDigest,
      excludedReplicaIds: this.excluded,
      softwareVersion: this.origin?.softwareVersion,
      resumable: route.resumable,
      alone: false,
    };
  }

  /** Makes an attempt, and a second one elsewhere if the first is slow to respond. Returns whether another is to be made. */
  private async sendToReplica(slot: Slot, stop: AbortSignal): Promise<boolean> {
    const race = new AttemptRace();
    const mayCopy = this.mayCopy(slot);
    const attempts = [this.attempt(slot, race, stop), mayCopy ? this.sendCopy(slot, race, stop) : undefined];
    const results = (await Promise.all(attempts)).filter((result) => result !== undefined);
    if (results.some(({ delivered }) => delivered)) return this.recordCompletion();
    if (stop.aborted) return this.finishStopped();
    this.excluded.push(...results.map(({ replicaId }) => replicaId));
    const hasRun = results.some(({ evidence }) => evidence === SendEvidence.mayHaveRun);
    const detail = results.map((result) => result.detail).join('; ');
    if (results.some(({ isUnsendable }) => isUnsendable))
      return this.finishWithProblem(notRun('bad_request', detail), 'unsendable');
    return this.afterAttempt(hasRun ? SendEvidence.mayHaveRun : SendEvidence.notRun, detail);
  }

  /** Whether a copy may be sent while this attempt runs: only of a request that may run twice, and only for its first one. */
  private mayCopy({ poolId }: Slot): boolean {
    const { kind, resumable, maxAttempts } = this.route;
    const isRepeatable = kind === RouteKind.safe || (kind === RouteKind.streaming && resumable);
    const isFirst = this.sends === 0 && this.request.resumeAfter === undefined && !this.origin;
    const isGrantedByOwner = poolId !== DIRECT_POOL_ID;
    const isWanted = this.dependencies.copyDelays !== undefined;
    return isWanted && isRepeatable && maxAttempts > 1 && isFirst && isGrantedByOwner;
  }

  /** Sends a copy of the request to another replica if the first one does not respond in time and a slot is to spare. */
  private async sendCopy(
    first: Slot,
    race: AttemptRace,
    stop: AbortSignal,
  ): Promise<AttemptResult | undefined> {
    const { clock, metrics, permits } = this.dependencies;
    const delayMs = this.dependencies.copyDelays?.of(this.service).delayMs(clock.monotonicMs());
    if (delayMs === undefined) return undefined;
    const unneeded = AbortSignal.any([race.decided, stop]);
    await sleep(delayMs, unneeded);
    if (unneeded.aborted) return undefined;
    const demand = this.demand();
    const slot = await permits.acquire(
      {
        ...demand,
        requestId: `${demand.requestId}/copy`,
        excludedReplicaIds: [...this.excluded, first.replicaId],
        isCopy: true,
      },
      unneeded,
    );
    if (!slot.ok) {
      metrics.count('copies_refused', 1, [slot.error.code]);
      return undefined;
    }
    if (unneeded.aborted || !this.isUsable(slot.value.replicaId)) {
      permits.release(slot.value, { end: AttemptEnd.cancelled, tokens: 0 });
      return undefined;
    }
    metrics.count('copies_sent');
    return this.attempt(slot.value, race, stop, true);
  }

  private async attempt(
    slot: Slot,
    race: AttemptRace,
    stop: AbortSignal,
    isCopy = false,
  ): Promise<AttemptResult> {
    const { request } = this;
    this.sends += 1;
    const sentAtMs = this.dependencies.clock.monotonicMs();
    const resumeAfter = this.relay.lastEventId;
    const expectedOrigin = this.dependencies.view.originOf(slot.replicaId);
    const attempt: AttemptListener = this.relay.startAttempt(stop, {
      onLoad: (load) => this.dependencies.permits.recordLoad(slot, load),
      onRequestLimit: (requestsPerSecond) =>
        this.dependencies.permits.recordRequestLimit(slot, requestsPerSecond, sentAtMs),
      onLeaving: (replicaId) => this.dependencies.leavingAnnouncements.onResponse(replicaId),
      mayPassOn: () => race.tryWin(attempt),
      onFirstEvent: () => this.onFirstEvent(slot.replicaId, expectedOrigin),
      onSoundPrompt: () => {
        if (slot.reportsProgress) this.dependencies.permits.reportProgress(slot);
      },
    });
    race.add(attempt);
    const overlap = isCopy ? this.endCopyIfSlow(attempt, race) : undefined;
    const sent = await this.dependencies.transport.send(
      {
        replicaId: slot.replicaId,
        address: slot.address,
        requestId: request.requestId,
        method: request.method,
        host: request.host,
        target: request.target,
        headers: request.headers,
        body: request.body,
        deadlineMs: this.deadlineMs,
        resumeAfter,
        mayBegin: () => this.isUsable(slot.replicaId) && !this.isPromptBlocked(),
      },
      attempt,
      attempt.signal,
    );
    overlap?.clear();
    race.onEnded();
    if (sent.thrown) {
      this.endUnexpectedly(slot, attempt);
      throw sent.thrown.error;
    }
    const end = endOfAttempt(sent, attempt);
    const evidence = attempt.reportedNotRun || wasNotSent(end) ? 'not_run' : 'may_have_run';
    if (evidence === SendEvidence.mayHaveRun) this.runs += 1;
    // A request that was blocked while it connected says nothing about the replica.
    const wasBlocked = end.kind === UpstreamEndKind.notConnected && this.isPromptBlocked();
    this.dependencies.permits.release(slot, {
      end: wasBlocked ? AttemptEnd.cancelled : attemptEndOf(end, attempt.reportedNotRun, attempt.status),
      tokens: attempt.events,
      ...attempt.timing(),
    });
    this.observeFirstEvent(attempt, isCopy);
    this.logAttempt(slot, end, attempt, evidence, { sentAtMs, resumeAfter, expectedOrigin, isCopy });
    const delivered = this.deliver(end, attempt);
    const detail = end.detail || `status ${String(attempt.status)}`;
    const isUnsendable = end.kind === UpstreamEndKind.unsendable;
    return { replicaId: slot.replicaId, delivered, evidence, isUnsendable, detail };
  }

  /** Passes a complete response on, as far as that has not happened yet. Returns whether the caller has the whole response. */
  private deliver(end: UpstreamEnd, attempt: AttemptListener): boolean {
    try {
      return end.kind === UpstreamEndKind.complete && !attempt.reportedNotRun && attempt.deliver();
    } finally {
      attempt.close();
    }
  }

  /** Gives back what an attempt holds that an unexpected error has ended. */
  private endUnexpectedly(slot: Slot, attempt: AttemptListener): void {
    this.runs += 1;
    this.dependencies.permits.release(slot, { end: AttemptEnd.cancelled, tokens: attempt.events });
    attempt.close();
  }

  /** Ends a copy that has not won soon, since a request may run at two replicas for a short time only. */
  private endCopyIfSlow(copy: AttemptListener, race: AttemptRace): WaitLimit {
    return new WaitLimit(MAX_COPY_OVERLAP_MS, () => {
      if (!race.isOpen) return;
      this.dependencies.metrics.count('copies_ended_late');
      copy.abandon();
    });
  }

  private observeFirstEvent(attempt: AttemptListener, isCopy: boolean): void {
    const { firstTokenMs } = attempt.timing();
    if (firstTokenMs === undefined) return;
    if (isCopy) this.dependencies.metrics.count('copies_won');
    const { copyDelays, clock } = this.dependencies;
    copyDelays?.of(this.service).observe(firstTokenMs, clock.monotonicMs());
  }

  /**
   * Records where the stream begins. If the directory has changed the version of the replica since the request was
   * sent, it is not known which one responds, so that nothing may continue the stream.
   */
  private onFirstEvent(replicaId: string, expectedOrigin: StreamOrigin | undefined): void {
    if (this.origin || this.hasUnknownOrigin) return;
    if (!expectedOrigin || !this.dependencies.view.confirmsOrigin(replicaId, expectedOrigin)) {
      this.hasUnknownOrigin = true;
      return;
    }
    this.origin = expectedOrigin;
    if (!this.route.resumable) return;
    const leftMs = Math.max(0, this.request.deadlineMs - this.dependencies.clock.monotonicMs());
    this.dependencies.origins.record({
      requestId: this.request.requestId,
      requestDigest: this.requestDigest,
      origin: this.origin,
      keepForMs: leftMs + ORIGIN_MARGIN_MS,
    });
  }

  private recordCompletion(): false {
    const { clock, metrics } = this.dependencies;
    this.countOutcome(RequestOutcome.completed);
    metrics.count('requests_completed');
    metrics.sample('answer_ms', clock.monotonicMs() - this.request.arrivedAtMs);
    return false;
  }

  private countOutcome(outcome: RequestOutcome): void {
    const { organisation } = this.request;
    if (organisation !== undefined) this.dependencies.organisationUsage.count(organisation, outcome);
  }

  private afterAttempt(last: SendEvidence, detail: string): boolean {
    const { kind, resumable, maxAttempts } = this.route;
    const history = { sends: this.sends, runs: this.runs, last };
    const canGoOn = !this.hasUnknownOrigin && this.relay.canBeContinued;
    if (canGoOn && mayRetry({ kind, resumable, maxRuns: maxAttempts }, history)) {
      this.dependencies.metrics.count('requests_sent_again');
      return true;
    }
    return this.finishWithProblem(notRun('upstream_failed', detail), 'not_repeatable');
  }

  /** Ends a request whose caller disconnected, whose deadline passed, or whose instance ends. */
  private finishStopped(): false {
    if (this.callerDisconnected.aborted) {
      this.dependencies.metrics.count('callers_gone');
      this.relay.cut();
      return false;
    }
    if (!this.deadlinePassed.signal.aborted)
      return this.finishWithProblem(notRun('draining', 'the instance stops'), 'stopping');
    return this.finishWithProblem(
      notRun('deadline_passed', 'the time limit of the request was reached'),
      'deadline',
    );
  }

  /**
   * Ends the request with a problem. A request that a replica may have run is never reported to the caller as not
   * run.
   */
  private finishWithProblem(problem: Problem, reason: string): false {
    const reported =
      this.runs > 0
        ? mayHaveRun(problem.code, problem.detail)
        : { ...problem, retryAfterMs: isFinal(problem.code) ? undefined : this.returnDelayMs(problem) };
    this.dependencies.metrics.count('requests_failed', 1, [reported.code]);
    this.countOutcome(reported.code === 'limit_reached' ? RequestOutcome.overQuota : RequestOutcome.failed);
    this.dependencies.log.record(LogCategory.failure, 'request_failed', {
      requestId: this.request.requestId,
      route: this.route.name,
      organisation: this.request.organisation,
      reason,
      code: reported.code,
      run: reported.run,
      detail: reported.detail,
      sends: this.sends,
      runs: this.runs,
      heldMs: Math.round(this.dependencies.clock.monotonicMs() - this.request.arrivedAtMs),
      retryAfterMs: reported.retryAfterMs,
    });
    this.relay.refuse(reported);
    return false;
  }

  /** Delay after which the caller should return, in milliseconds. */
  private returnDelayMs(problem: Problem): number {
    const leftMs = this.request.deadlineMs - this.dependencies.clock.monotonicMs();
    return returnDelayMs(problem.retryAfterMs ?? 0, Math.max(0, leftMs));
  }

  private logAttempt(
    slot: Slot,
    end: UpstreamEnd,
    attempt: AttemptListener,
    evidence: SendEvidence,
    sent: SentRequest,
  ): void {
    const { status } = attempt;
    const { firstTokenMs } = attempt.timing();
    const failed = !attempt.wasAbandoned && (end.kind !== UpstreamEndKind.complete || status >= 300);
    if (end.kind === UpstreamEndKind.notConnected) this.dependencies.metrics.count('attempts_not_connected');
    if (end.kind === UpstreamEndKind.broken && attempt.events === 0)
      this.dependencies.metrics.count('attempts_broken_before_first_event');
    this.dependencies.log.record(
      failed ? LogCategory.failure : LogCategory.routine,
      failed ? 'send_failed' : 'sent',
      {
        requestId: this.request.requestId,
        organisation: this.request.organisation,
        replicaId: slot.replicaId,
        softwareVersion: sent.expectedOrigin?.softwareVersion,
        permitId: slot.permitId,
        resumeAfter: sent.resumeAfter,
        resumedRequestId: this.request.resumedRequestId,
        end: end.kind,
        detail: end.detail,
        relayedBy: end.relayedBy,
        isCopy: sent.isCopy ? true : undefined,
        wasAbandoned: attempt.wasAbandoned ? true : undefined,
        status,
        evidence,
        heldMs: Math.round(sent.sentAtMs - this.request.arrivedAtMs),
        firstEventMs: firstTokenMs === undefined ? undefined : Math.round(firstTokenMs),
        events: attempt.events,
        framing: attempt.framing,
        unfinishedBytes: attempt.unfinishedBytes,
        sharedPartIds: this.request.sharedPartIds,
        requestDigest: this.requestDigest,
        requestsPerSecond: attempt.requestsPerSecond,
        ranMs: Math.round(this.dependencies.clock.monotonicMs() - sent.sentAtMs),
        directoryRevision: this.dependencies.view.replicas.revision,
        configurationVersion: this.dependencies.view.configurationVersion,
      },
    );
  }
}

function endOfAttempt(sent: UpstreamEnd, attempt: AttemptListener): UpstreamEnd {
  if (attempt.isEndless) return ENDLESS_RESPONSE;
  return attempt.isForeign ? FOREIGN_RESPONSE : endOfStream(sent, attempt.isInsideEvent);
}

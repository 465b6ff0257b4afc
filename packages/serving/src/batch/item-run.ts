/** Runs one item of a batch job once: acquires a slot and sends one request to its replica. */
import type { PermitClient, Slot, SlotDemand } from '@fighub/admission';
import type { Clock, DecisionLog, Metrics, Outcome, Problem, Route, StoredItem } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { HeldJob, StreamOrigin } from '@fighub/decisions';
import {
  AttemptEnd,
  EVENTS_OF_SOUND_PROMPT,
  ItemRouting,
  canContinue,
  continuationWaitMs,
  itemRouting,
} from '@fighub/decisions';

import { pickBackend } from '../online/backend-choice.js';
import { EventSplitter, MAX_EVENT_BYTES, dataOf } from '../online/event-splitter.js';
import type { RawEvent } from '../online/event-splitter.js';
import { StallTimer } from '../online/stall-timer.js';
import type {
  BodyFraming,
  ResponseHead,
  UpstreamEnd,
  UpstreamHead,
  UpstreamListener,
  UpstreamTransport,
} from '../online/forwarding.js';
import {
  ENDLESS_RESPONSE,
  FOREIGN_RESPONSE,
  MISDIRECTED_STATUS,
  UpstreamEndKind,
  endOfStream,
} from '../online/forwarding.js';
import { requestFault } from '../online/request-check.js';
import { EVENT_STREAM_HEAD, continuesStream } from '../online/response-head.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { LeavingAnnouncements } from '../routing/leaving-announcements.js';

/** How a run of an item ended. The values appear in logs and metric names. */
export const ItemRunOutcome = {
  /** The replica returned the whole output. */
  done: 'done',
  /** The replica rejected the item as one that can never succeed (status 422). */
  impossible: 'impossible',
  /** The replica ran the item and reported a failure (status 500). */
  failed: 'failed',
  /** The route of the item was removed after its job was accepted. */
  noRoute: 'no_route',
  /** Nothing was sent, since the configuration in force may be older than the one under which the job was accepted. */
  configurationBehind: 'configuration_behind',
  /** The output is larger than a stored value may be. */
  tooLarge: 'too_large',
  /** Nothing was sent, since the protocol cannot express the item. Its job was accepted by an earlier release. */
  unsendable: 'unsendable',
  /** Nothing was sent, since requests with a part of the item's prompt have crashed replicas. */
  blocked: 'blocked',
  /** The run was stopped, refused or cut short. A later run resumes after the last received event. */
  interrupted: 'interrupted',
} as const;
export type ItemRunOutcome = (typeof ItemRunOutcome)[keyof typeof ItemRunOutcome];

/** Output of an item so far, kept across interrupted runs. */
export interface ItemOutput {
  readonly events: string[];
  /** Size of the events in a stored record, in bytes. */
  bytes: number;
  lastEventId?: number;
  /** Where the events come from; undefined before the first one. */
  origin?: StreamOrigin;
  /** Head of the response that began the output; undefined before the first event, or if another instance has received it. */
  begunHead?: ResponseHead;
  /** Time that runs of the item have taken, including those whose events were discarded, in milliseconds. */
  spentMs: number;
}

/** One run of an item. */
export interface ItemRunRequest {
  readonly jobId: string;
  readonly heldJob: HeldJob;
  readonly host: string;
  /** Organisation of the job; undefined if it has none. */
  readonly organisation?: string;
  readonly item: StoredItem;
  readonly output: ItemOutput;
  readonly dueAtUnixMs: number;
  /** Replicas to avoid, because they interrupted the last runs of this item. */
  readonly excludedReplicaIds: readonly string[];
  /** Called after each event that is added to the output. */
  readonly onEvent: () => void;
  /** Checked after a slot has been acquired, right before the request is sent. */
  readonly mayDispatch: () => boolean;
}

/** Result of a run. */
export interface ItemRunResult {
  readonly end: ItemRunOutcome;
  /** The replica that interrupted the run, unless this instance stopped it or its permit was revoked. */
  readonly brokenReplicaId?: string;
  /** Whether the run was preempted: the pool's owner revoked its permit. */
  readonly givenWay: boolean;
}

/** Components that the runs of items use. */
export interface ItemRunDependencies {
  readonly view: FleetView;
  readonly permits: PermitClient;
  readonly transport: UpstreamTransport;
  readonly leavingAnnouncements: LeavingAnnouncements;
  /** Asks for the newest configuration, which is then in the view. */
  readonly confirmConfiguration: () => void;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly random: () => number;
}

/** Maximum bytes of one output, as JSON; with its envelope it must fit into one stored value of 1 MB. */
export const MAX_OUTPUT_BYTES = 900_000;
/** A run is interrupted when its stream exceeds these limits. */
const STALL_LIMITS = { silenceMs: 2_000, eventGapMs: 4_000 };
const HTTP_OK = 200;
const HTTP_UNPROCESSABLE_CONTENT = 422;
const HTTP_INTERNAL_SERVER_ERROR = 500;
const INTERRUPTED: ItemRunResult = { end: ItemRunOutcome.interrupted, givenWay: false };

/** Runs the item once. Failures are returned; only unexpected errors are thrown. Aborting `stop` interrupts the run. */
export async function runItem(
  request: ItemRunRequest,
  dependencies: ItemRunDependencies,
  stop: AbortSignal,
): Promise<ItemRunResult> {
  const { view } = dependencies;
  if (!view.routes) return INTERRUPTED;
  const route = view.routes.match(request.host, request.item.target);
  const configuration = {
    version: view.configurationVersion,
    confirmedAtMs: view.configurationConfirmedAtMs,
  };
  const routing = itemRouting(route !== undefined, configuration, request.heldJob);
  if (routing === ItemRouting.wait) return { end: ItemRunOutcome.configurationBehind, givenWay: false };
  if (!route) return { end: ItemRunOutcome.noRoute, givenWay: false };
  const { host, item } = request;
  if (requestFault({ ...item, requestId: item.itemId, host }) !== undefined)
    return { end: ItemRunOutcome.unsendable, givenWay: false };
  if (isPromptBlocked(request.item, dependencies)) return { end: ItemRunOutcome.blocked, givenWay: false };
  const slot = await acquireSlot(request, route, dependencies, stop);
  if (!slot.ok && slot.error.code === 'prompt_crashes_upstream')
    return { end: ItemRunOutcome.blocked, givenWay: false };
  if (!slot.ok) return INTERRUPTED;
  const { replicaId } = slot.value;
  if (stop.aborted || !dependencies.view.isUsable(replicaId) || !request.mayDispatch()) {
    dependencies.leavingAnnouncements.onUnusableSlot(replicaId);
    dependencies.permits.release(slot.value, { end: AttemptEnd.cancelled, tokens: 0 });
    return INTERRUPTED;
  }
  return send(request, slot.value, dependencies, stop);
}

/** An item is judged by the parts of its prompt only: whatever crashed under it, it is still owed. */
function isPromptBlocked({ sharedPartIds = [] }: StoredItem, { view, clock }: ItemRunDependencies): boolean {
  return view.blockedPrompts.refuses({ sharedPartIds }, clock.monotonicMs());
}

/**
 * Acquires a slot where the output can be continued, or any slot when the wait for such a one is over. The item starts
 * anew if that slot is at another version.
 */
async function acquireSlot(
  { output, ...request }: ItemRunRequest,
  route: Route,
  { permits, view, random }: ItemRunDependencies,
  stop: AbortSignal,
): Promise<Outcome<Slot, Problem>> {
  const { origin } = output;
  const isRouted = route.backends.some(({ service, weight }) => service === origin?.service && weight > 0);
  while (origin && isRouted && view.serves(origin)) {
    const waitMs = continuationWaitMs(output.spentMs, view.servesOtherVersions(origin));
    const timeout = AbortSignal.timeout(waitMs);
    const demand = demandOf({ output, ...request }, route.name, origin.service, origin.softwareVersion);
    const slot = await permits.acquire(demand, AbortSignal.any([stop, timeout]));
    if (slot.ok || stop.aborted || !timeout.aborted) return slot;
    if (view.servesOtherVersions(origin)) break;
  }
  const service = origin && isRouted ? origin.service : pickBackend(route.backends, random());
  return permits.acquire(demandOf({ output, ...request }, route.name, service), stop);
}

function demandOf(
  request: ItemRunRequest,
  routeName: string,
  service: string,
  softwareVersion?: string,
): SlotDemand {
  return {
    requestId: `${request.jobId}/${request.item.itemId}`,
    organisation: request.organisation ?? routeName,
    workload: routeName,
    model: service,
    workClass: 'batch',
    costTokens: request.item.tokens,
    memoryTokens: request.item.tokens,
    deadlineUnixMs: request.dueAtUnixMs,
    prefixDigest: '',
    sharedPartIds: request.item.sharedPartIds,
    excludedReplicaIds: request.excludedReplicaIds,
    softwareVersion,
    resumable: true,
    alone: false,
    // A run at any version may have to start anew.
    receivedTokens: softwareVersion === undefined ? undefined : request.output.lastEventId,
  };
}

async function send(
  request: ItemRunRequest,
  slot: Slot,
  dependencies: ItemRunDependencies,
  stop: AbortSignal,
): Promise<ItemRunResult> {
  const { item, output } = request;
  const expectedOrigin = dependencies.view.originOf(slot.replicaId);
  restartUnlessContinuable(request, expectedOrigin, dependencies);
  const startedMs = dependencies.clock.monotonicMs();
  const listener = new ItemListener(
    output,
    AbortSignal.any([stop, slot.revoked]),
    (head) => {
      if (head.load) dependencies.permits.recordLoad(slot, head.load);
      if (head.status !== MISDIRECTED_STATUS)
        dependencies.permits.recordRequestLimit(slot, head.requestsPerSecond, startedMs);
    },
    (replicaId) => dependencies.leavingAnnouncements.onResponse(replicaId),
    expectedOrigin,
    () => expectedOrigin !== undefined && dependencies.view.confirmsOrigin(slot.replicaId, expectedOrigin),
    (events) => {
      request.onEvent();
      if (events === EVENTS_OF_SOUND_PROMPT && slot.reportsProgress)
        dependencies.permits.reportProgress(slot);
    },
    dependencies.clock,
  );
  const call = {
    replicaId: slot.replicaId,
    address: slot.address,
    requestId: item.itemId,
    method: 'POST',
    host: request.host,
    target: item.target,
    headers: item.headers,
    body: Buffer.from(item.bodyBase64, 'base64'),
    resumeAfter: output.lastEventId,
    // Whether the job may go on is left out: the replica would be taken for one that cannot be reached.
    mayBegin: () => dependencies.view.isUsable(slot.replicaId) && !isPromptBlocked(item, dependencies),
  };
  const sent = await dependencies.transport.send(call, listener, listener.signal);
  listener.close();
  if (sent.thrown) {
    dependencies.permits.release(slot, { end: AttemptEnd.cancelled, tokens: listener.events });
    throw sent.thrown.error;
  }
  output.spentMs += dependencies.clock.monotonicMs() - startedMs;
  const end = endOfRun(sent, listener);
  const verdict = listener.verdict(end);
  if (listener.addedNothing(end) && output.origin)
    discardOutput(request, { endedAt: slot.replicaId }, dependencies);
  const preempted = slot.revoked.aborted;
  const brokenByReplica = verdict === ItemRunOutcome.interrupted && !preempted && !stop.aborted;
  const wasBlocked = end.kind === UpstreamEndKind.notConnected && isPromptBlocked(item, dependencies);
  dependencies.permits.release(slot, {
    end: wasBlocked ? AttemptEnd.cancelled : attemptEndOf(end, verdict, brokenByReplica),
    tokens: listener.events,
    betweenTokensMs: listener.betweenEventsMs,
  });
  if (end.kind === UpstreamEndKind.notConnected) dependencies.metrics.count('attempts_not_connected');
  if (end.kind === UpstreamEndKind.broken && listener.events === 0)
    dependencies.metrics.count('attempts_broken_before_first_event');
  dependencies.metrics.count(`batch_runs_${preempted ? 'given_way' : verdict}`);
  dependencies.log.record(brokenByReplica ? LogCategory.failure : LogCategory.routine, 'item_run', {
    jobId: request.jobId,
    itemId: item.itemId,
    organisation: request.organisation,
    replicaId: slot.replicaId,
    softwareVersion: expectedOrigin?.softwareVersion,
    permitId: slot.permitId,
    resumeAfter: call.resumeAfter,
    events: listener.events,
    framing: listener.framing,
    unfinishedBytes: listener.unfinishedBytes,
    sharedPartIds: item.sharedPartIds,
    requestsPerSecond: listener.requestsPerSecond,
    status: listener.status,
    end: end.kind,
    detail: end.detail,
    relayedBy: end.relayedBy,
    verdict,
    givenWay: preempted,
    ranMs: Math.round(dependencies.clock.monotonicMs() - startedMs),
  });
  return { end: verdict, brokenReplicaId: brokenByReplica ? slot.replicaId : undefined, givenWay: preempted };
}

function endOfRun(sent: UpstreamEnd, listener: ItemListener): UpstreamEnd {
  if (listener.isEndless) return ENDLESS_RESPONSE;
  return listener.isForeign ? FOREIGN_RESPONSE : endOfStream(sent, listener.isInsideEvent);
}

/** Discards an output that the replica cannot continue, so that the item starts anew. */
function restartUnlessContinuable(
  request: ItemRunRequest,
  at: StreamOrigin | undefined,
  dependencies: ItemRunDependencies,
): void {
  const { origin } = request.output;
  if (!origin || (at && canContinue(origin, at))) return;
  discardOutput(request, { continuesAt: at?.softwareVersion }, dependencies);
}

/** Discards the output of an item, so that its next run starts anew. */
function discardOutput(
  { jobId, item, output }: ItemRunRequest,
  reason: { readonly continuesAt?: string } | { readonly endedAt: string },
  { metrics, log }: ItemRunDependencies,
): void {
  metrics.count('batch_items_restarted');
  log.record(LogCategory.failure, 'item_restarted', {
    jobId,
    itemId: item.itemId,
    lostEvents: output.lastEventId,
    softwareVersion: output.origin?.softwareVersion,
    ...reason,
  });
  output.events.length = 0;
  output.bytes = 0;
  output.lastEventId = undefined;
  output.origin = undefined;
  output.begunHead = undefined;
}

/** Size of a text in a stored record, in bytes. */
export function jsonBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text));
}

function attemptEndOf(end: UpstreamEnd, verdict: ItemRunOutcome, brokenByReplica: boolean): AttemptEnd {
  if (verdict === ItemRunOutcome.done) return AttemptEnd.completed;
  if (end.pathsLost) return AttemptEnd.cancelled;
  if (end.kind === UpstreamEndKind.notConnected) return AttemptEnd.refused;
  if (end.kind === UpstreamEndKind.unsendable) return AttemptEnd.cancelled;
  if (brokenByReplica && end.kind === UpstreamEndKind.broken) return AttemptEnd.broken;
  return end.kind === UpstreamEndKind.unusable ? AttemptEnd.unusable : AttemptEnd.cancelled;
}

/** Appends the events of one run to the output. Interrupts the run when an event id is not the next one. */
class ItemListener implements UpstreamListener {
  status = 0;
  events = 0;
  private firstEventMs = 0;
  private lastEventMs = 0;
  /** What marks the end of the response; undefined before its head arrives. */
  framing: BodyFraming | undefined;
  /** Requests a second that the replica takes, as the response states. */
  requestsPerSecond: number | undefined;
  private readonly splitter = new EventSplitter();
  /** Aborted when the stream skips or repeats an event, or has stalled. */
  private readonly streamFault = new AbortController();
  private exceeded = false;
  /** Whether the response was left because it is none that goes on with the output. */
  isForeign = false;
  private head: UpstreamHead | undefined;
  private readonly stop: AbortSignal;
  private readonly stallTimer: StallTimer;

  constructor(
    private readonly output: ItemOutput,
    stop: AbortSignal,
    private readonly onResponse: (head: UpstreamHead) => void,
    readonly onLeaving: (replicaId: string) => void,
    /** Origin of the replica's streams as the directory told when the request was sent. */
    private readonly expectedOrigin: StreamOrigin | undefined,
    /** Whether the directory still tells `expectedOrigin`. */
    private readonly confirmsOrigin: () => boolean,
    /** Called after each event with the number of events of this run. */
    private readonly onEvent: (events: number) => void,
    private readonly clock: Clock,
  ) {
    this.stop = AbortSignal.any([stop, this.streamFault.signal]);
    this.stallTimer = new StallTimer(STALL_LIMITS, clock, () => this.streamFault.abort());
  }

  get signal(): AbortSignal {
    return this.stop;
  }

  /** Bytes that arrived after the last whole event. */
  get unfinishedBytes(): number {
    return this.splitter.unfinishedBytes;
  }

  /** Whether the stream ends inside an event if no more data arrives. */
  get isInsideEvent(): boolean {
    return this.splitter.isInsideEvent;
  }

  onHead(head: UpstreamHead): void {
    this.head = head;
    this.status = head.notRun ? 0 : head.status;
    this.framing = head.framing;
    this.requestsPerSecond = head.requestsPerSecond;
    this.onResponse(head);
    this.stallTimer.onBytes();
    const { lastEventId, begunHead = EVENT_STREAM_HEAD } = this.output;
    if (this.status !== HTTP_OK || lastEventId === undefined || continuesStream(head, begunHead)) return;
    this.isForeign = true;
    this.streamFault.abort();
  }

  onData(part: Buffer): void {
    this.stallTimer.onBytes();
    if (this.status === HTTP_OK) this.splitter.push(part).forEach((event) => this.appendEvent(event));
    if (this.splitter.unfinishedBytes > MAX_EVENT_BYTES) this.exceed();
  }

  /** Mean time between two events of this run; undefined for fewer than two. */
  get betweenEventsMs(): number | undefined {
    return this.events > 1 ? (this.lastEventMs - this.firstEventMs) / (this.events - 1) : undefined;
  }

  /** Whether the response was left because it does not end. */
  get isEndless(): boolean {
    return this.exceeded;
  }

  /** Items are read as they arrive; their output is bounded. */
  whenReady(): undefined {
    return undefined;
  }

  /** Stops the timer; to be called when the call has ended. */
  close(): void {
    this.stallTimer.stop();
  }

  /** The outcome of the run, given how the call to the replica ended. */
  verdict(end: UpstreamEnd): ItemRunOutcome {
    if (this.output.bytes > MAX_OUTPUT_BYTES) return ItemRunOutcome.tooLarge;
    if (end.kind !== UpstreamEndKind.complete || this.streamFault.signal.aborted)
      return ItemRunOutcome.interrupted;
    if (this.status === HTTP_UNPROCESSABLE_CONTENT) return ItemRunOutcome.impossible;
    if (this.status === HTTP_INTERNAL_SERVER_ERROR) return ItemRunOutcome.failed;
    return this.status === HTTP_OK && this.events > 0 ? ItemRunOutcome.done : ItemRunOutcome.interrupted;
  }

  /**
   * Whether a complete response with success had no event. It does not show that the output was whole, and each further run
   * from the same event could end like this.
   */
  addedNothing(end: UpstreamEnd): boolean {
    const succeeded = end.kind === UpstreamEndKind.complete && this.status === HTTP_OK;
    return succeeded && this.events === 0 && !this.streamFault.signal.aborted;
  }

  private exceed(): void {
    this.exceeded = true;
    this.streamFault.abort();
  }

  private appendEvent(event: RawEvent): void {
    if (this.streamFault.signal.aborted) return;
    const data = dataOf(event);
    // Comments between events keep a connection in use.
    if (event.eventId === undefined && data === undefined) return;
    const { lastEventId } = this.output;
    const isNext =
      event.eventId !== undefined && (lastEventId === undefined || event.eventId === lastEventId + 1);
    if (!isNext || !this.isFromOrigin()) {
      this.streamFault.abort();
      return;
    }
    this.stallTimer.onEvent();
    this.output.lastEventId = event.eventId;
    if (data !== undefined) {
      this.output.events.push(data);
      this.output.bytes += jsonBytes(data);
    }
    this.events += 1;
    this.lastEventMs = this.clock.monotonicMs();
    if (this.events === 1) this.firstEventMs = this.lastEventMs;
    if (this.output.bytes > MAX_OUTPUT_BYTES) this.streamFault.abort();
    this.onEvent(this.events);
  }

  /** Whether an event is certain to come from where the output began. The first event of an output decides that. */
  private isFromOrigin(): boolean {
    if (this.events > 0) return true;
    if (!this.confirmsOrigin()) return false;
    this.output.origin ??= this.expectedOrigin;
    this.output.begunHead ??= this.head;
    return true;
  }
}

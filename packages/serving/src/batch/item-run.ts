/** Runs one item of a batch job: one place, one send. */
import type { PermitClient, Place } from '@fighub/admission';
import type { Clock, DecisionLog, Metrics, StoredItem } from '@fighub/core';
import { LogWeight } from '@fighub/core';
import { AttemptEnd as Ends } from '@fighub/decisions';

import { pickBackend } from '../online/backend-choice.js';
import { EventSplitter, dataOf } from '../online/event-splitter.js';
import type { RawEvent } from '../online/event-splitter.js';
import type {
  UpstreamEnd,
  LoadListener,
  UpstreamHead,
  UpstreamListener,
  UpstreamTransport,
} from '../online/forwarding.js';
import { UpstreamEndKind } from '../online/forwarding.js';
import type { FleetView } from '../routing/fleet-view.js';

/** How a run of an item ended. */
export const ItemEnd = {
  done: 'done',
  /** The replica says that the item can never be done. */
  impossible: 'impossible',
  /** The replica ran it and failed. */
  failed: 'failed',
  /** No route leads to a service any more. */
  noRoute: 'no_route',
  /** Stopped, broken or refused: it may be gone on with later. */
  interrupted: 'interrupted',
} as const;
export type ItemEnd = (typeof ItemEnd)[keyof typeof ItemEnd];

/** Output of an item so far, kept over interruptions. */
export interface ItemOutput {
  readonly events: string[];
  lastEventId?: number;
}

/** What a run needs to know. */
export interface ItemRequest {
  readonly jobId: string;
  readonly host: string;
  readonly item: StoredItem;
  readonly output: ItemOutput;
  readonly dueAtUnixMs: number;
  /** Replicas that broke this item's last runs. */
  readonly excludedReplicaIds: readonly string[];
  readonly onEvent: () => void;
  /** Asked right before the send. */
  readonly mayDispatch: () => boolean;
}

/** End of a run. */
export interface ItemRunEnd {
  readonly end: ItemEnd;
  /** The replica that broke the run, if one did. */
  readonly brokenReplicaId?: string;
  /** Whether the pool's owner took the place back. */
  readonly givenWay: boolean;
}

/** Parts that runs use. */
export interface ItemParts {
  readonly view: FleetView;
  readonly permits: PermitClient;
  readonly transport: UpstreamTransport;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly random: () => number;
}

/** A replica that is silent for this long is given up, in milliseconds. */
const SILENCE_LIMIT_MS = 2_000;
const HTTP_OK = 200;
const UNPROCESSABLE = 422;
const INTERNAL_ERROR = 500;
const INTERRUPTED: ItemRunEnd = { end: ItemEnd.interrupted, givenWay: false };

/** Runs the item once. */
export async function runItem(
  request: ItemRequest,
  parts: ItemParts,
  stop: AbortSignal,
): Promise<ItemRunEnd> {
  const route = parts.view.routes?.match(request.host, request.item.target);
  if (!parts.view.routes) return INTERRUPTED;
  if (!route) return { end: ItemEnd.noRoute, givenWay: false };
  const service = pickBackend(route.backends, parts.random());
  const place = await parts.permits.acquire(demandOf(request, route.name, service), stop);
  if (!place.ok) return INTERRUPTED;
  if (stop.aborted || !parts.view.isUsable(place.value.replicaId) || !request.mayDispatch()) {
    parts.permits.release(place.value, { end: Ends.cancelled, tokens: 0 });
    return INTERRUPTED;
  }
  return send(request, place.value, parts, stop);
}

function demandOf(
  request: ItemRequest,
  routeName: string,
  service: string,
): Parameters<PermitClient['acquire']>[0] {
  return {
    requestId: `${request.jobId}/${request.item.itemId}`,
    organisation: routeName,
    model: service,
    workClass: 'batch',
    costTokens: request.item.tokens,
    deadlineUnixMs: request.dueAtUnixMs,
    prefixDigest: '',
    excludedReplicaIds: request.excludedReplicaIds,
    resumable: true,
    alone: false,
  };
}

async function send(
  request: ItemRequest,
  place: Place,
  parts: ItemParts,
  stop: AbortSignal,
): Promise<ItemRunEnd> {
  const { item, output } = request;
  const listener = new ItemListener(
    output,
    AbortSignal.any([stop, place.revoked]),
    (load) => parts.permits.noteLoad(place, load),
    request.onEvent,
  );
  const startedMs = parts.clock.monotonicMs();
  const call = {
    replicaId: place.replicaId,
    address: place.address,
    requestId: item.itemId,
    method: 'POST',
    host: request.host,
    target: item.target,
    headers: item.headers,
    body: Buffer.from(item.bodyBase64, 'base64'),
    resumeAfter: output.lastEventId,
  };
  const end = await parts.transport.send(call, listener, listener.signal);
  listener.close();
  const verdict = listener.verdict(end);
  const givenWay = place.revoked.aborted;
  const broke = verdict === ItemEnd.interrupted && !givenWay && !stop.aborted;
  parts.permits.release(place, { end: attemptEndOf(end, verdict, broke), tokens: listener.events });
  parts.metrics.count(`batch_runs_${givenWay ? 'given_way' : verdict}`);
  parts.log.record(broke ? LogWeight.failure : LogWeight.routine, 'item_run', {
    jobId: request.jobId,
    itemId: item.itemId,
    replicaId: place.replicaId,
    permitId: place.permitId,
    resumeAfter: call.resumeAfter,
    events: listener.events,
    status: listener.status,
    end: end.kind,
    detail: end.detail,
    verdict,
    givenWay,
    ranMs: Math.round(parts.clock.monotonicMs() - startedMs),
  });
  return { end: verdict, brokenReplicaId: broke ? place.replicaId : undefined, givenWay };
}

function attemptEndOf(end: UpstreamEnd, verdict: ItemEnd, broke: boolean): Ends {
  if (verdict === ItemEnd.done) return Ends.completed;
  if (end.kind === UpstreamEndKind.notConnected) return Ends.refused;
  return broke && end.kind === UpstreamEndKind.broken ? Ends.broken : Ends.cancelled;
}

/** Collects the events of one run. Only an unbroken continuation is taken. */
class ItemListener implements UpstreamListener {
  status = 0;
  events = 0;
  private readonly splitter = new EventSplitter();
  private readonly astray = new AbortController();
  private readonly stop: AbortSignal;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly output: ItemOutput,
    stop: AbortSignal,
    private readonly onLoad: LoadListener,
    private readonly onEvent: () => void,
  ) {
    this.stop = AbortSignal.any([stop, this.astray.signal]);
    this.armSilence();
  }

  get signal(): AbortSignal {
    return this.stop;
  }

  onHead(head: UpstreamHead): void {
    this.status = head.notRun ? 0 : head.status;
    if (head.load) this.onLoad(head.load);
    this.armSilence();
  }

  onData(part: Buffer): void {
    this.armSilence();
    if (this.status === HTTP_OK) this.splitter.push(part).forEach((event) => this.take(event));
  }

  close(): void {
    clearTimeout(this.timer);
  }

  verdict(end: UpstreamEnd): ItemEnd {
    if (end.kind !== UpstreamEndKind.complete || this.astray.signal.aborted) return ItemEnd.interrupted;
    if (this.status === UNPROCESSABLE) return ItemEnd.impossible;
    if (this.status === INTERNAL_ERROR) return ItemEnd.failed;
    const isWhole = this.status === HTTP_OK && this.splitter.rest.length === 0;
    return isWhole && this.output.events.length > 0 ? ItemEnd.done : ItemEnd.interrupted;
  }

  private take(event: RawEvent): void {
    if (this.astray.signal.aborted) return;
    const { lastEventId } = this.output;
    const isNext =
      event.eventId !== undefined && (lastEventId === undefined || event.eventId === lastEventId + 1);
    if (!isNext) {
      this.astray.abort();
      return;
    }
    this.output.lastEventId = event.eventId;
    this.output.events.push(dataOf(event));
    this.events += 1;
    this.onEvent();
  }

  private armSilence(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.astray.abort(), SILENCE_LIMIT_MS);
  }
}

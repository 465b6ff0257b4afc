/** Sends requests to replicas on behalf of instances that have lost their own paths to them. */
import type { Clock, DecisionLog, ManagedPart, Metrics } from '@fighub/core';
import { LogCategory, errorFields, sleep } from '@fighub/core';
import type { BufferBudget, RelayState } from '@fighub/decisions';
import type { MembershipRunner, PeerNode, RelayCallBody, RelayPartBody, RelayedEnd } from '@fighub/peers';

import type { UpstreamEnd, UpstreamHead, UpstreamListener, UpstreamTransport } from '../online/forwarding.js';
import { UpstreamEndKind } from '../online/forwarding.js';
import type { FleetView } from '../routing/fleet-view.js';
import type { LeavingAnnouncements } from '../routing/leaving-announcements.js';

/** Calls that one instance relays at the same time. */
const MAX_OPEN_CALLS = 200;
/** Bytes of a response that are sent before the holder has confirmed that it has passed them on. */
const SEND_WINDOW_BYTES = 262_144;
const DRAIN_CHECK_MS = 20;

/** Components that the relay server uses. */
export interface RelayServerDependencies {
  /** Sends directly to replicas, so that no call is relayed twice. */
  readonly direct: UpstreamTransport;
  readonly view: FleetView;
  readonly leavingAnnouncements: LeavingAnnouncements;
  readonly members: () => MembershipRunner;
  readonly node: PeerNode;
  /** Memory for the request bodies of callers and of relayed calls together. */
  readonly requestBodies: BufferBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
}

/** Serves the relay calls of other instances. */
export class RelayServer implements ManagedPart {
  readonly name = 'relay server';
  /** Open calls, by holder and call id. */
  private readonly calls = new Map<string, RelayedCall>();
  private refusing = false;

  constructor(
    private readonly dependencies: RelayServerDependencies,
    /** Whether this instance has lost its own paths to the replicas. */
    private readonly arePathsLost: () => boolean,
  ) {
    const { node } = dependencies;
    node.onRequest('relay.state', () => this.state());
    node.onRequest('relay.call', (body) => ({ accepted: this.accept(body) }));
    node.onNotice('relay.read', ({ holder, callId, bytes }) =>
      this.calls.get(keyOf(holder, callId))?.onRead(bytes),
    );
    node.onNotice('relay.cancel', ({ holder, callId }) => this.calls.get(keyOf(holder, callId))?.cancel());
    node.onInboundClosed((instanceId) => this.cancelWhere((call) => call.holder === instanceId));
    node.onOutboundClosed((address) => this.cancelWhere((call) => call.holderAddress === address));
  }

  /** Refuses new calls; those that are open go on. */
  refuseNewCalls(): void {
    this.refusing = true;
  }

  /** Waits until all open calls have ended. */
  async drain(signal: AbortSignal): Promise<void> {
    this.refuseNewCalls();
    while (this.calls.size > 0 && !signal.aborted) await sleep(DRAIN_CHECK_MS, signal);
  }

  stop(): void {
    this.cancelWhere(() => true);
  }

  private state(): RelayState {
    const hasRoom = this.calls.size < MAX_OPEN_CALLS && !this.dependencies.requestBodies.isFull;
    return { available: !this.refusing && !this.arePathsLost() && hasRoom, openCalls: this.calls.size };
  }

  private accept(body: RelayCallBody): boolean {
    const { metrics, members, requestBodies } = this.dependencies;
    const holder = members().membership.get(body.holder);
    if (!holder || !this.state().available || !requestBodies.take(body.body.length)) {
      metrics.count('relay_calls_refused');
      return false;
    }
    metrics.count('relay_calls_accepted');
    const key = keyOf(body.holder, body.callId);
    const call = new RelayedCall(body, holder.peerAddress, this.dependencies);
    this.calls.set(key, call);
    void call
      .run()
      .catch((error: unknown) => call.fail(error))
      .finally(() => {
        this.calls.delete(key);
        requestBodies.release(body.body.length);
      });
    return true;
  }

  private cancelWhere(matches: (call: RelayedCall) => boolean): void {
    [...this.calls.values()].filter(matches).forEach((call) => call.cancel());
  }
}

function keyOf(holder: string, callId: string): string {
  return `${holder}/${callId}`;
}

/** One call that this instance relays: passes the response of the replica on to the holder, in numbered parts. */
class RelayedCall implements UpstreamListener {
  private readonly cancelled = new AbortController();
  private sentParts = 0;
  private unreadBytes = 0;
  private onWindowOpen: () => void = () => undefined;
  private status = 0;

  constructor(
    private readonly body: RelayCallBody,
    readonly holderAddress: string,
    private readonly dependencies: RelayServerDependencies,
  ) {}

  get holder(): string {
    return this.body.holder;
  }

  async run(): Promise<void> {
    const { body, dependencies } = this;
    const { clock, view, direct, log } = dependencies;
    const startedMs = clock.monotonicMs();
    const { replicaId, address, requestId, method, host, target, headers, leftMs, resumeAfter } = body;
    const end = await direct.send(
      {
        replicaId,
        address,
        requestId,
        method,
        host,
        target,
        headers,
        body: Buffer.from(body.body),
        deadlineMs: leftMs === undefined ? undefined : startedMs + leftMs,
        resumeAfter,
        mayBegin: () => view.isUsable(replicaId),
      },
      this,
      this.cancelled.signal,
    );
    this.send({ end: toRelayedEnd(end) });
    const failed = end.kind !== UpstreamEndKind.complete;
    log.record(failed ? LogCategory.failure : LogCategory.routine, 'relayed_for_instance', {
      requestId,
      holder: body.holder,
      replicaId,
      end: end.kind,
      detail: end.detail,
      status: this.status,
      ranMs: Math.round(clock.monotonicMs() - startedMs),
    });
  }

  /** Ends the call after an unexpected error. The request may have run. */
  fail(error: unknown): void {
    this.cancel();
    const { requestId, holder, replicaId } = this.body;
    this.dependencies.log.record(LogCategory.failure, 'relayed_call_error', {
      requestId,
      holder,
      replicaId,
      ...errorFields(error),
    });
    this.send({ end: { kind: UpstreamEndKind.broken, detail: 'unexpected error of the relaying instance' } });
  }

  onLeaving(replicaId: string): void {
    // This instance passes the response on, so it must send the replica nothing more either.
    this.dependencies.leavingAnnouncements.onResponse(replicaId);
    this.send({ leavingReplicaId: replicaId });
  }

  onHead(head: UpstreamHead): void {
    this.status = head.status;
    this.send({ head });
  }

  onData(part: Buffer): void {
    this.unreadBytes += part.length;
    this.send({ data: part });
  }

  whenReady(): Promise<void> | undefined {
    if (this.unreadBytes <= SEND_WINDOW_BYTES || this.cancelled.signal.aborted) return undefined;
    return new Promise((resolve) => (this.onWindowOpen = resolve));
  }

  /** Records that the holder has passed bytes on. */
  onRead(bytes: number): void {
    this.unreadBytes -= bytes;
    if (this.unreadBytes <= SEND_WINDOW_BYTES) this.onWindowOpen();
  }

  cancel(): void {
    this.cancelled.abort();
    this.onWindowOpen();
  }

  private send(part: Omit<RelayPartBody, 'callId' | 'index'>): void {
    const { callId } = this.body;
    this.dependencies.node.notify(this.holderAddress, 'relay.part', {
      callId,
      index: this.sentParts,
      ...part,
    });
    this.sentParts += 1;
  }
}

/** A holder of an earlier release does not know of requests that cannot be sent, and takes them for cancelled ones. */
function toRelayedEnd({ kind, detail, unreachable, pathsLost }: UpstreamEnd): RelayedEnd {
  if (kind === UpstreamEndKind.unsendable)
    return { kind: UpstreamEndKind.cancelled, detail, unsendable: true };
  if (pathsLost) return { kind, detail, pathsLost };
  return { kind, detail, ...(unreachable ? { unreachable: true } : {}) };
}

/** Makes calls to replicas through other instances. */
import type { Clock, Metrics } from '@fighub/core';
import { fail } from '@fighub/core';
import { RelayChoice } from '@fighub/decisions';
import type { MembershipRunner, PeerNode, RelayPartBody } from '@fighub/peers';
import { PeerFailure } from '@fighub/peers';

import type { UpstreamCall, UpstreamEnd, UpstreamHead, UpstreamListener } from '../online/forwarding.js';
import { BodyFraming, UpstreamEndKind } from '../online/forwarding.js';
import { headFault } from '../online/response-head.js';

const STATE_TIMEOUT_MS = 250;
/** A relay that has not accepted a call within this time may still run it, so that the call counts as broken. */
const ACCEPT_TIMEOUT_MS = 500;
/** Other relays that are asked after one could not connect to the replica, while this instance has no path of its own. */
const MAX_UNREACHABLE_RELAYS = 2;
/** Relays are told what was read in steps of this size, and now and then, so that the connection stays in use. */
const READ_STEP_BYTES = 65_536;
const READ_PERIOD_MS = 5_000;

/** Components that the relay client uses. */
export interface RelayClientDependencies {
  readonly selfId: string;
  readonly failureDomain: string;
  readonly members: () => MembershipRunner;
  readonly node: PeerNode;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Calls replicas through the instances that `RelayChoice` chooses. */
export class RelayClient {
  private readonly choice: RelayChoice;
  private readonly calls = new Map<string, PendingCall>();
  private nextCallId = 1;
  /** Questions to members that are not answered yet, by instance id. */
  private readonly asking = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: RelayClientDependencies) {
    const { node, selfId, failureDomain } = dependencies;
    this.choice = new RelayChoice(selfId, failureDomain);
    node.onNotice('relay.part', (part) => this.calls.get(part.callId)?.onPart(part));
    node.onOutboundClosed((address) => this.failCallsVia(address));
  }

  /**
   * Sends the call through another instance. Returns undefined if none relays it; then nothing was sent. `isLost` tells
   * whether this instance reaches no replica itself, so that further relays are tried when one does not reach it either.
   */
  async send(
    call: UpstreamCall,
    listener: UpstreamListener,
    signal: AbortSignal,
    isLost: boolean,
  ): Promise<UpstreamEnd | undefined> {
    const triedIds: string[] = [];
    let unreached: UpstreamEnd | undefined;
    while (triedIds.length <= MAX_UNREACHABLE_RELAYS && !signal.aborted) {
      const relayId = await this.pick(triedIds);
      if (relayId === undefined || signal.aborted) return unreached;
      triedIds.push(relayId);
      const end = await this.sendVia(relayId, call, listener, signal);
      if (end && !(end.unreachable && isLost)) return end;
      unreached = end ?? unreached;
    }
    return unreached;
  }

  /** Asks members whether they relay requests, as far as their answers are needed and due. */
  refresh(): void {
    const { members, clock } = this.dependencies;
    const { membership } = members();
    this.choice.setMembers(membership.version, () => members().owners());
    this.choice
      .toAsk(clock.monotonicMs())
      .filter((id) => !this.asking.has(id))
      .forEach((id) =>
        this.asking.set(
          id,
          this.askState(id).finally(() => this.asking.delete(id)),
        ),
      );
  }

  dump(): Record<string, unknown> {
    return { openCalls: this.calls.size };
  }

  /** The relay for the next call. If none is known to be available, members are asked first. */
  private async pick(triedIds: readonly string[]): Promise<string | undefined> {
    const choose = (): string | undefined =>
      this.choice.choose(triedIds, this.dependencies.clock.monotonicMs());
    if (choose() === undefined) this.refresh();
    while (choose() === undefined && this.asking.size > 0) await Promise.race(this.asking.values());
    return choose();
  }

  private async askState(instanceId: string): Promise<void> {
    const { members, node, clock } = this.dependencies;
    const address = members().membership.get(instanceId)?.peerAddress;
    const answer =
      address === undefined
        ? fail(PeerFailure.notConnected)
        : await node.request(address, 'relay.state', {}, STATE_TIMEOUT_MS);
    this.choice.onState(instanceId, answer.ok ? answer.value : undefined, clock.monotonicMs());
  }

  /** Returns undefined if the relay did not accept the call. */
  private async sendVia(
    relayId: string,
    call: UpstreamCall,
    listener: UpstreamListener,
    signal: AbortSignal,
  ): Promise<UpstreamEnd | undefined> {
    const { members, node, clock, metrics, selfId } = this.dependencies;
    const address = members().membership.get(relayId)?.peerAddress;
    if (address === undefined) return undefined;
    if (!call.mayBegin())
      return { kind: UpstreamEndKind.notConnected, detail: 'the replica takes no more requests' };
    const callId = String(this.nextCallId++);
    const pending = new PendingCall(callId, relayId, address, listener, signal, this.dependencies);
    this.calls.set(callId, pending);
    this.choice.onCall(relayId, 1);
    const leftMs = call.deadlineMs === undefined ? undefined : call.deadlineMs - clock.monotonicMs();
    const { replicaId, requestId, method, host, target, headers, body, resumeAfter } = call;
    const relayed = {
      callId,
      holder: selfId,
      replicaId,
      address: call.address,
      requestId,
      method,
      host,
      target,
    };
    void node
      .request(address, 'relay.call', { ...relayed, headers, body, leftMs, resumeAfter }, ACCEPT_TIMEOUT_MS)
      .then((answer) => pending.onAnswer(answer.ok ? answer.value : answer.error))
      .catch((error: unknown) => pending.fail(`unexpected error: ${String(error)}`));
    const end = await pending.ended;
    this.calls.delete(callId);
    this.choice.onCall(relayId, -1);
    if (end === undefined) {
      metrics.count('relays_unavailable');
      this.choice.onState(relayId, undefined, clock.monotonicMs());
    }
    return end;
  }

  private failCallsVia(address: string): void {
    [...this.calls.values()]
      .filter((call) => call.address === address)
      .forEach((call) => call.fail('the connection to the relaying instance was closed'));
  }
}

/** The holder's side of one relayed call. Passes the parts of the response to the listener in their order. */
class PendingCall {
  /** Resolves once; with undefined if the relay did not accept the call. */
  readonly ended: Promise<UpstreamEnd | undefined>;
  private resolve: (end: UpstreamEnd | undefined) => void = () => undefined;
  private isOpen = true;
  private nextIndex = 0;
  private unreportedBytes = 0;
  private reportedAtMs: number;

  constructor(
    private readonly callId: string,
    private readonly relayId: string,
    readonly address: string,
    private readonly listener: UpstreamListener,
    private readonly signal: AbortSignal,
    private readonly dependencies: RelayClientDependencies,
  ) {
    this.ended = new Promise((resolve) => (this.resolve = resolve));
    this.reportedAtMs = dependencies.clock.monotonicMs();
    signal.addEventListener('abort', this.onAbort, { once: true });
    if (signal.aborted) this.onAbort();
  }

  /** Handles the response to the request to relay the call, or its failure. */
  onAnswer(answer: { readonly accepted: boolean } | PeerFailure): void {
    const wasNotSent = answer === PeerFailure.notConnected || answer === PeerFailure.congested;
    if (wasNotSent || (typeof answer === 'object' && !answer.accepted)) this.finish(undefined);
    else if (typeof answer !== 'object') this.fail(`the relaying instance did not respond: ${answer}`);
  }

  onPart({ index, leavingReplicaId, head, data, end }: RelayPartBody): void {
    if (!this.isOpen) return;
    if (index !== this.nextIndex) {
      this.fail('a part of the relayed response was lost');
      return;
    }
    this.nextIndex += 1;
    if (leavingReplicaId !== undefined) this.listener.onLeaving(leavingReplicaId);
    if (head) this.onHead(head);
    if (!this.isOpen) return;
    if (data) this.onData(Buffer.from(data.buffer, data.byteOffset, data.byteLength));
    if (end) this.finish(toUpstreamEnd(end, this.relayId));
  }

  /** Ends the call, which may have run, and stops it at the relay. The path has failed, not the replica. */
  fail(detail: string): void {
    if (!this.isOpen) return;
    this.cancel();
    this.finish({ kind: UpstreamEndKind.broken, detail, relayedBy: this.relayId, pathsLost: true });
  }

  /** An instance of an earlier release passes on what it has received. */
  private onHead(head: NonNullable<RelayPartBody['head']>): void {
    const fault = headFault(head);
    if (fault === undefined) {
      this.listener.onHead(toUpstreamHead(head));
      return;
    }
    this.cancel();
    this.finish({ kind: UpstreamEndKind.unusable, detail: fault, relayedBy: this.relayId });
  }

  private onData(part: Buffer): void {
    this.listener.onData(part);
    const ready = this.listener.whenReady();
    if (ready) void ready.then(() => this.onPassedOn(part.length));
    else this.onPassedOn(part.length);
  }

  private onPassedOn(bytes: number): void {
    this.unreportedBytes += bytes;
    const { clock, node, selfId } = this.dependencies;
    const nowMs = clock.monotonicMs();
    if (this.unreportedBytes < READ_STEP_BYTES && nowMs - this.reportedAtMs < READ_PERIOD_MS) return;
    node.notify(this.address, 'relay.read', {
      callId: this.callId,
      holder: selfId,
      bytes: this.unreportedBytes,
    });
    this.unreportedBytes = 0;
    this.reportedAtMs = nowMs;
  }

  private readonly onAbort = (): void => {
    if (!this.isOpen) return;
    this.cancel();
    this.finish({
      kind: UpstreamEndKind.cancelled,
      detail: 'cancelled by this instance',
      relayedBy: this.relayId,
    });
  };

  private cancel(): void {
    const { node, selfId } = this.dependencies;
    node.notify(this.address, 'relay.cancel', { callId: this.callId, holder: selfId });
  }

  private finish(end: UpstreamEnd | undefined): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.signal.removeEventListener('abort', this.onAbort);
    this.resolve(end);
  }
}

function toUpstreamHead(head: NonNullable<RelayPartBody['head']>): UpstreamHead {
  const framing =
    Object.values(BodyFraming).find((known) => known === head.framing) ?? BodyFraming.connection;
  return { ...head, framing };
}

function toUpstreamEnd(end: NonNullable<RelayPartBody['end']>, relayedBy: string): UpstreamEnd {
  if (end.unsendable) return { kind: UpstreamEndKind.unsendable, detail: end.detail, relayedBy };
  const kind = Object.values(UpstreamEndKind).find((known) => known === end.kind) ?? UpstreamEndKind.broken;
  const { detail, unreachable, pathsLost } = end;
  return {
    kind,
    detail,
    relayedBy,
    ...(unreachable ? { unreachable } : {}),
    ...(pathsLost ? { pathsLost } : {}),
  };
}

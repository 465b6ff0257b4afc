/** Sends typed messages to other instances and handles those that it receives. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import type { ListenerLog, Metrics, Outcome } from '@fighub/core';
import { Listener, WaitLimit, fail, ok, splitAddress } from '@fighub/core';

import type { Frame } from './frame.js';
import { FrameKind, sharedFrame } from './frame.js';
import { PeerConnection } from './peer-connection.js';
import type {
  NoticeHandler,
  PeerNoticeName,
  PeerNotices,
  PeerRequestName,
  PeerRequests,
  RequestHandler,
} from './peer-messages.js';
import { PeerFailure } from './peer-messages.js';

/** Settings of a node. */
export interface PeerNodeOptions {
  readonly instanceId: string;
  /** Local address of the listening port and of outbound connections. */
  readonly host: string;
  /** Port to listen on; 0 for any free one. */
  readonly port: number;
  /** The fleet's secret, which both ends of a connection must prove that they know. */
  readonly secret: string;
  /** Largest number of inbound connections whose handshake has not succeeded yet. */
  readonly maxUnprovenConnections?: number;
}

/** Bytes sent and received on connections between instances. */
export interface PeerTraffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** A request that waits for its response. */
interface PendingCall {
  readonly address: string;
  readonly finish: (outcome: Outcome<unknown, PeerFailure>) => void;
}

/** An outbound connection, which this instance dialled, and the frames that wait for its handshake. */
interface Link {
  readonly connection: PeerConnection;
  waiting: Frame[];
  lastUsedMs: number;
}

const DEFAULT_MAX_UNPROVEN_CONNECTIONS = 256;
const NO_LOG: ListenerLog = { record: () => undefined };
/** Maximum number of frames that wait for the handshake of one connection. */
const MAX_WAITING_FRAMES = 1_000;
/** Outbound connections that were not used for this long are closed when another one is dialled. */
const IDLE_LINK_MS = 30_000;

/** The listening port of one instance, with its inbound and outbound connections. */
export class PeerNode {
  /** Outbound connections, by the address of the peer. */
  private readonly links = new Map<string, Link>();
  /** Inbound connections, including those whose handshake has not succeeded yet. */
  private readonly accepted = new Set<PeerConnection>();
  /** Those inbound connections whose handshake has not succeeded yet, the oldest first. */
  private readonly unproven = new Set<PeerConnection>();
  /** Requests without a response, by call id. */
  private readonly pending = new Map<number, PendingCall>();
  private readonly requestHandlers = new Map<string, (body: unknown) => unknown>();
  private readonly noticeHandlers = new Map<string, (body: unknown) => void>();
  private readonly inboundClosedListeners: ((instanceId: string) => void)[] = [];
  private readonly outboundClosedListeners: ((address: string) => void)[] = [];
  private listener: Listener | undefined;
  private nextCallId = 1;
  private isClosed = false;
  private closedTraffic: PeerTraffic = { bytesSent: 0, bytesReceived: 0 };

  constructor(
    private readonly options: PeerNodeOptions,
    private readonly metrics: Metrics,
    /** Called with what the handler of a message or a detached task has thrown, and its name. */
    private readonly onHandlerError: (error: unknown, messageName: string) => void,
  ) {}

  /** Registers the handler of a request. */
  onRequest<K extends PeerRequestName>(name: K, handler: RequestHandler<K>): void {
    this.requestHandlers.set(name, (body) => handler(body as PeerRequests[K]['body']));
  }

  /** Registers the handler of a notice. */
  onNotice<K extends PeerNoticeName>(name: K, handler: NoticeHandler<K>): void {
    this.noticeHandlers.set(name, (body) => handler(body as PeerNotices[K]));
  }

  /**
   * Registers a listener for closed inbound connections, including those that close because the peer's process has
   * ended. It receives the peer's instance id.
   */
  onInboundClosed(listener: (instanceId: string) => void): void {
    this.inboundClosedListeners.push(listener);
  }

  /**
   * Registers a listener for closed outbound connections, which receives the peer's address. Messages that were sent over
   * such a connection may not have arrived.
   */
  onOutboundClosed(listener: (address: string) => void): void {
    this.outboundClosedListeners.push(listener);
  }

  /**
   * Starts listening and returns the port. While another process holds the address, tries again until the monotonic time `untilMs`;
   * rejects when the address cannot be bound.
   */
  async listen(log: ListenerLog = NO_LOG, untilMs = performance.now()): Promise<number> {
    const server = createServer((socket) => this.accept(socket));
    this.listener = new Listener(server, this.options, 'peer server', log);
    await this.listener.bind(untilMs);
    return (server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Stops listening and closes all connections. Messages are not sent any more. */
  close(): void {
    this.isClosed = true;
    this.listener?.close();
    [...this.links.values()].forEach((link) => link.connection.close('this instance stops'));
    [...this.accepted].forEach((connection) => connection.close('this instance stops'));
  }

  /**
   * Sends a request and waits for its response. Resolves with a `PeerFailure` when there is none, after `timeoutMs` at
   * the latest.
   */
  request<K extends PeerRequestName>(
    address: string,
    name: K,
    body: PeerRequests[K]['body'],
    timeoutMs: number,
  ): Promise<Outcome<PeerRequests[K]['answer'], PeerFailure>> {
    return new Promise((resolve) => {
      const callId = this.nextCallId++;
      const limit = new WaitLimit(timeoutMs, () => this.onCallTimeout(callId));
      const finish = (outcome: Outcome<unknown, PeerFailure>): void => {
        limit.clear();
        this.pending.delete(callId);
        resolve(outcome as Outcome<PeerRequests[K]['answer'], PeerFailure>);
      };
      this.pending.set(callId, { address, finish });
      const sent = this.send(address, { kind: FrameKind.request, name, callId, body });
      if (!sent) finish(fail(this.isClosed ? PeerFailure.notConnected : PeerFailure.congested));
    });
  }

  /** Sends a one-way message. Delivery is not guaranteed. */
  notify<K extends PeerNoticeName>(address: string, name: K, body: PeerNotices[K]): void {
    this.send(address, { kind: FrameKind.notice, name, body });
  }

  /** Sends the same one-way message to several instances, and encodes it only once. Delivery is not guaranteed. */
  notifyAll<K extends PeerNoticeName>(addresses: readonly string[], name: K, body: PeerNotices[K]): void {
    const frame = sharedFrame({ kind: FrameKind.notice, name, body });
    addresses.forEach((address) => this.send(address, frame));
  }

  /**
   * Reports what a task has thrown that nobody waits for, as for a handler of messages: the response of another release may lack what
   * the task reads from it. `name` says in the log what the task is about.
   */
  detach(name: string, task: Promise<unknown>): void {
    task.catch((error: unknown) => this.onHandlerError(error, name));
  }

  /** Bytes on all connections, open and closed, since the start. */
  traffic(): PeerTraffic {
    const open = [...[...this.links.values()].map((link) => link.connection), ...this.accepted];
    return {
      bytesSent: open.reduce((sum, connection) => sum + connection.bytesSent, this.closedTraffic.bytesSent),
      bytesReceived: open.reduce(
        (sum, connection) => sum + connection.bytesReceived,
        this.closedTraffic.bytesReceived,
      ),
    };
  }

  /** Connections and traffic for the state dump. */
  dump(): Record<string, unknown> {
    return {
      traffic: this.traffic(),
      links: [...this.links.entries()].map(([address, link]) => ({
        address,
        ready: link.connection.ready,
        peerInstanceId: link.connection.peerInstanceId,
        silentForMs: Math.round(link.connection.silentForMs),
      })),
      accepted: this.accepted.size,
      pendingCalls: this.pending.size,
    };
  }

  private send(address: string, frame: Frame): boolean {
    if (this.isClosed) return false;
    const link = this.links.get(address) ?? this.dial(address);
    link.lastUsedMs = performance.now();
    this.metrics.count('peer_messages_sent');
    if (link.connection.congested || link.waiting.length >= MAX_WAITING_FRAMES) {
      this.metrics.count('peer_messages_congested');
      return false;
    }
    if (link.connection.ready) link.connection.send(frame);
    else link.waiting.push(frame);
    return true;
  }

  private dial(address: string): Link {
    this.closeIdleLinks();
    const socket = connect({
      ...splitAddress(address),
      localAddress: this.options.host,
    });
    const connection = new PeerConnection(socket, true, this.options.instanceId, this.options.secret, {
      onReady: () => this.flush(address, connection),
      onFrame: (_, frame) => this.onResponseFrame(frame),
      onClosed: (closed) => this.onLinkClosed(address, closed),
    });
    const link = { connection, waiting: [], lastUsedMs: performance.now() };
    this.links.set(address, link);
    return link;
  }

  private closeIdleLinks(): void {
    const nowMs = performance.now();
    [...this.links.values()]
      .filter((link) => nowMs - link.lastUsedMs > IDLE_LINK_MS)
      .forEach((link) => link.connection.close('idle'));
  }

  private flush(address: string, connection: PeerConnection): void {
    const link = this.links.get(address);
    if (link?.connection !== connection) return;
    link.waiting.forEach((frame) => connection.send(frame));
    link.waiting = [];
  }

  private onLinkClosed(address: string, connection: PeerConnection): void {
    this.countTraffic(connection);
    if (this.links.get(address)?.connection !== connection) return;
    this.links.delete(address);
    const reason = connection.ready ? PeerFailure.closed : PeerFailure.notConnected;
    [...this.pending.values()]
      .filter((call) => call.address === address)
      .forEach((call) => call.finish(fail(reason)));
    this.outboundClosedListeners.forEach((listener) => listener(address));
  }

  /**
   * Fails a request that timed out. If its connection has received nothing else recently either, the connection is
   * closed, since the peer may no longer have it; the next message dials a new one.
   */
  private onCallTimeout(callId: number): void {
    const call = this.pending.get(callId);
    if (!call) return;
    call.finish(fail(PeerFailure.timeout));
    const link = this.links.get(call.address);
    if (link && link.connection.silentForMs > SILENT_AFTER_TIMEOUT_MS) {
      this.metrics.count('peer_connections_replaced');
      link.connection.close('a call timed out on a silent connection');
    }
  }

  private onResponseFrame(frame: Frame): void {
    this.metrics.count('peer_messages_received');
    if (frame.kind !== FrameKind.response || frame.callId === undefined) return;
    this.pending.get(frame.callId)?.finish(ok(frame.body));
  }

  private accept(socket: Socket): void {
    const connection = new PeerConnection(socket, false, this.options.instanceId, this.options.secret, {
      onReady: (proven) => this.unproven.delete(proven),
      onFrame: (source, frame) => this.onInboundFrame(source, frame),
      onClosed: (closed, reason) => {
        this.accepted.delete(closed);
        this.unproven.delete(closed);
        this.countTraffic(closed);
        if (closed.ready) this.inboundClosedListeners.forEach((listener) => listener(closed.peerInstanceId));
        else this.metrics.count('peer_connections_refused', 1, [reason]);
      },
    });
    this.accepted.add(connection);
    this.unproven.add(connection);
    this.closeOldestUnproven();
  }

  /** An instance proves itself within moments, so that the oldest connection is the least likely to be one. */
  private closeOldestUnproven(): void {
    const { maxUnprovenConnections = DEFAULT_MAX_UNPROVEN_CONNECTIONS } = this.options;
    const [oldest] = this.unproven;
    if (oldest && this.unproven.size > maxUnprovenConnections) oldest.close('too many without a proof');
  }

  private countTraffic(connection: PeerConnection): void {
    this.closedTraffic = {
      bytesSent: this.closedTraffic.bytesSent + connection.bytesSent,
      bytesReceived: this.closedTraffic.bytesReceived + connection.bytesReceived,
    };
  }

  private onInboundFrame(connection: PeerConnection, frame: Frame): void {
    this.metrics.count('peer_messages_received');
    if (frame.kind === FrameKind.notice) this.onNoticeFrame(frame);
    if (frame.kind === FrameKind.request)
      this.detach(frame.name ?? '', this.onRequestFrame(connection, frame));
  }

  private onNoticeFrame(frame: Frame): void {
    const handler = this.noticeHandlers.get(frame.name ?? '');
    if (!handler) {
      this.metrics.count('peer_messages_unknown');
      return;
    }
    try {
      handler(frame.body);
    } catch (error) {
      this.onHandlerError(error, frame.name ?? '');
    }
  }

  private async onRequestFrame(connection: PeerConnection, frame: Frame): Promise<void> {
    const handler = this.requestHandlers.get(frame.name ?? '');
    if (!handler) {
      this.metrics.count('peer_messages_unknown');
      return;
    }
    try {
      const body = await handler(frame.body);
      connection.send({ kind: FrameKind.response, callId: frame.callId, body });
    } catch (error) {
      this.onHandlerError(error, frame.name ?? '');
    }
  }
}

/** After a request timed out, a connection that has received nothing for longer than this is replaced. */
const SILENT_AFTER_TIMEOUT_MS = 1_000;

/** One TCP connection between two instances, with an authenticating handshake and heartbeats. */
import type { Socket } from 'node:net';

import type { Frame } from './frame.js';
import { FrameKind, FrameReader, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, encodeFrame } from './frame.js';
import type { HelloBody } from './peer-handshake.js';
import { isHello, newHello, proofMatches, proofOf, versionsOverlap } from './peer-handshake.js';

/** A connection that receives nothing for this long after a heartbeat is closed. */
export const SILENCE_LIMIT_MS = 2_500;
/** Period of the heartbeats and of the checks for silent connections. */
export const HEARTBEAT_PERIOD_MS = 800;
/** An accepted connection that receives nothing for this long is closed. */
const ACCEPTED_IDLE_LIMIT_MS = 60_000;
/** A connection whose handshake takes longer than this is closed. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** The frame that each frame from the accepting end answers, with the same call id. */
const ANSWER_TO: Partial<Record<FrameKind, FrameKind>> = {
  [FrameKind.response]: FrameKind.request,
  [FrameKind.heartbeat]: FrameKind.heartbeat,
  [FrameKind.proof]: FrameKind.proof,
};

/** Receives the events of a connection. */
export interface ConnectionListener {
  /** The handshake has succeeded. */
  onReady(connection: PeerConnection): void;
  /** A frame other than a heartbeat was received after the handshake. */
  onFrame(connection: PeerConnection, frame: Frame): void;
  onClosed(connection: PeerConnection, reason: string): void;
}

/**
 * A connection to another instance. It is ready when the peer has proven that it knows the fleet's secret. Only the
 * dialling end sends requests and notices; the accepting end sends the responses.
 */
export class PeerConnection {
  /** Whether the handshake has succeeded. */
  ready = false;
  /** Empty until the handshake has succeeded. */
  peerInstanceId = '';
  bytesSent = 0;
  bytesReceived = 0;
  private readonly reader = new FrameReader(MAX_HANDSHAKE_FRAME_BYTES);
  private readonly ownHello: HelloBody;
  private peerHello: HelloBody | undefined;
  private lastReceivedMs = performance.now();
  /**
   * The last frame that was sent, until it is known to have arrived. Frames arrive in order, so that the response to it
   * confirms all earlier ones too; a notice has none and is confirmed by the heartbeat after it.
   */
  private unconfirmed: Frame | undefined;
  /** When the first heartbeat since the last received bytes was sent; undefined when none was sent since. */
  private unansweredSinceMs: number | undefined;
  /** Expiries of the timer. After a pause of this process it expires once, however long the pause was. */
  private periods = 0;
  private readonly timer: NodeJS.Timeout;
  private closed = false;

  constructor(
    private readonly socket: Socket,
    /** True at the end that opened the connection, false at the end that accepted it. */
    private readonly dialled: boolean,
    instanceId: string,
    private readonly secret: string,
    private readonly listener: ConnectionListener,
  ) {
    this.ownHello = newHello(instanceId);
    socket.setNoDelay(true);
    socket.on('data', (bytes) => this.onData(bytes));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.close('closed by the other end'));
    this.timer = setInterval(() => this.onTimer(), HEARTBEAT_PERIOD_MS);
    if (!socket.connecting) this.sendHello();
    else socket.once('connect', () => this.sendHello());
  }

  /** Whether so many bytes are still to be sent that no more may be queued. */
  get congested(): boolean {
    return this.socket.writableLength > MAX_UNSENT_BYTES;
  }

  /** Time since the last bytes were received, in milliseconds. */
  get silentForMs(): number {
    return performance.now() - this.lastReceivedMs;
  }

  /** Sends a frame; does nothing on a closed connection. */
  send(frame: Frame): void {
    if (this.closed) return;
    this.unconfirmed = frame;
    const bytes = encodeFrame(frame);
    this.bytesSent += bytes.length;
    this.socket.write(bytes);
  }

  /** Closes the connection and reports the reason to the listener, once. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    clearInterval(this.timer);
    this.socket.destroy();
    this.listener.onClosed(this, reason);
  }

  private sendHello(): void {
    this.send({ kind: FrameKind.hello, body: this.ownHello });
  }

  private onTimer(): void {
    this.periods += 1;
    if (this.overdue() !== undefined) setImmediate(() => this.closeIfOverdue());
    else if (this.ready && this.dialled) this.sendHeartbeat();
  }

  /** After a pause of this process, what the other end has sent meanwhile is read before this. */
  private closeIfOverdue(): void {
    const reason = this.overdue();
    if (reason !== undefined) this.close(reason);
  }

  /** What the other end has not sent in time; undefined if nothing is overdue. */
  private overdue(): string | undefined {
    // A pause is not counted, since the handshake has several messages, of which only one can arrive during it.
    if (!this.ready && this.periods * HEARTBEAT_PERIOD_MS > HANDSHAKE_TIMEOUT_MS) return 'no handshake';
    if (!this.dialled) return this.silentForMs > ACCEPTED_IDLE_LIMIT_MS ? 'idle' : undefined;
    const nowMs = performance.now();
    const unansweredMs = nowMs - (this.unansweredSinceMs ?? nowMs);
    return unansweredMs > SILENCE_LIMIT_MS ? 'nothing received within the silence limit' : undefined;
  }

  /**
   * Sends a heartbeat when it is not known whether the last message arrived; the connection is closed when nothing is
   * received in response. Only the dialling end does this; the accepting end returns each heartbeat.
   */
  private sendHeartbeat(): void {
    if (!this.unconfirmed) return;
    this.unansweredSinceMs ??= performance.now();
    this.send({ kind: FrameKind.heartbeat });
  }

  private onData(bytes: Buffer): void {
    this.lastReceivedMs = performance.now();
    this.unansweredSinceMs = undefined;
    this.bytesReceived += bytes.length;
    const read = this.reader.push(bytes, (frame) => this.onFrame(frame));
    if (!read.ok) this.close(read.error);
  }

  private onFrame(frame: Frame): void {
    if (this.closed) return;
    if (this.unconfirmed?.kind === ANSWER_TO[frame.kind] && this.unconfirmed?.callId === frame.callId)
      this.unconfirmed = undefined;
    if (this.ready && frame.kind === FrameKind.heartbeat) {
      if (!this.dialled) this.send(frame);
      return;
    }
    if (this.ready) this.listener.onFrame(this, frame);
    else if (frame.kind === FrameKind.hello) this.onHello(frame.body);
    else if (frame.kind === FrameKind.proof) this.onProof(frame.body);
    else this.close('a message came before the proof');
  }

  private onHello(body: unknown): void {
    if (this.peerHello || !isHello(body) || !versionsOverlap(body)) {
      this.close('the hello is not acceptable');
      return;
    }
    this.peerHello = body;
    const proof = proofOf(this.secret, this.ownHello, body, this.dialled ? 'dial' : 'accept');
    this.send({ kind: FrameKind.proof, body: proof });
  }

  private onProof(body: unknown): void {
    const peer = this.peerHello;
    const direction = this.dialled ? 'accept' : 'dial';
    if (!peer || !proofMatches(proofOf(this.secret, peer, this.ownHello, direction), body)) {
      this.close('the proof of the fleet secret is wrong');
      return;
    }
    this.ready = true;
    this.reader.maxFrameBytes = MAX_FRAME_BYTES;
    this.peerInstanceId = peer.instanceId;
    this.listener.onReady(this);
  }
}

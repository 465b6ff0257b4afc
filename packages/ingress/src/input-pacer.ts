/**
 * Passes the bytes of connections to the HTTP parser in slices and by turns, so that no connection keeps the process from its other work.
 * Stands between the socket and the HTTP server of Node.js, which otherwise parses all that has arrived at once.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { ReadTurns } from '@fighub/decisions';

/** Told what happens on the connections of one server. */
export interface InputListener {
  /** Bytes have arrived on a connection. */
  onBytes(socket: Socket): void;
}

/** The connections of all servers of a process, which share its time. */
export class InputPacer {
  private readonly turns = new ReadTurns<PacedInput>();
  private readonly inputs = new WeakMap<Socket, PacedInput>();
  private isScheduled = false;

  /** Paces the connections of `server`. */
  attach(server: Server, listener?: InputListener): void {
    server.on('connection', (socket) => {
      const input = new PacedInput(socket, this.turns, listener, () => this.schedule());
      this.inputs.set(socket, input);
      socket.once('close', () => input.discard());
    });
  }

  /**
   * Keeps what arrives on a connection from the parser until it is released, such as further requests while one is being answered. At most
   * one read of the socket is kept. Does nothing for connections of other servers.
   */
  hold(socket: Socket): void {
    this.inputs.get(socket)?.hold();
  }

  release(socket: Socket): void {
    this.inputs.get(socket)?.release();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.playTurn());
  }

  private playTurn(): void {
    this.isScheduled = false;
    this.turns.beginTurn();
    while (this.turns.mayContinue) {
      const input = this.turns.next();
      if (!input) return;
      input.passOn();
    }
    if (this.turns.isWaiting) this.schedule();
  }
}

/** What has arrived on one connection and was not passed to the parser. The methods of the socket's readable stream are replaced. */
class PacedInput {
  private unread: Buffer | undefined;
  private hasEnded = false;
  private isHeld = false;
  /** Whether the stream has asked for bytes since the last ones; it has when it is created. */
  private isWanted = true;
  private readonly pushToStream: (part: Buffer | null) => boolean;
  private readonly readFromSystem: (bytes: number) => void;

  constructor(
    private readonly socket: Socket,
    private readonly turns: ReadTurns<PacedInput>,
    private readonly listener: InputListener | undefined,
    private readonly schedule: () => void,
  ) {
    this.pushToStream = socket.push.bind(socket) as (part: Buffer | null) => boolean;
    this.readFromSystem = socket._read.bind(socket);
    socket.push = (part: Buffer | null) => this.onArrived(part);
    socket._read = (bytes: number) => this.onWanted(bytes);
    // The HTTP server reads past the stream of a socket unless that has another listener.
    socket.on('data', () => undefined);
  }

  hold(): void {
    this.isHeld = true;
    this.turns.forget(this);
  }

  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.waitForTurn();
  }

  /** Passes the next slice to the parser. */
  passOn(): void {
    const { unread } = this;
    if (!unread || !this.isWanted || this.socket.destroyed) return;
    const startedMs = performance.now();
    const sliceBytes = this.turns.sliceBytes(this);
    this.unread = unread.length > sliceBytes ? unread.subarray(sliceBytes) : undefined;
    this.isWanted = false;
    this.pushToStream(this.unread ? unread.subarray(0, sliceBytes) : unread);
    const endedMs = performance.now();
    this.turns.worked(this, endedMs - startedMs, endedMs);
    if (!this.unread && this.hasEnded) this.end();
  }

  discard(): void {
    this.unread = undefined;
    this.turns.forget(this);
  }

  /** Takes what the socket has read. Returns whether it is to read on. */
  private onArrived(part: Buffer | null): boolean {
    if (part === null) {
      this.hasEnded = true;
      // A caller that has closed its connection is not waited for.
      this.release();
      if (!this.unread) return this.pushToStream(null);
      return false;
    }
    this.listener?.onBytes(this.socket);
    this.unread = this.unread ? Buffer.concat([this.unread, part]) : part;
    if (this.turns.isWaiting || !this.turns.mayContinue || this.isHeld) this.waitForTurn();
    else {
      this.passOn();
      // Begins the next turn once other events have been handled.
      this.schedule();
    }
    return this.unread === undefined;
  }

  private onWanted(bytes: number): void {
    this.isWanted = true;
    if (this.unread) this.waitForTurn();
    else if (!this.hasEnded) this.readFromSystem(bytes);
  }

  private waitForTurn(): void {
    if (!this.unread || !this.isWanted || this.isHeld) return;
    this.turns.wait(this, performance.now());
    this.schedule();
  }

  private end(): void {
    this.pushToStream(null);
    this.socket.read(0);
  }
}

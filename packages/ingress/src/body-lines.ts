/** Reads the lines of a request body while it arrives. Answers senders of lines that do not end. */
import type { Readable } from 'node:stream';

import type { Outcome } from '@fighub/core';
import { BodyParts, fail, ok } from '@fighub/core';

import type { HeldBody } from './request-bodies.js';

/** Bytes of whole lines that may wait for the reader before no more are taken from the connection. */
const MAX_WAITING_BYTES = 65_536;
const LINE_FEED = 0x0a;

/** Why a body has no next line. */
export const LineFault = { tooLong: 'too_long', noMemory: 'no_memory', closed: 'closed' } as const;
export type LineFault = (typeof LineFault)[keyof typeof LineFault];

/** The lines of one body, which ends at a line feed or with the body. Line feeds, and carriage returns before them, are left out. */
export class BodyLines {
  private parts = new BodyParts();
  private bytes = 0;
  private hasLineFeed = false;
  private hasEnded = false;
  /** Whether all lines, or the fault, have been read. */
  private isOver = false;
  private fault: LineFault | undefined;
  private wake: () => void = () => undefined;

  /** Takes what arrives from now on. `held` counts it until `release` is called. */
  constructor(
    private readonly body: Readable,
    private readonly maxLineBytes: number,
    private readonly held: HeldBody,
  ) {
    held.whenGivenUp(() => this.end(LineFault.noMemory));
    body.on('data', (part: Buffer) => this.onPart(part));
    body.once('end', () => this.end());
    body.on('error', () => this.end(LineFault.closed));
    body.once('close', () => this.end(LineFault.closed));
  }

  /** The lines in order. After a fault there are no more. */
  async *read(): AsyncGenerator<Outcome<string, LineFault>> {
    while (!this.isOver) {
      await this.whenAnyLine();
      yield* this.takeLines();
    }
  }

  /** Gives back the memory of the lines so far, which their reader does not keep any more. */
  release(): void {
    this.held.reset();
  }

  private onPart(part: Buffer): void {
    if (this.fault) return;
    if (!this.held.tryTake(this.parts.memoryFor(part.length))) {
      this.end(LineFault.noMemory);
      return;
    }
    this.keep(part);
    this.hasLineFeed ||= part.includes(LINE_FEED);
    const isFull = this.bytes >= (this.hasLineFeed ? MAX_WAITING_BYTES : this.maxLineBytes + 1);
    if (isFull) this.body.pause();
    if (isFull || this.hasLineFeed) this.wake();
  }

  private keep(part: Buffer): void {
    this.parts.add(part);
    this.bytes += part.length;
  }

  private end(fault?: LineFault): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.fault = fault;
    if (fault) this.parts.clear();
    this.wake();
  }

  private async whenAnyLine(): Promise<void> {
    const isReady = this.hasEnded || this.hasLineFeed || this.bytes > this.maxLineBytes;
    if (!isReady) await new Promise<void>((resolve) => (this.wake = resolve));
  }

  /** Takes the whole lines that have arrived. What follows the last of them is kept before what arrives while they are handled. */
  private takeLines(): Outcome<string, LineFault>[] {
    this.isOver = this.hasEnded;
    if (this.fault) return [fail(this.fault)];
    const all = this.parts.whole();
    this.parts = new BodyParts();
    this.bytes = 0;
    this.hasLineFeed = false;
    const end = all.lastIndexOf(LINE_FEED);
    const rest = all.subarray(end + 1);
    const lines = end < 0 ? [] : linesOf(all.subarray(0, end));
    if (this.hasEnded) return rest.length > 0 ? [...lines, ok(textOf(rest))] : lines;
    this.keep(rest);
    if (rest.length > this.maxLineBytes) this.end(LineFault.tooLong);
    else this.body.resume();
    return lines;
  }
}

/** The lines of bytes that hold whole lines only; a byte that is part of a character is never a line feed. */
function linesOf(bytes: Buffer): Outcome<string, LineFault>[] {
  return bytes
    .toString('latin1')
    .split('\n')
    .map((line) => ok(textOf(Buffer.from(line, 'latin1'))));
}

function textOf(line: Buffer): string {
  return line.toString('utf8').replace(/\r$/, '');
}

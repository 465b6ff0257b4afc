/** Writes log lines to a standard stream without waiting for its reader. */
import { constants, fstatSync, openSync, write, writeSync } from 'node:fs';

/** File descriptors of the standard streams. */
export const StandardStream = { output: 1, error: 2 } as const;

/** Size of the blocks in which lines are written unless another one is stated, and the period for what is less. */
const BLOCK_BYTES = 4_096;
const FLUSH_PERIOD_MS = 500;
/** Lines that are held while the reader does not read. Later ones are dropped. */
const MAX_HELD_BYTES = 1_048_576;
/** Time after which a write is made again that the reader had no room for. */
const RETRY_DELAY_MS = 100;
/** Pause between two attempts while the process waits for the reader at its end. */
const END_RETRY_DELAY_MS = 10;
/** Errors after which the same write may succeed. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EBUSY', 'EINTR']);

/** Buffers lines and writes them to a descriptor. Lines that cannot be written are counted and dropped. */
export class LogOutput {
  /** Lines that were dropped, because the reader does not read or the descriptor cannot be written. */
  droppedLines = 0;
  private lines: Buffer[] = [];
  private readonly descriptor: number;
  private heldBytes = 0;
  private isWriting = false;
  /** What is left of a block for which the reader had no room. Its first line may have been written in part. */
  private waitingBlock: Buffer | undefined;

  /** Lines are written once there are `blockBytes` of them, or after a period. */
  constructor(
    descriptor: number,
    private readonly blockBytes = BLOCK_BYTES,
  ) {
    stopWaitingForReaders();
    this.descriptor = withOwnMode(descriptor);
    setInterval(() => this.flush(), FLUSH_PERIOD_MS).unref();
  }

  /** Whether a write is to be made again, because the reader had no room for it. */
  get isWaiting(): boolean {
    return this.waitingBlock !== undefined;
  }

  /** Takes one line, which ends with a line break. */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.heldBytes + bytes.length > MAX_HELD_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(bytes);
    this.heldBytes += bytes.length;
    if (this.heldBytes >= this.blockBytes) this.flush();
  }

  /** Starts to write what is held, unless a write is under way. */
  flush(): void {
    if (this.isWriting || this.lines.length === 0) return;
    this.isWriting = true;
    this.writeBlock(this.takeHeld());
  }

  /** Writes what is held and then `line`, for at most `limitMs`. Returns whether all of it was written. */
  end(line: string, limitMs: number): boolean {
    const untilMs = performance.now() + limitMs;
    return writeUntil(this.descriptor, Buffer.concat([this.takeHeld(), Buffer.from(line)]), untilMs);
  }

  private takeHeld(): Buffer {
    const held = Buffer.concat(this.waitingBlock ? [this.waitingBlock, ...this.lines] : this.lines);
    this.waitingBlock = undefined;
    this.lines = [];
    return held;
  }

  private writeBlock(block: Buffer): void {
    write(this.descriptor, block, (error, written) => {
      if (error && PASSING_ERRORS.has(error.code)) {
        this.waitingBlock = block;
        setTimeout(() => this.writeWaitingBlock(), RETRY_DELAY_MS).unref();
        return;
      }
      if (error) this.droppedLines += countLines(block);
      this.heldBytes -= error ? block.length : written;
      const rest = block.subarray(written);
      if (!error && rest.length > 0) {
        this.writeBlock(rest);
        return;
      }
      this.isWriting = false;
      if (this.heldBytes >= this.blockBytes) this.flush();
    });
  }

  private writeWaitingBlock(): void {
    const block = this.waitingBlock;
    this.waitingBlock = undefined;
    if (block) this.writeBlock(block);
  }
}

/** Writes one line to a standard stream within `limitMs`. Returns whether it was written. */
export function writeLine(descriptor: number, line: string, limitMs: number): boolean {
  stopWaitingForReaders();
  return writeUntil(withOwnMode(descriptor), Buffer.from(line), performance.now() + limitMs);
}

/**
 * Opens a pipe again, so that its mode is not shared with other processes that write to it: one of them may let writes wait for the reader
 * again, as Node.js does at its end. Returns `descriptor` itself if it is no pipe or cannot be opened, as that of another user.
 */
function withOwnMode(descriptor: number): number {
  try {
    if (!fstatSync(descriptor).isFIFO()) return descriptor;
    return openSync(`/proc/self/fd/${String(descriptor)}`, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch {
    return descriptor;
  }
}

/**
 * Lets writes to a pipe fail while its reader does not read, where they would wait for it otherwise, also in the thread pool at the end of
 * the process. Node.js changes the mode of a pipe when it opens its stream.
 */
function stopWaitingForReaders(): void {
  [StandardStream.output, StandardStream.error].filter(isPipe).forEach((descriptor) => {
    const stream = descriptor === StandardStream.output ? process.stdout : process.stderr;
    // A reader that has left is not an error of this process.
    if (stream.listenerCount('error') === 0) stream.on('error', () => undefined);
  });
}

function isPipe(descriptor: number): boolean {
  try {
    const stat = fstatSync(descriptor);
    return stat.isFIFO() || stat.isSocket();
  } catch {
    return false;
  }
}

function writeUntil(descriptor: number, bytes: Buffer, untilMs: number): boolean {
  let rest = bytes;
  while (rest.length > 0) {
    const written = tryWrite(descriptor, rest);
    if (written === undefined) return false;
    rest = rest.subarray(written);
    if (rest.length > 0 && performance.now() >= untilMs) return false;
    if (written === 0) pause(END_RETRY_DELAY_MS);
  }
  return true;
}

/** Number of bytes that were written; undefined if the descriptor cannot be written. */
function tryWrite(descriptor: number, bytes: Buffer): number | undefined {
  try {
    return writeSync(descriptor, bytes);
  } catch (error) {
    return PASSING_ERRORS.has((error as NodeJS.ErrnoException).code) ? 0 : undefined;
  }
}

/** Blocks the thread. Used only at the end of the process. */
function pause(delayMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, delayMs);
}

function countLines(block: Buffer): number {
  return block.reduce((count, byte) => count + (byte === LINE_BREAK ? 1 : 0), 0);
}

const LINE_BREAK = 0x0a;

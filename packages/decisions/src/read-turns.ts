/**
 * Decides which connection's bytes are parsed next, and how many. Answers callers whose bytes take far more work than others, such as
 * bodies in chunks of one byte: 64 KB of them keep a process busy for some 30 ms, during which nobody else is served.
 */

/** Work after which other events of the process have their turn. */
const TURN_MS = 5;
/** Bytes of a connection that are parsed at a time: the fewest, of costly or unknown ones, and the most. */
const MIN_SLICE_BYTES = 2_048;
const MAX_SLICE_BYTES = 65_536;
/** The next slice of a connection is twice as long after one that took less than this, and a short one after one that took more. */
const CHEAP_SLICE_MS = 0.25;
const COSTLY_SLICE_MS = 1;
/**
 * Connections that have taken up to as much work lately are alike, and come in order of arrival. The choice of the next one then takes no
 * longer with more of them.
 */
const LEVELS_MS = [0, 0.25, 1, 4, 16, 64, Number.POSITIVE_INFINITY] as const;
/** Time in which the work that a connection has taken counts half. */
const HALF_LIFE_MS = 1_000;

/** What is known about the bytes of a connection. */
interface ConnectionWork {
  /** Work until `atMs`, less what was long ago. */
  workMs: number;
  atMs: number;
  sliceBytes: number;
}

/** The connections that have bytes to be parsed. Those that have taken the least work lately come first. */
export class ReadTurns<Connection extends object> {
  /** Those that wait, by the level of the work that they had taken by then. */
  private readonly waiting = LEVELS_MS.map(() => new Set<Connection>());
  private readonly known = new WeakMap<Connection, ConnectionWork>();
  private turnWorkMs = 0;

  /** Whether work may go on in this turn of the event loop. */
  get mayContinue(): boolean {
    return this.turnWorkMs < TURN_MS;
  }

  get isWaiting(): boolean {
    return this.waiting.some(({ size }) => size > 0);
  }

  /** Begins a turn, after other events of the process have been handled. */
  beginTurn(): void {
    this.turnWorkMs = 0;
  }

  /** Records that a connection has bytes to be parsed. */
  wait(connection: Connection, nowMs: number): void {
    if (this.waiting.some((level) => level.has(connection))) return;
    const workMs = this.recentWorkMs(connection, nowMs);
    this.waiting[LEVELS_MS.findIndex((maxMs) => workMs <= maxMs)]?.add(connection);
  }

  /** The connection whose bytes are parsed next, which does not wait any more; undefined if none waits. */
  next(): Connection | undefined {
    const [first] = this.waiting.find(({ size }) => size > 0) ?? [];
    if (first) this.forget(first);
    return first;
  }

  /** Bytes of a connection that are parsed at a time. */
  sliceBytes(connection: Connection): number {
    return this.known.get(connection)?.sliceBytes ?? MIN_SLICE_BYTES;
  }

  /** Records that a slice of a connection has taken `workMs`. */
  worked(connection: Connection, workMs: number, nowMs: number): void {
    this.turnWorkMs += workMs;
    const sliceBytes = nextSliceBytes(this.sliceBytes(connection), workMs);
    const total = this.recentWorkMs(connection, nowMs) + workMs;
    this.known.set(connection, { workMs: total, atMs: nowMs, sliceBytes });
  }

  /** Forgets a connection that has closed. */
  forget(connection: Connection): void {
    this.waiting.forEach((level) => level.delete(connection));
  }

  private recentWorkMs(connection: Connection, nowMs: number): number {
    const known = this.known.get(connection);
    return known ? known.workMs * 2 ** ((known.atMs - nowMs) / HALF_LIFE_MS) : 0;
  }
}

function nextSliceBytes(sliceBytes: number, workMs: number): number {
  if (workMs >= COSTLY_SLICE_MS) return MIN_SLICE_BYTES;
  return workMs < CHEAP_SLICE_MS ? Math.min(MAX_SLICE_BYTES, sliceBytes * 2) : sliceBytes;
}

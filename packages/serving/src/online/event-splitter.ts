/** Splits a stream of server-sent events into whole events without changing their bytes. */

/** One server-sent event. */
export interface RawEvent {
  /** The event as received, with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Undefined when the event has no numeric id. */
  readonly eventId?: number;
}

/** A response whose unfinished event is longer is not a stream of events, and is left. */
export const MAX_EVENT_BYTES = 1_048_576;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** Blank lines and comments, which belong to no event. */
const BETWEEN_EVENTS = /^(?::[^\n]*\n|\r?\n)*$/;
const DATA_LINE = /^data: ?(.*)$/gm;

/** What the bytes scanned so far end with. */
const ScanState = {
  insideLine: 'inside_line',
  /** A newline. */
  afterLine: 'after_line',
  /** A newline and a carriage return, which another newline may make a blank line. */
  afterLineAndReturn: 'after_line_and_return',
} as const;
type ScanState = (typeof ScanState)[keyof typeof ScanState];

/** Buffers the bytes of an incomplete event until the rest arrives. Each byte is scanned once. */
export class EventSplitter {
  private parts: Buffer[] = [];
  private size = 0;
  private state: ScanState = ScanState.insideLine;

  /** Adds received bytes and returns the events that they complete. */
  push(part: Buffer): RawEvent[] {
    const events: RawEvent[] = [];
    let rest = part;
    let end = this.scan(rest);
    while (end > 0) {
      const bytes = Buffer.concat([...this.parts, rest.subarray(0, end)]);
      events.push({ bytes, eventId: eventIdOf(bytes) });
      this.parts = [];
      this.size = 0;
      rest = rest.subarray(end);
      end = this.scan(rest);
    }
    if (rest.length > 0) this.parts.push(rest);
    this.size += rest.length;
    return events;
  }

  /** Whether the bytes after the last whole event begin another one, so that a stream must not end here. */
  get isInsideEvent(): boolean {
    return !BETWEEN_EVENTS.test(this.rest.toString('latin1'));
  }

  /** The bytes after the last whole event. */
  get rest(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Number of bytes after the last whole event. */
  get unfinishedBytes(): number {
    return this.size;
  }

  /** Scans the next bytes. Returns the index after the blank line that ends the event, or 0 when there is none. */
  private scan(bytes: Buffer): number {
    let at = 0;
    while (at < bytes.length) {
      if (this.state === ScanState.insideLine) {
        at = bytes.indexOf(NEWLINE, at);
        if (at < 0) return 0;
        at += 1;
        this.state = ScanState.afterLine;
        continue;
      }
      const byte = bytes[at];
      at += 1;
      if (byte === NEWLINE) {
        this.state = ScanState.insideLine;
        return at;
      }
      const mayBeBlank = byte === CARRIAGE_RETURN && this.state === ScanState.afterLine;
      this.state = mayBeBlank ? ScanState.afterLineAndReturn : ScanState.insideLine;
    }
    return 0;
  }
}

/** The data lines of an event, joined by newlines as the event stream format specifies. */
export function dataOf(event: RawEvent): string {
  return [...event.bytes.toString('utf8').matchAll(DATA_LINE)]
    .map((match) => (match[1] ?? '').replace(/\r$/, ''))
    .join('\n');
}

function eventIdOf(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}

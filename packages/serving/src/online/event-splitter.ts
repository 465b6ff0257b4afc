/** Splits a stream of server-sent events into whole events without changing their bytes. */

/** One server-sent event. */
export interface RawEvent {
  /** The event as received, with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Undefined when the event has no numeric id. */
  readonly eventId?: number;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** Blank lines and comments, which belong to no event. */
const BETWEEN_EVENTS = /^(?::[^\n]*\n|\r?\n)*$/;
const DATA_LINE = /^data: ?(.*)$/gm;

/** Buffers the bytes of an incomplete event until the rest arrives. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Adds received bytes and returns the events that they complete. */
  push(part: Buffer): RawEvent[] {
    this.pending = this.pending.length === 0 ? part : Buffer.concat([this.pending, part]);
    const events: RawEvent[] = [];
    let end = endOfEvent(this.pending);
    while (end > 0) {
      const bytes = this.pending.subarray(0, end);
      events.push({ bytes, eventId: eventIdOf(bytes) });
      this.pending = this.pending.subarray(end);
      end = endOfEvent(this.pending);
    }
    return events;
  }

  /** Whether the bytes after the last whole event begin another one, so that a stream must not end here. */
  get isInsideEvent(): boolean {
    return !BETWEEN_EVENTS.test(this.pending.toString('latin1'));
  }

  /** The bytes after the last whole event. */
  get rest(): Buffer {
    return this.pending;
  }
}

/** The data lines of an event, joined by newlines as the event stream format specifies. */
export function dataOf(event: RawEvent): string {
  return [...event.bytes.toString('utf8').matchAll(DATA_LINE)]
    .map((match) => (match[1] ?? '').replace(/\r$/, ''))
    .join('\n');
}

/** Index after the blank line that ends the first event, or 0 when there is none. */
function endOfEvent(bytes: Buffer): number {
  let at = bytes.indexOf(NEWLINE);
  while (at >= 0) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === NEWLINE) return next + 1;
    at = bytes.indexOf(NEWLINE, at + 1);
  }
  return 0;
}

function eventIdOf(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
}

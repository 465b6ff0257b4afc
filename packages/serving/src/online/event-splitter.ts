/**
 * Splits a stream of server-sent events into whole events without changing their bytes, and reads their fields. The format is that of
 * the WHATWG HTML standard: a line ends with CR LF, LF or CR and with nothing else, an empty line ends an event, and the stream may
 * begin with a byte order mark.
 */

/** One server-sent event. */
export interface RawEvent {
  /** The event as received, with the line end of the blank line that ends it. */
  readonly bytes: Buffer;
  /** `bytes` without a byte order mark at the start of the stream. */
  readonly content: Buffer;
  /** Undefined when the event has no numeric id. */
  readonly eventId?: number;
}

/** A response whose unfinished event is longer is not a stream of events, and is left. */
export const MAX_EVENT_BYTES = 1_048_576;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);
const LINE_END = /\r\n|\n|\r/;
const DECIMAL_ID = /^\d{1,15}$/;

/** Buffers the bytes of an incomplete event until the rest arrives. Each byte is scanned once. */
export class EventSplitter {
  private parts: Buffer[] = [];
  private size = 0;
  private isFirstEvent = true;
  /** Bytes of the current line; those of a byte order mark count. */
  private lineBytes = 0;
  /** Whether the last byte was a carriage return, so that a line feed belongs to the same line end. */
  private afterReturn = false;
  /** Whether the current event has a line that is not empty. */
  private hasLines = false;

  /** Adds received bytes and returns the events that they complete. */
  push(part: Buffer): RawEvent[] {
    const events: RawEvent[] = [];
    let rest = part;
    let end = this.scan(rest);
    while (end > 0) {
      const bytes = Buffer.concat([...this.parts, rest.subarray(0, end)]);
      const content = this.isFirstEvent ? withoutMark(bytes) : bytes;
      this.isFirstEvent = false;
      events.push({ bytes, content, eventId: eventIdOf(content) });
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
    const rest = this.isFirstEvent ? withoutMark(this.rest) : this.rest;
    const lines = rest.toString('latin1').split(LINE_END);
    const last = lines.pop() ?? '';
    return last !== '' || lines.some((line) => line !== '' && !line.startsWith(':'));
  }

  /** The bytes after the last whole event. */
  get rest(): Buffer {
    return Buffer.concat(this.parts);
  }

  /** Number of bytes after the last whole event. */
  get unfinishedBytes(): number {
    return this.size;
  }

  /**
   * Scans the next bytes. Returns the index after the first byte of the line end that ends the event, or after both of them if they are
   * here, or 0 when the event does not end. Blank lines before an event belong to it.
   */
  private scan(bytes: Buffer): number {
    for (let at = 0; at < bytes.length; at += 1) {
      const byte = bytes[at];
      const endsReturn = this.afterReturn && byte === LINE_FEED;
      this.afterReturn = byte === CARRIAGE_RETURN;
      if (endsReturn) continue;
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.lineBytes += 1;
        continue;
      }
      const isBlank = this.lineBytes === 0;
      this.hasLines ||= !isBlank;
      this.lineBytes = 0;
      if (isBlank && this.hasLines) {
        this.hasLines = false;
        return this.endOfLine(bytes, at);
      }
    }
    return 0;
  }

  private endOfLine(bytes: Buffer, at: number): number {
    if (!this.afterReturn || bytes[at + 1] !== LINE_FEED) return at + 1;
    this.afterReturn = false;
    return at + 2;
  }
}

/** The data lines of an event, joined by line feeds as the format specifies; undefined if the event has none. */
export function dataOf({ content }: RawEvent): string | undefined {
  const lines = valuesOf(content.toString('utf8'), 'data');
  return lines.length === 0 ? undefined : lines.join('\n');
}

/** The values of the lines of an event that have this field. A line without a colon is a field with an empty value. */
function valuesOf(event: string, field: string): string[] {
  return event.split(LINE_END).flatMap((line) => {
    if (line === field) return [''];
    if (!line.startsWith(`${field}:`)) return [];
    const value = line.slice(field.length + 1);
    return [value.startsWith(' ') ? value.slice(1) : value];
  });
}

/** The numeric id of an event. As the format specifies, the last line with an id counts. */
function eventIdOf(content: Buffer): number | undefined {
  const id = valuesOf(content.toString('latin1'), 'id').pop();
  return id !== undefined && DECIMAL_ID.test(id) ? Number(id) : undefined;
}

function withoutMark(bytes: Buffer): Buffer {
  const hasMark = bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
  return hasMark ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
}

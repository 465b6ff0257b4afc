import { array, assert, constantFrom, integer, oneof, property, string, uint8Array } from 'fast-check';
import { describe, expect, it } from 'vitest';

import { EventSplitter, dataOf } from './event-splitter.js';

const STREAM =
  'weight-versions: 3\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: comment\n\nid: 3\ndata: d';
const RUNS = { seed: 7, numRuns: 2_000 };
const SIZES = array(integer({ min: 1, max: 9 }));

interface ReadEvent {
  readonly id: number | undefined;
  readonly data: string;
}

/** A plain reader of the format: the events with data in the order in which a browser would dispatch them. */
function readPlainly(bytes: Buffer): ReadEvent[] {
  const text = new TextDecoder('utf-8').decode(bytes);
  const lines = text.split(/\r\n|\r|\n/);
  // What follows the last line end is no line yet.
  lines.pop();
  const events: ReadEvent[] = [];
  let id: number | undefined;
  let data: string[] = [];
  for (const line of lines) {
    if (line === '') {
      if (data.length > 0) events.push({ id, data: data.join('\n') });
      id = undefined;
      data = [];
      continue;
    }
    const colon = line.indexOf(':');
    if (colon === 0) continue;
    const field = colon < 0 ? line : line.slice(0, colon);
    const rest = colon < 0 ? '' : line.slice(colon + 1);
    const value = rest.startsWith(' ') ? rest.slice(1) : rest;
    if (field === 'data') data.push(value);
    if (field === 'id') id = /^\d{1,15}$/.test(value) ? Number(value) : undefined;
  }
  return events;
}

/** The events that the splitter finds in a stream that arrives in parts of these sizes. */
function split(bytes: Buffer, sizes: readonly number[]) {
  const splitter = new EventSplitter();
  const whole: Buffer[] = [];
  const events: ReadEvent[] = [];
  let at = 0;
  [...sizes, bytes.length].forEach((size) => {
    splitter.push(bytes.subarray(at, at + size)).forEach((event) => {
      whole.push(event.bytes);
      const data = dataOf(event);
      if (data !== undefined) events.push({ id: event.eventId, data });
    });
    at += size;
  });
  return { splitter, events, bytes: Buffer.concat([...whole, splitter.rest]) };
}

const LINE_END = constantFrom('\n', '\r\n', '\r');
/** Texts of data with the characters that other formats, or the language, take for line ends and blanks. */
const TEXT = oneof(
  string({ unit: 'grapheme', maxLength: 8 }),
  string({
    unit: constantFrom(...'a: \u2028\u2029\u0085\v\f\x1c\x1d\x1e\ufeff\u00a0č\0\t'.split('')),
    maxLength: 8,
  }),
);
const LINE = oneof(
  TEXT.map((text) => `data: ${text}`),
  TEXT.map((text) => `data:${text}`),
  integer({ min: 0, max: 99 }).map((id) => `id: ${String(id)}`),
  constantFrom('data', 'id', ': comment', 'weight-versions: 3', 'id: 1x', 'id: 007', 'datax: y', ' data: z'),
  constantFrom('', ''),
);
const ANY_STREAM = array(
  LINE.chain((line) => LINE_END.map((end) => `${line.replaceAll(/[\r\n]/g, '')}${end}`)),
  { maxLength: 24 },
).chain((lines) => constantFrom('', '\ufeff').map((mark) => Buffer.from(mark + lines.join(''))));

describe('EventSplitter', () => {
  it('returns whole events with their ids and keeps the bytes after them', () => {
    const splitter = new EventSplitter();
    const events = splitter.push(Buffer.from(STREAM));
    expect(events.map((event) => event.eventId)).toEqual([1, 2, undefined]);
    expect(events.map(dataOf)).toEqual(['a\nb', 'c', undefined]);
    expect(splitter.rest.toString()).toBe('id: 3\ndata: d');
  });

  // Guards against texts that end, or events that are missed, at characters which are line ends elsewhere.
  it('finds the events and texts of a plain reader of the format, however the stream is split', () => {
    assert(
      property(ANY_STREAM, SIZES, (bytes, sizes) => {
        expect(split(bytes, sizes).events).toEqual(readPlainly(bytes));
      }),
      RUNS,
    );
  });

  it('preserves every byte, however the stream is split into parts', () => {
    const parts = oneof(string().map(Buffer.from), uint8Array().map(Buffer.from), ANY_STREAM);
    assert(
      property(parts, SIZES, (part, sizes) => {
        const bytes = Buffer.concat([Buffer.from(STREAM), part, Buffer.from(STREAM)]);
        expect(split(bytes, sizes).bytes.equals(bytes)).toBe(true);
      }),
      RUNS,
    );
  });

  it.each([
    ['', false],
    ['\ufeff', false],
    ['\r', false],
    ['\n\r\n', false],
    [': comment\r', false],
    [': comment', true],
    ['id: 1\n', true],
    ['id: 1\ndata: a\n\n', false],
    ['id: 1\ndata: a\r\r', false],
    ['id: 1\ndata: a\r\n\r', false],
    ['id: 1\ndata: a\r\n\r\ndata', true],
  ])('tells for %j whether a stream that ends here would end inside an event', (text, isInside) => {
    expect(split(Buffer.from(text), []).splitter.isInsideEvent).toBe(isInside);
  });
});

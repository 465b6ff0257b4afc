import { assert, array, integer, property, string } from 'fast-check';
import { describe, expect, it } from 'vitest';

import { EventSplitter, dataOf } from './event-splitter.js';

const STREAM =
  'weight-versions: 3\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: comment\n\nid: 3\ndata: d';

describe('EventSplitter', () => {
  it('returns whole events with their ids and keeps the bytes after them', () => {
    const splitter = new EventSplitter();
    const events = splitter.push(Buffer.from(STREAM));
    expect(events.map((event) => event.eventId)).toEqual([1, 2, undefined]);
    expect(events.map(dataOf)).toEqual(['a\nb', 'c', '']);
    expect(splitter.rest.toString()).toBe('id: 3\ndata: d');
  });

  it('preserves every byte, however the stream is split into parts', () => {
    assert(
      property(string(), array(integer({ min: 1, max: 9 })), (text, sizes) => {
        const bytes = Buffer.from(STREAM + text + STREAM);
        const splitter = new EventSplitter();
        const whole: Buffer[] = [];
        let at = 0;
        [...sizes, bytes.length].forEach((size) => {
          splitter.push(bytes.subarray(at, at + size)).forEach((event) => whole.push(event.bytes));
          at += size;
        });
        expect(Buffer.concat([...whole, splitter.rest]).equals(bytes)).toBe(true);
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});

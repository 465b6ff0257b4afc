import type { Route } from '@fighub/core';
import { SystemClock } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import type { ResponseSink } from './forwarding.js';
import { BodyFraming } from './forwarding.js';
import { ResponseRelay } from './response-relay.js';

const ROUTE = { name: 'once', kind: 'streaming', resumable: false } as Route;
const HEAD = { status: 200, headers: [], notRun: false, framing: BodyFraming.connection };

/** Passes on a stream that ends after these parts. Returns what the caller received, and whether it was delivered. */
function relayStream(parts: readonly string[]): { written: string[]; delivered: boolean } {
  const written: string[] = [];
  const sink: ResponseSink = {
    head: ({ status }) => written.push(`head ${String(status)}`),
    data: (part) => written.push(part.toString()),
    end: () => written.push('end'),
    cut: () => written.push('cut'),
    refuse: () => written.push('refuse'),
  };
  const relay = new ResponseRelay(ROUTE, 'q1', undefined, sink, new SystemClock());
  const attempt = relay.startAttempt(new AbortController().signal, {
    onLoad: () => undefined,
    onLeaving: () => undefined,
    onFirstEvent: () => undefined,
  });
  attempt.onHead(HEAD);
  parts.forEach((part) => attempt.onData(Buffer.from(part)));
  attempt.close();
  const delivered = attempt.deliver();
  return { written, delivered };
}

describe('ResponseRelay', () => {
  it('does not end the response after a stream that ended inside an event', () => {
    expect(relayStream(['id: 1\ndata: a\n\n', 'id: 2\ndata: b'])).toEqual({
      written: ['head 200', 'id: 1\ndata: a\n\n'],
      delivered: false,
    });
  });

  it('does not end the response after a last event that lacks its blank line', () => {
    expect(relayStream(['id: 1\ndata: a\n\nid: 2\ndata: b\n']).delivered).toBe(false);
  });

  it.each(['', '\n', '\r\n', ': comment\n', ': comment\n\n'])(
    'ends the response after a whole stream that is followed by %j',
    (rest) => {
      const { written, delivered } = relayStream([`id: 1\ndata: a\n\n${rest}`]);
      expect(delivered).toBe(true);
      expect(written.at(-1)).toBe('end');
      expect(written.slice(1, -1).join('')).toBe(`id: 1\ndata: a\n\n${rest}`);
    },
  );
});

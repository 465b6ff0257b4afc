import type { Route } from '@fighub/core';
import { SystemClock } from '@fighub/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

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
    onRequestLimit: () => undefined,
    onLeaving: () => undefined,
    onFirstEvent: () => undefined,
    onSoundPrompt: () => undefined,
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

  describe('with a route that allows to resume', () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }));
    afterEach(() => vi.useRealTimers());

    /** Whether an attempt is stopped while bytes that complete no event arrive every `periodMs` for 5 s. */
    async function isStopped(kind: Route['kind'], periodMs: number): Promise<boolean> {
      const sink = { head: () => undefined, data: () => undefined } as unknown as ResponseSink;
      const route = { ...ROUTE, kind, resumable: true };
      const relay = new ResponseRelay(route, 'q1', undefined, sink, new SystemClock());
      const attempt = relay.startAttempt(new AbortController().signal, {
        onLoad: () => undefined,
        onRequestLimit: () => undefined,
        onLeaving: () => undefined,
        onFirstEvent: () => undefined,
        onSoundPrompt: () => undefined,
      });
      attempt.onHead(HEAD);
      for (let passedMs = 0; passedMs < 5_000 && !attempt.signal.aborted; passedMs += periodMs) {
        await vi.advanceTimersByTimeAsync(periodMs);
        if (!attempt.signal.aborted) attempt.onData(Buffer.from('x'));
      }
      attempt.close();
      return attempt.signal.aborted;
    }

    it('leaves a stream that completes no event', async () => {
      expect(await isStopped('streaming', 300)).toBe(true);
    });

    it('goes on with a long response that is no stream, and leaves a silent one', async () => {
      expect(await isStopped('safe', 300)).toBe(false);
      expect(await isStopped('safe', 1_000)).toBe(true);
    });
  });
});

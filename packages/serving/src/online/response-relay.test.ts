import type { Route } from '@fighub/core';
import { SystemClock } from '@fighub/core';
import { BufferBudget } from '@fighub/decisions';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { ResponseSink } from './forwarding.js';
import { BodyFraming } from './forwarding.js';
import type { AttemptObserver } from './response-relay.js';
import { ResponseRelay } from './response-relay.js';

const ROUTE = { name: 'once', kind: 'streaming', resumable: false } as Route;
const HEAD = { status: 200, headers: [], notRun: false, framing: BodyFraming.connection };

const OBSERVER: AttemptObserver = {
  onLoad: () => undefined,
  onRequestLimit: () => undefined,
  onLeaving: () => undefined,
  mayPassOn: () => true,
  onFirstEvent: () => undefined,
  onSoundPrompt: () => undefined,
};

/** Passes on a stream that ends after these parts. Returns what the caller received, and whether it was delivered. */
function relayStream(parts: readonly string[]): { written: string[]; delivered: boolean } {
  const written: string[] = [];
  const sink: ResponseSink = {
    head: ({ status }) => written.push(`head ${String(status)}`),
    data: (part) => written.push(part.toString()),
    whenDrained: () => undefined,
    end: () => written.push('end'),
    cut: () => written.push('cut'),
    refuse: () => written.push('refuse'),
  };
  const relay = new ResponseRelay(ROUTE, 'q1', undefined, sink, new SystemClock(), new BufferBudget(1_000));
  const attempt = relay.startAttempt(new AbortController().signal, OBSERVER);
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

  it('does not keep each of many small parts of a whole response, which take far more memory than their bytes', () => {
    const concat = vi.spyOn(Buffer, 'concat');
    const received: Buffer[] = [];
    const ignored = () => undefined;
    const sink: ResponseSink = {
      head: ignored,
      data: (part) => received.push(part),
      whenDrained: ignored,
      end: ignored,
      cut: ignored,
      refuse: ignored,
    };
    const route = { name: 'once', kind: 'once', resumable: false } as unknown as Route;
    const relay = new ResponseRelay(
      route,
      'q1',
      undefined,
      sink,
      new SystemClock(),
      new BufferBudget(100_000),
    );
    const attempt = relay.startAttempt(new AbortController().signal, OBSERVER);
    attempt.onHead(HEAD);
    for (let index = 0; index < 20_000; index += 1) attempt.onData(Buffer.alloc(1, 'x'));
    expect(attempt.deliver()).toBe(true);
    // The parts are given up with the attempt.
    const most = Math.max(...concat.mock.calls.map(([parts]) => parts.length));
    concat.mockRestore();
    attempt.close();
    expect(received).toEqual([Buffer.alloc(20_000, 'x')]);
    expect(most).toBeLessThanOrEqual(20);
  });

  describe('with a route that allows to resume', () => {
    beforeEach(() => vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }));
    afterEach(() => vi.useRealTimers());

    /** Whether an attempt is stopped while bytes that complete no event arrive every `periodMs` for 5 s. */
    async function isStopped(kind: Route['kind'], periodMs: number): Promise<boolean> {
      const sink = { head: () => undefined, data: () => undefined } as unknown as ResponseSink;
      const route = { ...ROUTE, kind, resumable: true };
      const relay = new ResponseRelay(
        route,
        'q1',
        undefined,
        sink,
        new SystemClock(),
        new BufferBudget(1_000),
      );
      const attempt = relay.startAttempt(new AbortController().signal, OBSERVER);
      attempt.onHead(HEAD);
      for (let passedMs = 0; passedMs < 5_000 && !attempt.signal.aborted; passedMs += periodMs) {
        await vi.advanceTimersByTimeAsync(periodMs);
        if (!attempt.signal.aborted) attempt.onData(Buffer.from('x'));
      }
      attempt.close();
      return attempt.signal.aborted;
    }

    it('does not take a caller that does not keep up for a stalled replica', async () => {
      let drain: () => void = () => undefined;
      const drained = new Promise<void>((resolve) => (drain = resolve));
      const sink = {
        head: () => undefined,
        data: () => undefined,
        whenDrained: () => drained,
      } as unknown as ResponseSink;
      const route = { ...ROUTE, resumable: true };
      const budget = new BufferBudget(1_000);
      const relay = new ResponseRelay(route, 'q1', undefined, sink, new SystemClock(), budget);
      const attempt = relay.startAttempt(new AbortController().signal, OBSERVER);
      attempt.onHead(HEAD);
      attempt.onData(Buffer.from('id: 1\ndata: a\n\n'));
      expect(attempt.whenReady()).toBe(drained);
      await vi.advanceTimersByTimeAsync(5_000);
      expect(attempt.signal.aborted).toBe(false);
      drain();
      await vi.advanceTimersByTimeAsync(2_500);
      expect(attempt.signal.aborted).toBe(true);
    });

    it('leaves a stream that completes no event', async () => {
      expect(await isStopped('streaming', 300)).toBe(true);
    });

    it('goes on with a long response that is no stream, and leaves a silent one', async () => {
      expect(await isStopped('safe', 300)).toBe(false);
      // A sound replica may be silent for a second or so. Callers leave after two.
      expect(await isStopped('safe', 1_200)).toBe(false);
      expect(await isStopped('safe', 1_700)).toBe(true);
    });
  });

  it.each([
    [200, [2]],
    [503, [2]],
    [421, []],
  ])('takes the limit in a response with status %s for that of the replica: %j', (status, expected) => {
    const limits: (number | undefined)[] = [];
    const sink = {} as unknown as ResponseSink;
    const budget = new BufferBudget(1_000);
    const relay = new ResponseRelay(ROUTE, 'q1', undefined, sink, new SystemClock(), budget);
    const attempt = relay.startAttempt(new AbortController().signal, {
      ...OBSERVER,
      onRequestLimit: (limit) => limits.push(limit),
    });
    attempt.onHead({ ...HEAD, status, requestsPerSecond: 2 });
    expect(limits).toEqual(expected);
  });

  describe('with a response that does not end', () => {
    const MIB = 1_048_576;

    /** Sends the same bytes until the attempt is left, at most 100 MiB. Returns the bytes that were sent. */
    function sendUntilLeft(kind: Route['kind'], part: Buffer, budget: BufferBudget): number {
      const sink = { head: () => undefined, data: () => undefined } as unknown as ResponseSink;
      const route = { ...ROUTE, kind };
      const relay = new ResponseRelay(route, 'q1', undefined, sink, new SystemClock(), budget);
      const attempt = relay.startAttempt(new AbortController().signal, OBSERVER);
      attempt.onHead(HEAD);
      let sentBytes = 0;
      while (!attempt.signal.aborted && sentBytes < 100 * MIB) {
        attempt.onData(part);
        sentBytes += part.length;
      }
      expect(attempt.isEndless).toBe(true);
      expect(attempt.deliver()).toBe(false);
      attempt.close();
      return sentBytes;
    }

    it('leaves a stream whose event does not end, whatever the size of its pieces', () => {
      const budget = new BufferBudget(0);
      expect(sendUntilLeft('streaming', Buffer.alloc(64_000, 'x'), budget)).toBeLessThan(2 * MIB);
      expect(sendUntilLeft('streaming', Buffer.from('data: x\n'), budget)).toBeLessThan(2 * MIB);
    });

    it('leaves a body that does not end, and gives its memory back', () => {
      const budget = new BufferBudget(64 * MIB);
      const part = Buffer.alloc(64_000, 'x');
      expect(sendUntilLeft('safe', part, budget)).toBeLessThan(17 * MIB);
      expect(budget.take(64 * MIB)).toBe(true);
    });

    it('leaves it sooner when other responses use the memory', () => {
      const budget = new BufferBudget(64 * MIB);
      budget.take(60 * MIB);
      expect(sendUntilLeft('safe', Buffer.alloc(64_000, 'x'), budget)).toBeLessThan(5 * MIB);
    });
  });
});

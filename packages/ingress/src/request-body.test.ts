import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { RequestBodies } from './request-bodies.js';
import { readRequestBody } from './request-body.js';

const LIMIT_MS = 10_000;
const SHORT_LIMIT_MS = 50;
const BUDGET = { take: () => true, release: () => undefined };

/** Reads a body that arrives in `parts`. */
function read(parts: Iterable<Buffer>) {
  const untilMs = performance.now() + LIMIT_MS;
  const arriving = Readable.from(parts) as IncomingMessage;
  return readRequestBody(arriving, { maxBytes: 1_000_000, untilMs }, new RequestBodies(BUDGET).open());
}

describe('readRequestBody', () => {
  afterEach(() => vi.restoreAllMocks());

  it('does not keep each of many small parts, which take far more memory than their bytes', async () => {
    const concat = vi.spyOn(Buffer, 'concat');
    const body = await read(Array.from({ length: 20_000 }, () => Buffer.alloc(1, 'x')));
    expect(body.ok && body.value.equals(Buffer.alloc(20_000, 'x'))).toBe(true);
    expect(Math.max(...concat.mock.calls.map(([parts]) => parts.length))).toBeLessThanOrEqual(20);
  });

  it('gives up what has arrived when the time limit has passed, although its connection stays open', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    let close: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => (close = resolve));
    let arrived: WeakRef<Buffer> | undefined;
    const arriving = (async function* () {
      yield* (function* () {
        const part = Buffer.alloc(100_000);
        arrived = new WeakRef(part);
        yield part;
      })();
      yield Buffer.from('the last part is kept by the loop that waits for the next');
      await closed;
    })();
    const limits = { maxBytes: 1_000_000, untilMs: performance.now() + SHORT_LIMIT_MS };
    const held = new RequestBodies(BUDGET).open();
    const body = await readRequestBody(Readable.from(arriving) as IncomingMessage, limits, held);
    expect(!body.ok && body.error.code).toBe('deadline_passed');
    await vi.waitFor(() => {
      collectGarbage();
      expect(arrived?.deref()).toBeUndefined();
    });
    close();
  });

  it.each([
    ['allocUnsafeSlow', 2],
    ['concat', 100_000],
  ] as const)(
    'fails with an unexpected error of %s, such as one for lack of memory, instead of leaving the request open',
    async (method, bytes) => {
      const lackOfMemory = new RangeError('Array buffer allocation failed');
      const parts = [Buffer.alloc(bytes), Buffer.alloc(bytes)];
      vi.spyOn(Buffer, method).mockImplementation(() => {
        throw lackOfMemory;
      });
      await expect(read(parts)).rejects.toBe(lackOfMemory);
    },
  );
});

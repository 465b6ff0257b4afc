import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { FrameKind, FrameReader, MAX_FRAME_BYTES, encodeFrame, sharedFrame } from './frame.js';

describe('FrameReader', () => {
  it('decodes frames unchanged however the bytes are split', () => {
    fc.assert(
      fc.property(
        fc.array(fc.jsonValue(), { maxLength: 5 }),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 }),
        (bodies, cuts) => {
          const frames = bodies.map((body, callId) => ({ kind: FrameKind.request, name: 'x', callId, body }));
          const bytes = Buffer.concat(frames.map(encodeFrame));
          const reader = new FrameReader();
          const out: unknown[] = [];
          let at = 0;
          let cutIndex = 0;
          while (at < bytes.length) {
            const end = at + (cuts[cutIndex++ % cuts.length] ?? 1);
            const read = reader.push(bytes.subarray(at, end));
            if (read.ok) out.push(...read.value);
            at = end;
          }
          expect(JSON.stringify(out)).toBe(JSON.stringify(frames));
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });

  it('never throws on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        expect(() => new FrameReader().push(Buffer.from(bytes))).not.toThrow();
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });

  it('never throws on arbitrary bodies with a correct length', () => {
    fc.assert(
      fc.property(fc.uint8Array({ minLength: 1, maxLength: 200 }), (bytes) => {
        const header = Buffer.alloc(4);
        header.writeUInt32BE(bytes.length);
        expect(() => new FrameReader().push(Buffer.concat([header, Buffer.from(bytes)]))).not.toThrow();
      }),
      { seed: 6, numRuns: 1_000 },
    );
  });

  it('rejects a length over the limit before the body arrives', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    expect(new FrameReader().push(header).ok).toBe(false);
  });
});

describe('sharedFrame', () => {
  it('encodes a frame for several connections once, as for a single one', () => {
    const frame = { kind: FrameKind.notice, name: 'n', body: { a: 1 } };
    const single = encodeFrame(frame);
    const shared = sharedFrame(frame);
    expect(encodeFrame(shared)).toEqual(single);
    expect(encodeFrame(shared)).toBe(encodeFrame(shared));
  });
});

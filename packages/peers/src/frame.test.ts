import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Frame } from './frame.js';
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
            expect(reader.push(bytes.subarray(at, end), (frame) => out.push(frame)).ok).toBe(true);
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
        expect(() => new FrameReader().push(Buffer.from(bytes), () => undefined)).not.toThrow();
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });

  it('never throws on arbitrary bodies with a correct length', () => {
    fc.assert(
      fc.property(fc.uint8Array({ minLength: 1, maxLength: 200 }), (bytes) => {
        const header = Buffer.alloc(4);
        header.writeUInt32BE(bytes.length);
        expect(() =>
          new FrameReader().push(Buffer.concat([header, Buffer.from(bytes)]), () => undefined),
        ).not.toThrow();
      }),
      { seed: 6, numRuns: 1_000 },
    );
  });

  it('rejects a length over the limit before the body arrives', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    expect(new FrameReader().push(header, () => undefined).ok).toBe(false);
  });

  it('applies a changed limit to the frames after the one at which it was changed', () => {
    const reader = new FrameReader(100);
    const frames: Frame[] = [];
    const [short, long] = ['', 'a'.repeat(200)].map((body) => encodeFrame({ kind: FrameKind.request, body }));
    const read = reader.push(Buffer.concat([short ?? Buffer.alloc(0), long ?? Buffer.alloc(0)]), (frame) => {
      frames.push(frame);
      reader.maxFrameBytes = MAX_FRAME_BYTES;
    });
    expect(read.ok).toBe(true);
    expect(frames).toHaveLength(2);
    expect(new FrameReader(100).push(long ?? Buffer.alloc(0), () => undefined).ok).toBe(false);
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

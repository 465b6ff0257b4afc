/**
 * Frames between instances: the body length as a 4-byte big-endian integer, then the body as one CBOR value.
 */
import type { Outcome } from '@fighub/core';
import { fail, ok } from '@fighub/core';
import { Encoder } from 'cbor-x';

/** Largest body of a frame, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Largest body of a frame of the handshake, in bytes, whose sender may be anybody. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;
const HEADER_BYTES = 4;

/** Kinds of frames. Hellos and proofs form the handshake. A notice is a one-way message. */
export const FrameKind = {
  hello: 'hello',
  proof: 'proof',
  request: 'request',
  response: 'response',
  notice: 'notice',
  heartbeat: 'heartbeat',
} as const;
export type FrameKind = (typeof FrameKind)[keyof typeof FrameKind];

/** One frame. Unknown fields from newer releases are accepted here; the handlers ignore them. */
export interface Frame {
  readonly kind: FrameKind;
  /** Name of the message; set for requests and notices. */
  readonly name?: string;
  /** Matches a response to its request. */
  readonly callId?: number;
  readonly body?: unknown;
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const KINDS: ReadonlySet<unknown> = new Set(Object.values(FrameKind));

/** Encoded forms of the frames that are sent on several connections. */
const sharedBytes = new WeakMap<Frame, Buffer>();

/** Marks a frame that is sent on several connections, so that it is encoded only once. It must not change afterwards. */
export function sharedFrame(frame: Frame): Frame {
  sharedBytes.set(frame, encode(frame));
  return frame;
}

/** Encodes a frame, including its length header. */
export function encodeFrame(frame: Frame): Buffer {
  return sharedBytes.get(frame) ?? encode(frame);
}

function encode(frame: Frame): Buffer {
  const body = encoder.encode(frame);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/**
 * Decodes frames from a stream of bytes. After a failure the stream is unusable and its connection must be
 * closed.
 */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /** `maxFrameBytes` limits the body of each frame and may be changed between two frames. */
  constructor(public maxFrameBytes = MAX_FRAME_BYTES) {}

  /** Adds bytes, and passes each frame that they complete to `onFrame`. Fails with the reason if the stream is invalid. */
  push(bytes: Buffer, onFrame: (frame: Frame) => void): Outcome<void, string> {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    while (this.buffered.length >= HEADER_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length > this.maxFrameBytes) return fail(`a frame of ${String(length)} bytes is over the limit`);
      if (this.buffered.length < HEADER_BYTES + length) break;
      const frame = decodeBody(this.buffered.subarray(HEADER_BYTES, HEADER_BYTES + length));
      if (!frame.ok) return frame;
      this.buffered = this.buffered.subarray(HEADER_BYTES + length);
      onFrame(frame.value);
    }
    return ok(undefined);
  }
}

function decodeBody(body: Buffer): Outcome<Frame, string> {
  try {
    const value = encoder.decode(body) as unknown;
    return isFrame(value) ? ok(value) : fail('the value is not a frame');
  } catch {
    return fail('the body is not valid CBOR');
  }
}

function isFrame(value: unknown): value is Frame {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  const frame = value as Partial<Frame>;
  const isNameValid = frame.name === undefined || typeof frame.name === 'string';
  const isCallIdValid = frame.callId === undefined || typeof frame.callId === 'number';
  return KINDS.has(frame.kind) && isNameValid && isCallIdValid;
}

/** Handshake on a new connection: both ends prove that they know the fleet's secret without sending it. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Oldest and newest protocol versions that this release supports. */
export const PROTOCOL_VERSIONS = { oldest: 1, newest: 1 } as const;
const NONCE_BYTES = 16;

/** Body of the first frame that each end sends. */
export interface HelloBody {
  readonly oldestVersion: number;
  readonly newestVersion: number;
  readonly instanceId: string;
  /** Random hexadecimal text, fresh for each connection, so that a proof cannot be replayed. */
  readonly nonce: string;
}

/** Creates a hello with a fresh nonce. */
export function newHello(instanceId: string): HelloBody {
  return {
    oldestVersion: PROTOCOL_VERSIONS.oldest,
    newestVersion: PROTOCOL_VERSIONS.newest,
    instanceId,
    nonce: randomBytes(NONCE_BYTES).toString('hex'),
  };
}

/** Whether this release supports a protocol version that the sender of `hello` supports too. */
export function versionsOverlap(hello: HelloBody): boolean {
  return hello.oldestVersion <= PROTOCOL_VERSIONS.newest && hello.newestVersion >= PROTOCOL_VERSIONS.oldest;
}

/**
 * Computes the proof that the sender of `own` sends to the sender of `other`: an HMAC of both hellos with the secret
 * as key. It also covers `direction`, which is `dial` for the dialling end and `accept` for the accepting end.
 */
export function proofOf(secret: string, own: HelloBody, other: HelloBody, direction: string): string {
  const text = [direction, own.instanceId, own.nonce, other.instanceId, other.nonce].join('|');
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Whether a received proof is the expected one. Proofs of the expected length are compared in constant time. */
export function proofMatches(expected: string, given: unknown): boolean {
  if (typeof given !== 'string' || given.length !== expected.length) return false;
  return timingSafeEqual(Buffer.from(expected), Buffer.from(given));
}

/** Whether a received body has the fields of a hello. */
export function isHello(body: unknown): body is HelloBody {
  const hello = body as Partial<HelloBody> | null | undefined;
  return (
    typeof hello?.instanceId === 'string' &&
    typeof hello.nonce === 'string' &&
    typeof hello.oldestVersion === 'number' &&
    typeof hello.newestVersion === 'number'
  );
}

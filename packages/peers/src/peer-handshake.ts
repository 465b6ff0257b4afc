/** Mutual proof of the fleet's secret on a new connection. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Oldest and newest protocol versions that this release speaks. */
export const PROTOCOL_VERSIONS = { oldest: 1, newest: 1 } as const;
const NONCE_BYTES = 16;

/** First message of both ends. */
export interface HelloBody {
  readonly oldestVersion: number;
  readonly newestVersion: number;
  readonly instanceId: string;
  readonly nonce: string;
}

/** A hello with a fresh nonce. */
export function newHello(instanceId: string): HelloBody {
  return {
    oldestVersion: PROTOCOL_VERSIONS.oldest,
    newestVersion: PROTOCOL_VERSIONS.newest,
    instanceId,
    nonce: randomBytes(NONCE_BYTES).toString('hex'),
  };
}

/** Whether two ends have a protocol version in common. */
export function versionsOverlap(hello: HelloBody): boolean {
  return hello.oldestVersion <= PROTOCOL_VERSIONS.newest && hello.newestVersion >= PROTOCOL_VERSIONS.oldest;
}

/** Proof by the sender of `own` towards the sender of `other`. The direction is part of it. */
export function proofOf(secret: string, own: HelloBody, other: HelloBody, direction: string): string {
  const text = [direction, own.instanceId, own.nonce, other.instanceId, other.nonce].join('|');
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Compares proofs in constant time. */
export function proofMatches(expected: string, given: unknown): boolean {
  if (typeof given !== 'string' || given.length !== expected.length) return false;
  return timingSafeEqual(Buffer.from(expected), Buffer.from(given));
}

/** Whether a received body has the form of a hello. */
export function isHello(body: unknown): body is HelloBody {
  const hello = body as Partial<HelloBody> | null | undefined;
  return (
    typeof hello?.instanceId === 'string' &&
    typeof hello.nonce === 'string' &&
    typeof hello.oldestVersion === 'number' &&
    typeof hello.newestVersion === 'number'
  );
}

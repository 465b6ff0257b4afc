import { createHash } from 'node:crypto';

import type { ForwardedRequest } from './forwarding.js';

const DIGEST_CHARACTERS = 22;
/**
 * Header that identifies a caller without an organisation, in lower case. Platforms without it tell callers apart by their
 * hosts only.
 */
const CALLER_HEADER = 'authorization';

/** The parts of a request that are the same when a caller repeats it. */
export type RepeatedRequest = Pick<
  ForwardedRequest,
  'method' | 'host' | 'target' | 'headers' | 'organisation' | 'body'
>;

/**
 * Identifies what a caller asks for: repeats of a request have the same digest, requests with another method, host, path,
 * caller or body have another one. Other headers do not count, since attempt ids and deadlines differ between repeats.
 */
export function requestDigest({
  method,
  host,
  target,
  headers,
  organisation,
  body,
}: RepeatedRequest): string {
  const caller = organisation ?? headers.find(([name]) => name.toLowerCase() === CALLER_HEADER)?.[1] ?? '';
  // The JSON text shows where each value ends.
  return createHash('blake2b512')
    .update(JSON.stringify([method, host, target, caller]))
    .update(body)
    .digest('base64url')
    .slice(0, DIGEST_CHARACTERS);
}

/** Determines from an error whether any byte of an HTTP request may have reached its target. */
import { RequestError, TimeoutError } from 'got';

const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);
const NOT_SENT_PHASES: ReadonlySet<string> = new Set(['lookup', 'connect']);

/** True only when the error proves that no connection was made. In case of doubt the request counts as sent. */
export function isNotSent(error: unknown): boolean {
  if (error instanceof TimeoutError) return NOT_SENT_PHASES.has(error.event);
  return error instanceof RequestError && NOT_SENT_CODES.has(error.code);
}

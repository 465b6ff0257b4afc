import { isFinalStatus, isHeaderName, isHeaderValue } from '@fighub/core';

import type { ResponseHead } from './forwarding.js';

/**
 * Why the head of a response is none that can be passed on, or undefined if it can. HTTP parsers take any three digits for a status and
 * nothing for the name of a header, which no response to a caller can hold.
 */
export function headFault({ status, headers }: ResponseHead): string | undefined {
  if (!isFinalStatus(status)) return `the response has the status ${String(status)}`;
  const odd = headers.find(([name, value]) => !isHeaderName(name) || !isHeaderValue(value));
  return odd && `the response has a malformed header ${JSON.stringify(odd[0])}`;
}

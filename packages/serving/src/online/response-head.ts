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

const HTTP_OK = 200;
const LENGTH_HEADER = 'content-length';
const TYPE_HEADER = 'content-type';

/** What the head of a stream of events states at least. */
export const EVENT_STREAM_HEAD: ResponseHead = {
  status: HTTP_OK,
  headers: [['Content-Type', 'text/event-stream']],
};

/** Whether the response with this head can be the rest of a stream of events that began with the head `begun`. */
export function continuesStream(head: ResponseHead, begun: ResponseHead): boolean {
  return head.status === HTTP_OK && mediaTypeOf(head) === mediaTypeOf(begun);
}

/** The head without the length of its body. */
export function withoutLength({ status, headers }: ResponseHead): ResponseHead {
  return { status, headers: headers.filter(([name]) => name.toLowerCase() !== LENGTH_HEADER) };
}

/** The media type without its parameters, in lower case; undefined if the head has none. */
function mediaTypeOf({ headers }: ResponseHead): string | undefined {
  const value = headers.find(([name]) => name.toLowerCase() === TYPE_HEADER)?.[1];
  return value?.split(';')[0]?.trim().toLowerCase();
}

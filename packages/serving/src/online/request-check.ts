import { isExactHeaderValue, isHeaderName, isHeaderValue, isRequestTarget } from '@fighub/core';

import type { UpstreamCall } from './forwarding.js';

/** The parts of a request that come from its caller as text. */
export type RequestTexts = Pick<UpstreamCall, 'requestId' | 'target' | 'host' | 'headers'>;

/** Why no replica can be sent a request with these texts, or undefined if one can. Names the part, but states no value. */
export function requestFault({ requestId, target, host, headers }: RequestTexts): string | undefined {
  if (!isExactHeaderValue(requestId)) return 'the id cannot be sent in a header';
  if (!isRequestTarget(target)) return 'the path has a character that cannot be sent';
  if (!isHeaderValue(host)) return 'the host cannot be sent in a header';
  const oddName = headers.find(([name]) => !isHeaderName(name));
  if (oddName) return `the header ${JSON.stringify(oddName[0])} has a name that cannot be sent`;
  const oddValue = headers.find(([, value]) => !isHeaderValue(value));
  return oddValue && `the header ${oddValue[0]} has a value that cannot be sent`;
}

import { describe, expect, it } from 'vitest';

import { connectionBudget } from './connection-budget.js';
import { memoryShares } from './memory-shares.js';

const MB = 1_048_576;
/** Largest use of a process of the site files under its usual load. */
const USUAL_PEAK_MB = 95;
const MAX_FDS = 4_100;
const LARGEST_HEADER_BYTES = 65_536;

describe('memoryShares', () => {
  it.each([210, 250, 350, 490, 602])('keeps %i MB when everything is full at the same time', (memoryMb) => {
    const shares = memoryShares(memoryMb);
    const { served, refused } = connectionBudget({ memoryMb, maxFds: MAX_FDS });
    const buffersBytes =
      shares.requestBodyBytes + shares.responseBytes + shares.jobInputBytes + shares.jobIntakeBytes;
    const connectionsBytes = (served + refused) * LARGEST_HEADER_BYTES;
    expect(USUAL_PEAK_MB + (buffersBytes + connectionsBytes) / MB).toBeLessThanOrEqual(memoryMb);
    expect(Math.min(...Object.values(shares))).toBeGreaterThan(0);
  });

  it('leaves the largest body of a request room beside others', () => {
    expect(memoryShares(250).requestBodyBytes).toBeGreaterThan(5 * 4 * MB);
  });
});

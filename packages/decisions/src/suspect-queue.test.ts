import { describe, expect, it } from 'vitest';

import { SuspectQueue } from './suspect-queue.js';
import { slotRequest } from './testing/slot-request.js';

describe('SuspectQueue', () => {
  it('keeps the order of arrival, online requests first', () => {
    const queue = new SuspectQueue();
    queue.push(slotRequest('b1', { workClass: 'batch' }));
    queue.push(slotRequest('o1'));
    queue.push(slotRequest('b2', { workClass: 'batch' }));
    queue.push(slotRequest('o2'));
    expect(queue.takeFirst(({ requestId }) => requestId !== 'o1')?.requestId).toBe('o2');
    expect(queue.takeWhere(() => true).map(({ requestId }) => requestId)).toEqual(['o1', 'b1', 'b2']);
    expect(queue.takeFirst(() => true)).toBeUndefined();
  });

  it('takes 40,000 items of jobs with one suspected part in less than a second', () => {
    const queue = new SuspectQueue();
    const startedAt = process.cpuUsage();
    Array.from({ length: 40_000 }, (_, index) =>
      slotRequest(`b${String(index)}`, { workClass: 'batch' }),
    ).forEach((request) => queue.push(request));
    expect(queue.takeWhere(() => true)).toHaveLength(40_000);
    const { user, system } = process.cpuUsage(startedAt);
    expect((user + system) / 1_000).toBeLessThan(1_000);
  });
});

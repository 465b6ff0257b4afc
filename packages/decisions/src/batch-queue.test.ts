import { describe, expect, it } from 'vitest';

import { BatchQueue } from './batch-queue.js';

function item(requestId: string, deadlineMs: number) {
  return { requestId, organisation: 'o', costTokens: 1, deadlineMs };
}

const anything = (): boolean => true;

describe('BatchQueue', () => {
  it('takes the item that is due first', () => {
    const queue = new BatchQueue();
    queue.push(item('b', 20_000), 1);
    queue.push(item('a', 10_000), 1);
    expect(queue.takeNext(anything)?.requestId).toBe('a');
  });

  it('passes over late items until no other is left', () => {
    const queue = new BatchQueue();
    queue.push(item('late', 10_000), 1);
    queue.push(item('timely', 20_000), 1);
    queue.setLate(new Set(['late']));
    expect(queue.takeNext(anything)?.requestId).toBe('timely');
    expect(queue.takeNext(anything)?.requestId).toBe('late');
    expect(queue.size).toBe(0);
  });

  it('takes an item back among the timely ones when it fits again', () => {
    const queue = new BatchQueue();
    queue.push(item('a', 10_000), 1);
    queue.push(item('b', 20_000), 1);
    queue.setLate(new Set(['a']));
    queue.setLate(new Set());
    expect(queue.takeNext(anything)?.requestId).toBe('a');
  });
});

import { describe, expect, it } from 'vitest';

import { BatchQueue } from './batch-queue.js';

function item(requestId: string, deadlineMs: number, expectedRunMs = 5_000) {
  return { requestId, organisation: 'o', costTokens: 1, deadlineMs, expectedRunMs };
}

const anything = (): boolean => true;

describe('BatchQueue', () => {
  it('takes the item that is due first', () => {
    const queue = new BatchQueue();
    queue.push(item('b', 20_000), 1, 0);
    queue.push(item('a', 10_000), 1, 0);
    expect(queue.takeNext(anything, 0)?.requestId).toBe('a');
  });

  it('passes over an item that can no longer be in time, and takes it when no other is left', () => {
    const queue = new BatchQueue();
    queue.push(item('hopeless', 10_000), 1, 0);
    queue.push(item('timely', 20_000), 1, 0);
    expect(queue.takeNext(anything, 6_000)?.requestId).toBe('timely');
    expect(queue.takeNext(anything, 6_000)?.requestId).toBe('hopeless');
    expect(queue.size).toBe(0);
  });

  it('serves more items in time than plain due order when a heap of jobs comes at once', () => {
    // 40 items of 5 s, all due in 18 s, at 8 places: due order alone makes none of the last ones timely.
    const timelyWith = (order: (now: number) => string | undefined, due: Map<string, number>): number => {
      const ends = Array.from({ length: 8 }, () => 0);
      let timely = 0;
      for (;;) {
        const at = ends.indexOf(Math.min(...ends));
        const startMs = ends[at] ?? 0;
        const id = order(startMs);
        if (id === undefined) return timely;
        ends[at] = startMs + 5_000;
        if (startMs + 5_000 <= (due.get(id) ?? 0)) timely += 1;
      }
    };
    const due = new Map(
      Array.from({ length: 60 }, (_, index) => [`i${String(index)}`, 12_000 + 300 * index] as const),
    );
    const plain = [...due.keys()];
    const queue = new BatchQueue();
    due.forEach((deadlineMs, id) => queue.push(item(id, deadlineMs), 1, 0));
    const withPlain = timelyWith(() => plain.shift(), due);
    const withQueue = timelyWith((nowMs) => queue.takeNext(anything, nowMs)?.requestId, due);
    expect(withQueue).toBeGreaterThan(withPlain);
  });
});

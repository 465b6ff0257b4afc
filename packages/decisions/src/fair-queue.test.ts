import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { FairQueue } from './fair-queue.js';
import type { QueuedRequest } from './fair-queue.js';

function request(id: string, organisation: string, costTokens = 10, deadlineMs = 1_000): QueuedRequest {
  return { requestId: id, organisation, costTokens, deadlineMs };
}

function takeMany(queue: FairQueue<QueuedRequest>, count: number): string[] {
  return Array.from({ length: count }, () => queue.takeNext(() => true)?.organisation ?? '');
}

function servedCountOf(served: readonly string[], organisation: string): number {
  return served.filter((name) => name === organisation).length;
}

describe('FairQueue', () => {
  it('serves backlogged organisations by weight', () => {
    const queue = new FairQueue<QueuedRequest>();
    const weights = { a: 1, b: 2, c: 4 };
    Object.entries(weights).forEach(([name, weight]) =>
      Array.from({ length: 400 }, (_, index) => queue.push(request(`${name}${String(index)}`, name), weight)),
    );
    const served = takeMany(queue, 350);
    expect([servedCountOf(served, 'a'), servedCountOf(served, 'b'), servedCountOf(served, 'c')]).toEqual([
      50, 100, 200,
    ]);
  });

  it('gives an organisation that was idle neither credit nor debt', () => {
    const queue = new FairQueue<QueuedRequest>();
    Array.from({ length: 300 }, (_, index) => queue.push(request(`a${String(index)}`, 'a'), 1));
    queue.push(request('b0', 'b'), 1);
    takeMany(queue, 102);
    Array.from({ length: 100 }, (_, index) => queue.push(request(`b${String(index + 1)}`, 'b'), 1));
    const served = takeMany(queue, 100);
    expect(servedCountOf(served, 'b')).toBe(50);
  });

  it('serves the earliest deadline first within an organisation', () => {
    const queue = new FairQueue<QueuedRequest>();
    [300, 100, 200].forEach((deadlineMs) => queue.push(request(String(deadlineMs), 'a', 1, deadlineMs), 1));
    const order = Array.from({ length: 3 }, () => queue.takeNext(() => true)?.requestId);
    expect(order).toEqual(['100', '200', '300']);
  });

  it('skips an organisation at its limit without charging it', () => {
    const queue = new FairQueue<QueuedRequest>();
    queue.push(request('a', 'a'), 1);
    queue.push(request('b', 'b'), 1);
    expect(queue.takeNext((candidate) => candidate.organisation !== 'a')?.requestId).toBe('b');
    expect(queue.takeNext(() => true)?.requestId).toBe('a');
  });

  it('keeps its size equal to the number of waiting requests in any order of calls', () => {
    const operation = fc.record({ kind: fc.constantFrom('push', 'take', 'remove'), id: fc.nat(9) });
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
        const queue = new FairQueue<QueuedRequest>();
        operations.forEach(({ kind, id }) => {
          const name = String(id);
          if (kind === 'push' && !queue.all().some((r) => r.requestId === name)) {
            queue.push(request(name, String(id % 3)), 1);
          }
          if (kind === 'take') queue.takeNext(() => true);
          if (kind === 'remove') queue.remove(name);
          expect(queue.size).toBe(queue.all().length);
        });
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});

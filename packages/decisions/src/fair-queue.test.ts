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

/** The same queue by scans of all organisations. */
class ScanningQueue {
  readonly organisations: {
    readonly name: string;
    weight: number;
    served: number;
    waiting: QueuedRequest[];
  }[] = [];
  private virtual = 0;

  push(added: QueuedRequest, weight: number): void {
    const queue = this.organisations.find((each) => each.name === added.organisation) ?? {
      name: added.organisation,
      weight,
      served: this.virtual,
      waiting: [],
    };
    if (!this.organisations.includes(queue)) this.organisations.push(queue);
    queue.weight = weight;
    if (queue.waiting.length === 0) queue.served = Math.max(queue.served, this.virtual);
    queue.waiting.push(added);
    queue.waiting.sort((a, b) => a.deadlineMs - b.deadlineMs);
  }

  takeNext(admits: (candidate: QueuedRequest) => boolean): QueuedRequest | undefined {
    const queue = [...this.organisations]
      .sort((a, b) => a.served - b.served)
      .find((each) => each.waiting[0] !== undefined && admits(each.waiting[0]));
    const taken = queue?.waiting.shift();
    if (!queue || !taken) return undefined;
    this.virtual = Math.max(this.virtual, queue.served);
    queue.served += taken.costTokens / queue.weight;
    return taken;
  }

  correctCharge(organisation: string, deltaTokens: number): void {
    const queue = this.organisations.find((each) => each.name === organisation);
    if (queue) queue.served += deltaTokens / queue.weight;
  }

  remove(requestId: string): void {
    this.organisations.forEach((queue) => {
      queue.waiting = queue.waiting.filter((each) => each.requestId !== requestId);
    });
  }

  removeOverdue(nowMs: number): string[] {
    const overdue = this.organisations
      .flatMap((queue) => queue.waiting)
      .filter((each) => each.deadlineMs <= nowMs)
      .map((each) => each.requestId);
    overdue.forEach((requestId) => this.remove(requestId));
    return overdue;
  }

  otherActiveWeight(organisation: string): number {
    return this.organisations
      .filter((queue) => queue.waiting.length > 0 && queue.name !== organisation)
      .reduce((sum, queue) => sum + queue.weight, 0);
  }
}

describe('FairQueue', () => {
  it('serves as scans of all organisations do, after any sequence of changes', () => {
    const operation = fc.record({
      kind: fc.constantFrom('push', 'push', 'push', 'take', 'take', 'correct', 'remove', 'overdue'),
      organisation: fc.nat(4),
      number: fc.nat(20),
      weight: fc.integer({ min: 1, max: 3 }),
    });
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 80 }), (operations) => {
        const queue = new FairQueue<QueuedRequest>();
        const model = new ScanningQueue();
        operations.forEach(({ kind, organisation, number, weight }, index) => {
          const name = String(organisation);
          const admits = (candidate: QueuedRequest): boolean => candidate.organisation !== String(number % 6);
          if (kind === 'push') {
            const added = request(`q${String(index)}`, name, 1 + (number % 5), index + 10 * number);
            queue.push(added, weight);
            model.push(added, weight);
          }
          if (kind === 'take') expect(queue.takeNext(admits)).toEqual(model.takeNext(admits));
          if (kind === 'correct') {
            queue.correctCharge(name, number - 10);
            model.correctCharge(name, number - 10);
          }
          if (kind === 'remove') {
            queue.remove(`q${String(number)}`);
            model.remove(`q${String(number)}`);
          }
          if (kind === 'overdue')
            expect(queue.removeOverdue(5 * number).map((each) => each.requestId)).toEqual(
              model.removeOverdue(5 * number),
            );
          expect(queue.otherActiveWeight(name)).toBeCloseTo(model.otherActiveWeight(name));
          expect(queue.depths().map((depth) => depth.servedVirtualTokens)).toEqual(
            model.organisations.map((each) => each.served),
          );
        });
      }),
      { seed: 5, numRuns: 400 },
    );
  });

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

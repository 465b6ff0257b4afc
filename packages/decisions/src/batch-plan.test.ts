import { describe, expect, it } from 'vitest';

import type { PlannedItem } from './batch-plan.js';
import { MeanStreams, chooseLateItems } from './batch-plan.js';

function items(count: number, deadlineMs: number, runMs: (index: number) => number): PlannedItem[] {
  return Array.from({ length: count }, (_, index) => ({
    requestId: `i${String(index)}`,
    deadlineMs,
    expectedRunMs: runMs(index),
    longRunMs: 1.2 * runMs(index),
  }));
}

const idsOf = (late: ReadonlySet<string>): string[] => [...late].sort();

describe('chooseLateItems', () => {
  it('leaves nothing out while everything fits', () => {
    expect(
      idsOf(
        chooseLateItems(
          items(12, 18_000, () => 5_000),
          4,
          0,
        ),
      ),
    ).toEqual([]);
  });

  it('leaves out the longest items of jobs that do not fit, and only as many as needed', () => {
    const jobs = items(20, 18_000, (index) => 3_000 + 200 * index);
    expect(idsOf(chooseLateItems(jobs, 4, 0))).toEqual(['i16', 'i17', 'i18', 'i19']);
  });

  it('spreads the items that are left out over jobs of the same length, and chooses the same ones again', () => {
    const jobs = ['a', 'b', 'c', 'd'].flatMap((job, jobIndex) =>
      Array.from({ length: 20 }, (_, index) => ({
        requestId: `${job}/${String(index)}`,
        deadlineMs: 18_000 + jobIndex,
        expectedRunMs: 5_000,
        longRunMs: 6_000,
      })),
    );
    const late = chooseLateItems(jobs, 11, 0);
    const lateOf = (job: string): number => [...late].filter((id) => id.startsWith(job)).length;
    expect(late.size).toBe(41);
    ['a', 'b', 'c', 'd'].forEach((job) => {
      expect(lateOf(job)).toBeGreaterThan(4);
      expect(lateOf(job)).toBeLessThan(17);
    });
    expect(chooseLateItems(jobs, 11, 0)).toEqual(late);
  });

  it('leaves out an item that would be late even if it ran alone', () => {
    expect(
      idsOf(
        chooseLateItems(
          items(1, 5_500, () => 5_000),
          40,
          0,
        ),
      ),
    ).toEqual(['i0']);
  });

  it('finishes more items in time than the order of deadlines when jobs come faster than they can be run', () => {
    const slots = 12;
    const jobs = Array.from({ length: 120 }, (_, index) => ({
      requestId: `i${String(index)}`,
      arrivedAtMs: 200 * index,
      deadlineMs: 18_000 + 200 * index,
      runMs: 4_000 + 100 * (index % 10),
    }));
    const finishedInTime = (plans: boolean): number => {
      const waiting = [...jobs];
      const freeAtMs = Array.from({ length: slots }, () => 0);
      let inTime = 0;
      while (waiting.length > 0) {
        const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
        const nowMs = Math.max(freeAtMs[slot] ?? 0, waiting[0]?.arrivedAtMs ?? 0);
        const arrived = waiting.filter((item) => item.arrivedAtMs <= nowMs);
        const planned = arrived.map((item) => ({
          ...item,
          expectedRunMs: item.runMs,
          longRunMs: item.runMs,
        }));
        const late = plans ? chooseLateItems(planned, slots, nowMs) : new Set<string>();
        const next = arrived.find((item) => !late.has(item.requestId)) ?? arrived[0];
        if (!next) break;
        waiting.splice(waiting.indexOf(next), 1);
        freeAtMs[slot] = nowMs + next.runMs;
        if (nowMs + next.runMs <= next.deadlineMs) inTime += 1;
      }
      return inTime;
    };
    const totalRunMs = jobs.reduce((sum, { runMs }) => sum + runMs, 0);
    const slotMs = slots * Math.max(...jobs.map(({ deadlineMs }) => deadlineMs));
    const mostInTime = (jobs.length * slotMs) / totalRunMs;
    expect(finishedInTime(true)).toBeGreaterThan(0.9 * mostInTime);
    expect(finishedInTime(false)).toBeLessThan(0.9 * mostInTime);
  });
});

describe('MeanStreams', () => {
  it('follows the number of streams over several seconds', () => {
    const mean = new MeanStreams();
    expect(mean.at(0)).toBeUndefined();
    mean.observe(10, 0);
    mean.observe(40, 1_000);
    expect(mean.at(1_000)).toBe(10);
    expect(mean.at(3_000)).toBeCloseTo(10 + 30 * (1 - Math.exp(-1 / 3)));
    mean.observe(40, 60_000);
    expect(mean.at(60_000)).toBeCloseTo(40, 1);
  });
});

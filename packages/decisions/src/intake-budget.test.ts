import { describe, expect, it } from 'vitest';

import { IntakeBudget } from './intake-budget.js';

const MB = 1_048_576;
const MEMORY_MB = 250;
const SMALL_JOB_BYTES = 150_000;

describe('IntakeBudget', () => {
  it('takes in few large jobs at the same time, and many small ones', () => {
    const large = new IntakeBudget(MEMORY_MB);
    const small = new IntakeBudget(MEMORY_MB);
    const taken = Array.from({ length: 60 }, () => [large.tryTake(2 * MB), small.tryTake(SMALL_JOB_BYTES)]);
    expect(taken.filter(([isTaken]) => isTaken)).toHaveLength(1);
    expect(taken.filter(([, isTaken]) => isTaken).length).toBeGreaterThan(10);
  });

  it('takes in a job that exceeds it alone, and others afterwards', () => {
    const budget = new IntakeBudget(MEMORY_MB);
    expect(budget.tryTake(100 * MB)).toBe(true);
    expect(budget.tryTake(1)).toBe(false);
    budget.release(100 * MB);
    expect(budget.tryTake(1)).toBe(true);
  });
});

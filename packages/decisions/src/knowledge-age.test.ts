import { describe, expect, it } from 'vitest';

import { KnowledgeAge } from './knowledge-age.js';

function at(monotonicMs: number, unixMs = 1_000_000 + monotonicMs): { monotonicMs: number; unixMs: number } {
  return { monotonicMs, unixMs };
}

describe('KnowledgeAge', () => {
  it('is infinite before the first proof', () => {
    expect(new KnowledgeAge().ageMs(at(5_000))).toBe(Number.POSITIVE_INFINITY);
  });

  it('counts the age at the sender and the time that its answer took', () => {
    const age = new KnowledgeAge();
    age.prove(at(1_000), 400);
    expect(age.ageMs(at(1_600))).toBe(1_000);
  });

  it('counts a suspension, in which the monotonic clock stands still', () => {
    const age = new KnowledgeAge();
    age.prove(at(1_000), 0);
    expect(age.ageMs({ monotonicMs: 1_010, unixMs: 1_009_000 })).toBe(8_000);
  });

  it('is not made younger by a clock that is set back', () => {
    const age = new KnowledgeAge();
    age.prove(at(1_000), 0);
    expect(age.ageMs({ monotonicMs: 4_000, unixMs: 900_000 })).toBe(3_000);
  });

  it('keeps the newest of several proofs that arrive out of order', () => {
    const age = new KnowledgeAge();
    age.prove(at(3_000), 100);
    age.prove(at(1_000), 0);
    expect(age.ageMs(at(3_000))).toBe(100);
  });
});

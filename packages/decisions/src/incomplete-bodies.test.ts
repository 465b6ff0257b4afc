import { describe, expect, it } from 'vitest';

import { IncompleteBodies } from './incomplete-bodies.js';

const MEMORY_BYTES = 20_000_000;
const ORDINARY_BYTES = 8_192;

interface Body {
  readonly name: string;
}

/** Bodies that arrive at a process with this memory, as the reader of bodies handles them. */
function memory(totalBytes: number) {
  const bodies = new IncompleteBodies<Body>();
  const taken = new Map<Body, number>();
  const given: string[] = [];
  const used = (): number => [...taken.values()].reduce((sum, bytes) => sum + bytes, 0);
  const grow = (body: Body, bytes: number, nowMs: number): boolean => {
    while (used() + bytes > totalBytes) {
      const victim = bodies.givenUpFor(body, bytes, nowMs);
      if (!victim) return false;
      bodies.remove(victim);
      taken.delete(victim);
      given.push(victim.name);
    }
    bodies.grew(body, bytes, nowMs);
    taken.set(body, (taken.get(body) ?? 0) + bytes);
    return true;
  };
  return { grow, given, bodies };
}

describe('IncompleteBodies', () => {
  it('serves an ordinary caller while others fill the memory with bodies that do not end', () => {
    const { grow, given } = memory(MEMORY_BYTES);
    Array.from({ length: 40 }, (_, index) => grow({ name: `crowd-${String(index)}` }, 500_000, index));
    expect(grow({ name: 'ordinary' }, ORDINARY_BYTES, 50)).toBe(true);
    expect(given).toHaveLength(1);
  });

  it('keeps a body that arrives and gives up those that are stalled', () => {
    const { grow, given } = memory(1_000_000);
    const arriving = { name: 'arriving' };
    grow(arriving, 600_000, 0);
    grow({ name: 'stalled' }, 300_000, 0);
    grow(arriving, 10_000, 2_000);
    expect(grow({ name: 'new' }, 200_000, 2_000)).toBe(true);
    expect(given).toEqual(['stalled']);
  });

  it('refuses the body that would become the largest', () => {
    const { grow, given } = memory(1_000_000);
    grow({ name: 'first' }, 500_000, 0);
    const second = { name: 'second' };
    expect(grow(second, 400_000, 0)).toBe(true);
    expect(grow(second, 400_000, 0)).toBe(false);
    expect(given).toEqual([]);
  });

  it('does not give up bodies that are whole', () => {
    const { grow, given, bodies } = memory(1_000_000);
    const whole = { name: 'whole' };
    grow(whole, 900_000, 0);
    bodies.remove(whole);
    expect(grow({ name: 'new' }, 200_000, 5_000)).toBe(false);
    expect(given).toEqual([]);
  });
});

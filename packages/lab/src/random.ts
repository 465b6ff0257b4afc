/** Seeded pseudo-random numbers for fault schedules and workloads. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const GOLDEN_RATIO_BITS = 0x9e3779b1;
const SKIPPED_VALUES = 16;

/** A sequence of pseudo-random values that is the same for the same seed. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(Math.imul(seed + 1, GOLDEN_RATIO_BITS));
    // The first values of the generator are similar for small seeds, so they are skipped.
    Array.from({ length: SKIPPED_VALUES }, () => this.next());
  }

  /** A number in [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** One of the values, chosen uniformly. Throws when there are none. */
  pick<T>(values: readonly T[]): T {
    const value = values[this.below(values.length)];
    if (value === undefined) throw new Error('cannot pick from an empty list');
    return value;
  }

  /** An exponentially distributed time with the given mean, in milliseconds. */
  exponentialMs(meanMs: number): number {
    return -Math.log(1 - this.next()) * meanMs;
  }
}

import { describe, expect, it } from 'vitest';

import type { ConfigurationKnowledge, HeldJob } from './item-routing.js';
import { ItemRouting, itemRouting } from './item-routing.js';

const NEVER_MS = Number.NEGATIVE_INFINITY;

/** Versions of the operator's configuration; each has or lacks the route of the job. */
const HISTORY = [
  { version: 3, hasRoute: false },
  { version: 6, hasRoute: true },
  { version: 9, hasRoute: false },
  { version: 12, hasRoute: true },
];

/** What the holder does with an item of a job accepted under version `acceptedVersion`, as it receives each version. */
function replay(acceptedVersion: number | undefined, confirmedAtMs = NEVER_MS): ItemRouting[] {
  const job: HeldJob = { acceptedVersion, learnedAtMs: 1_000 };
  return HISTORY.map(({ version, hasRoute }) => itemRouting(hasRoute, { version, confirmedAtMs }, job));
}

describe('itemRouting', () => {
  it('waits while the holder has an older configuration than the one under which the job was accepted', () => {
    expect(replay(6)).toEqual(['wait', 'run', 'route_removed', 'run']);
  });

  it('does not run an item by an older version that has a route which was removed and added again since', () => {
    expect(replay(12)).toEqual(['wait', 'wait', 'wait', 'run']);
  });

  it('judges by an older version once the store was seen to hold no newer one after the acceptance', () => {
    expect(replay(12, 999)).toEqual(['wait', 'wait', 'wait', 'run']);
    expect(replay(12, 1_000)).toEqual(['route_removed', 'run', 'route_removed', 'run']);
  });

  it('runs items of a record without a version where a route is known, and removes none unconfirmed', () => {
    expect(replay(undefined)).toEqual(['wait', 'run', 'wait', 'run']);
    expect(replay(undefined, 1_000)).toEqual(['route_removed', 'run', 'route_removed', 'run']);
  });

  it('never concludes that a route was removed from a configuration that may be older than the job', () => {
    const configurations: ConfigurationKnowledge[] = [0, 3, 6, 9].flatMap((version) =>
      [NEVER_MS, 0, 999].map((confirmedAtMs) => ({ version, confirmedAtMs })),
    );
    const judged = configurations.map((configuration) =>
      itemRouting(false, configuration, { acceptedVersion: 10, learnedAtMs: 1_000 }),
    );
    expect(judged.every((routing) => routing === ItemRouting.wait)).toBe(true);
  });
});

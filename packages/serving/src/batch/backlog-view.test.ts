import type { JobProgress } from '@fighub/core';
import { ManualClock } from '@fighub/core';
import { backlogName } from '@fighub/decisions';
import { describe, expect, it } from 'vitest';

import { BacklogView } from './backlog-view.js';

const ORGANISATIONS = 1_500;
/** What one instance may send and receive for control, by docs/CAPACITY.md, at two views a second. */
const MAX_VIEW_BYTES = 8_000;

/** A job of organisation `o<index>` with `index` waiting tokens. */
function job(index: number): JobProgress {
  const progress = { routeName: 'jobs', organisation: `o${String(index)}`, openTokens: index, itemCount: 1 };
  return { ...progress, ended: false, finishedIndexes: [] } as unknown as JobProgress;
}

describe('BacklogView with jobs of very many organisations', () => {
  const clock = new ManualClock();
  const listing = new BacklogView(clock);
  listing.onListed(
    Array.from({ length: ORGANISATIONS }, (_, index) => job(index)),
    clock.monotonicMs(),
  );
  const pushed = listing.snapshot();
  const receiver = new BacklogView(clock);
  if (pushed) receiver.onPushed(pushed);
  const waitingOf = (view: BacklogView, index: number): number =>
    view.estimate(backlogName('jobs', `o${String(index)}`))?.waitingTokens ?? 0;

  it('pushes a backlog of bounded size', () => {
    expect(JSON.stringify(pushed).length).toBeLessThanOrEqual(MAX_VIEW_BYTES);
  });

  it('never takes the backlog of an organisation for smaller than it is', () => {
    const all = Array.from({ length: ORGANISATIONS }, (_, index) => index);
    expect(all.filter((index) => waitingOf(receiver, index) < index)).toEqual([]);
    expect(waitingOf(receiver, ORGANISATIONS - 1)).toBe(ORGANISATIONS - 1);
    expect(waitingOf(listing, 3)).toBe(3);
  });
});

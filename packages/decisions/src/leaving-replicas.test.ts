import { describe, expect, it } from 'vitest';

import { LeavingReplicas } from './leaving-replicas.js';

const DAY_MS = 86_400_000;

describe('LeavingReplicas', () => {
  it('keeps a replica that directories still list', () => {
    const leaving = new LeavingReplicas();
    expect(leaving.add('r', 0)).toBe(true);
    leaving.onDirectory(() => true, 2 * DAY_MS);
    expect(leaving.add('r', 2 * DAY_MS)).toBe(false);
    expect(leaving.has('r')).toBe(true);
  });

  it('keeps a replica that is missing from a directory, since it may be listed again', () => {
    const leaving = new LeavingReplicas();
    leaving.add('r', 0);
    leaving.onDirectory(() => false, DAY_MS - 1);
    expect(leaving.has('r')).toBe(true);
  });

  it('forgets a replica a day after it was listed for the last time', () => {
    const leaving = new LeavingReplicas();
    leaving.add('r', 0);
    leaving.onDirectory((id) => id === 'r', DAY_MS / 2);
    leaving.onDirectory(() => false, DAY_MS);
    expect(leaving.ids()).toEqual(['r']);
    leaving.onDirectory(() => false, 1.5 * DAY_MS);
    expect(leaving.ids()).toEqual([]);
  });
});

import { describe, expect, it } from 'vitest';

import { coordinatorFor, coordinatorsOf } from './coordinators.js';

const ENTRY = { instanceId: 'entry', schedules: false };
const MEMBERS = [ENTRY, { instanceId: 'a', schedules: true }, { instanceId: 'b' }];

describe('coordinators', () => {
  it('are all members except those that set schedules to false', () => {
    expect(coordinatorsOf(MEMBERS).map((member) => member.instanceId)).toEqual(['a', 'b']);
  });

  it('divide the keys among themselves, and a member that is not a coordinator gets none', () => {
    const winners = Array.from({ length: 50 }, (_, index) => coordinatorFor(`job-${String(index)}`, MEMBERS));
    expect(new Set(winners)).toEqual(new Set(['a', 'b']));
    expect(coordinatorFor('job', [ENTRY])).toBeUndefined();
  });
});

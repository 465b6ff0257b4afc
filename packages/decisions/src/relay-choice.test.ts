import { describe, expect, it } from 'vitest';

import { RelayChoice } from './relay-choice.js';

const FREE = { available: true, openCalls: 0 };

/** A fleet whose instances choose relays; those in `cutIds` have lost their paths. */
function fleet(size: number, cutIds: ReadonlySet<string>, domains = 3) {
  const members = Array.from({ length: size }, (_, index) => ({
    instanceId: `i${String(index)}`,
    failureDomain: `d${String(index % domains)}`,
  }));
  const choiceOf = (self: (typeof members)[number]): RelayChoice => {
    const choice = new RelayChoice(self.instanceId, self.failureDomain);
    choice.setMembers(1, () => members);
    return choice;
  };
  /** Asks until nothing is due, and returns how many members were asked. */
  const ask = (choice: RelayChoice, nowMs: number): number => {
    let asked = 0;
    for (let ids = choice.toAsk(nowMs); ids.length > 0; ids = choice.toAsk(nowMs)) {
      ids.forEach((id) => choice.onState(id, { ...FREE, available: !cutIds.has(id) }, nowMs));
      asked += ids.length;
    }
    return asked;
  };
  return { members, choiceOf, ask };
}

describe('RelayChoice', () => {
  it('finds relays while most instances are cut off, and asks few members again', () => {
    const cutIds = new Set(Array.from({ length: 200 }, (_, index) => `i${String(index)}`));
    const { members, choiceOf, ask } = fleet(330, cutIds);
    const choices = members.filter(({ instanceId }) => cutIds.has(instanceId)).map(choiceOf);
    const asked = choices.map((choice) => ask(choice, 0));
    expect(choices.every((choice) => choice.choose([], 0) !== undefined)).toBe(true);
    expect(asked.reduce((sum, count) => sum + count, 0) / choices.length).toBeLessThan(20);
    expect(choices.map((choice) => ask(choice, 500)).every((count) => count <= 3)).toBe(true);
  });

  it('spreads the calls of the instances that are cut off over the others', () => {
    const cutIds = new Set(Array.from({ length: 200 }, (_, index) => `i${String(index)}`));
    const { members, choiceOf, ask } = fleet(330, cutIds);
    const calls = new Map<string, number>();
    members
      .filter(({ instanceId }) => cutIds.has(instanceId))
      .map(choiceOf)
      .forEach((choice) => {
        ask(choice, 0);
        Array.from({ length: 12 }, () => choice.choose([], 0)).forEach((relayId = '') => {
          choice.onCall(relayId, 1);
          calls.set(relayId, (calls.get(relayId) ?? 0) + 1);
        });
      });
    const mean = (200 * 12) / 130;
    expect(Math.max(...calls.values())).toBeLessThan(4 * mean);
    expect(calls.size).toBeGreaterThan(100);
  });

  it('prefers a relay in its own failure domain until that has more calls', () => {
    const choice = new RelayChoice('self', 'd0');
    const members = [
      { instanceId: 'near', failureDomain: 'd0' },
      { instanceId: 'far', failureDomain: 'd1' },
    ];
    choice.setMembers(1, () => members);
    choice.onState('near', FREE, 0);
    choice.onState('far', FREE, 0);
    const chosen = Array.from({ length: 6 }, () => {
      const relayId = choice.choose([], 0) ?? '';
      choice.onCall(relayId, 1);
      return relayId;
    });
    expect(chosen.filter((id) => id === 'near').length).toBeGreaterThanOrEqual(4);
    expect(chosen).toContain('far');
    expect(choice.choose(['near'], 0)).toBe('far');
  });

  it('does not choose a relay that refused, did not answer, or answered too long ago', () => {
    const { members, choiceOf } = fleet(3, new Set());
    const self = members[0];
    if (!self) throw new Error('no member');
    const choice = choiceOf(self);
    choice.onState('i1', undefined, 0);
    choice.onState('i2', { available: false, openCalls: 0 }, 0);
    expect(choice.choose([], 0)).toBeUndefined();
    expect(choice.toAsk(100)).toEqual([]);
    expect(choice.toAsk(2_000).sort()).toEqual(['i1', 'i2']);
    choice.onState('i1', FREE, 2_000);
    expect(choice.choose([], 2_000)).toBe('i1');
    expect(choice.choose([], 3_600)).toBeUndefined();
    expect(choice.toAsk(3_600)).toContain('i1');
  });

  it('never chooses this instance, or one that is no member any more', () => {
    const choice = new RelayChoice('self', 'd');
    choice.setMembers(1, () => [
      { instanceId: 'self', failureDomain: 'd' },
      { instanceId: 'other', failureDomain: 'd' },
    ]);
    expect(choice.toAsk(0)).toEqual(['other']);
    choice.onState('other', FREE, 0);
    choice.setMembers(2, () => [{ instanceId: 'self', failureDomain: 'd' }]);
    expect(choice.choose([], 0)).toBeUndefined();
    expect(choice.toAsk(10)).toEqual([]);
  });
});

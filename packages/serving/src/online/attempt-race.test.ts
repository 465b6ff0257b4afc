import { describe, expect, it } from 'vitest';

import { AttemptRace } from './attempt-race.js';

function racer() {
  const state = { isAbandoned: false, abandon: () => void (state.isAbandoned = true) };
  return state;
}

describe('AttemptRace', () => {
  it('lets the first attempt win that responds, and abandons the other one at once', () => {
    const race = new AttemptRace();
    const [first, copy] = [racer(), racer()];
    race.add(first);
    race.add(copy);
    expect(race.tryWin(copy)).toBe(true);
    expect(race.tryWin(first)).toBe(false);
    expect([first.isAbandoned, copy.isAbandoned]).toEqual([true, false]);
  });

  it('sends no copy any more once the first attempt has responded or ended', () => {
    const won = new AttemptRace();
    const first = racer();
    won.add(first);
    won.tryWin(first);
    const ended = new AttemptRace();
    ended.add(racer());
    ended.onEnded();
    expect([won.decided.aborted, ended.decided.aborted]).toEqual([true, true]);
  });

  it('is open only while several attempts run and none has won', () => {
    const race = new AttemptRace();
    race.add(racer());
    expect(race.isOpen).toBe(false);
    race.add(racer());
    expect(race.isOpen).toBe(true);
    race.onEnded();
    expect(race.isOpen).toBe(false);
  });
});

import { describe, expect, it } from 'vitest';

import { ReadTurns } from './read-turns.js';

/** Work of a body in chunks of one byte, and of ordinary requests. */
const COSTLY_MS_PER_BYTE = 33 / 65_536;
const ORDINARY_BYTES = 1_500;
const ORDINARY_MS = 0.3;
const CROWD = 400;
/** What other events of the process, such as timers and messages of other instances, wait for at most. */
const TURN_LIMIT_MS = 10;

interface Caller {
  unreadBytes: number;
  readonly msPerByte: number;
}

/** Parses what waits until the turn is over; returns how long that took. */
function playTurn(turns: ReadTurns<Caller>, startMs: number): number {
  let nowMs = startMs;
  turns.beginTurn();
  while (turns.mayContinue) {
    const caller = turns.next();
    if (!caller) break;
    const bytes = Math.min(caller.unreadBytes, turns.sliceBytes(caller));
    const workMs = bytes * caller.msPerByte;
    nowMs += workMs;
    caller.unreadBytes -= bytes;
    turns.worked(caller, workMs, nowMs);
    if (caller.unreadBytes > 0) turns.wait(caller, nowMs);
  }
  return nowMs - startMs;
}

describe('ReadTurns', () => {
  it('lets other events in while many callers send bodies in chunks of one byte', () => {
    const turns = new ReadTurns<Caller>();
    Array.from({ length: CROWD }, () =>
      turns.wait({ unreadBytes: 65_536, msPerByte: COSTLY_MS_PER_BYTE }, 0),
    );
    let nowMs = 0;
    const turnsMs: number[] = [];
    while (turns.isWaiting) {
      const tookMs = playTurn(turns, nowMs);
      turnsMs.push(tookMs);
      nowMs += tookMs;
    }
    expect(Math.max(...turnsMs)).toBeLessThan(TURN_LIMIT_MS);
    expect(nowMs).toBeCloseTo(CROWD * 33, -2);
  });

  it('reads an ordinary request before the connections that have taken work already', () => {
    const turns = new ReadTurns<Caller>();
    Array.from({ length: CROWD }, () =>
      turns.wait({ unreadBytes: 65_536, msPerByte: COSTLY_MS_PER_BYTE }, 0),
    );
    let nowMs = 0;
    // Each connection of the crowd has had its first slice by then.
    while (nowMs < CROWD * 2) nowMs += playTurn(turns, nowMs);
    const ordinary = { unreadBytes: ORDINARY_BYTES, msPerByte: ORDINARY_MS / ORDINARY_BYTES };
    turns.wait(ordinary, nowMs);
    playTurn(turns, nowMs);
    expect(ordinary.unreadBytes).toBe(0);
  });

  it('parses long bodies in large chunks in few slices', () => {
    const turns = new ReadTurns<Caller>();
    const caller = { unreadBytes: 4_194_304, msPerByte: 1e-6 };
    turns.wait(caller, 0);
    let slices = 0;
    for (; caller.unreadBytes > 0; slices += 1) {
      turns.next();
      const bytes = Math.min(caller.unreadBytes, turns.sliceBytes(caller));
      caller.unreadBytes -= bytes;
      turns.worked(caller, bytes * caller.msPerByte, slices);
    }
    expect(slices).toBeLessThan(80);
  });

  it('counts work that was long ago less', () => {
    const turns = new ReadTurns<Caller>();
    const [earlier, later] = [1, 2].map(() => ({ unreadBytes: 1, msPerByte: 0 }));
    if (!earlier || !later) return;
    turns.worked(earlier, 20, 0);
    turns.worked(later, 10, 60_000);
    turns.wait(later, 60_000);
    turns.wait(earlier, 60_000);
    expect(turns.next()).toBe(earlier);
  });

  it('forgets closed connections', () => {
    const turns = new ReadTurns<Caller>();
    const caller = { unreadBytes: 1, msPerByte: 0 };
    turns.wait(caller, 0);
    turns.forget(caller);
    expect(turns.next()).toBeUndefined();
  });
});

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Fleet, waitFor } from './fleet.js';

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ replicasPerDomain: 1 });
});

afterAll(() => fleet.stop());

describe('a process of an entry instance', () => {
  it('survives SIGUSR1 and SIGUSR2, drains once, and says how it ended', async () => {
    const { process: entry } = fleet.entry(0);
    const linesOf = (event: string): string[] =>
      entry.stderrLines.filter((line) => line.includes(`"event":"${event}"`));
    entry.signal('SIGUSR1');
    entry.signal('SIGUSR2');
    await waitFor('the signals', () =>
      Promise.resolve(!entry.running || linesOf('signal_received').length === 2),
    );
    expect(entry.running).toBe(true);
    entry.signal('SIGHUP');
    entry.signal('SIGTERM');
    await entry.ended();
    expect(entry.exitCode).toBe(0);
    expect(linesOf('process_ended').map((line) => JSON.parse(line) as object)).toMatchObject([
      { reason: 'signal', exitStatus: 0 },
    ]);
    expect(entry.stderrLines.filter((line) => line.startsWith('Debugger'))).toEqual([]);
  });
});

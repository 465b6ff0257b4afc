import type { Outcome } from '@fighub/core';
import { DecisionLog, ManualClock, Metrics, fail, ok } from '@fighub/core';
import type { ExpiringRecord, RecordLog } from '@fighub/outside';
import type { KeptStream } from '@fighub/peers';
import { describe, expect, it, vi } from 'vitest';

import { OriginJournal } from './origin-journal.js';

const streamOf = (requestId: string): KeptStream => ({
  requestId,
  requestDigest: `digest of ${requestId}`,
  origin: { service: 's', softwareVersion: 'v1' },
  keepForMs: 5_000,
});

/** A disk whose writes end when the test says so. */
class FakeLog implements RecordLog {
  readonly writes: (readonly ExpiringRecord[])[] = [];
  private finish: ((outcome: Outcome<void, string>) => void)[] = [];

  append(records: readonly ExpiringRecord[]): Promise<Outcome<void, string>> {
    this.writes.push(records);
    return new Promise((resolve) => this.finish.push(resolve));
  }

  end(outcome: Outcome<void, string>): void {
    this.finish.shift()?.(outcome);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

async function setup(records: readonly ExpiringRecord[] = []) {
  const lines: string[] = [];
  const disk = new FakeLog();
  const restored: KeptStream[] = [];
  const clock = new ManualClock();
  const metrics = new Metrics();
  const record = (fields: object): unknown => lines.push(JSON.stringify(fields));
  const log = new DecisionLog({ info: record, warn: record }, clock, metrics);
  const open = () => Promise.resolve(ok({ log: disk, records }));
  const journal = new OriginJournal(open, (origins) => restored.push(...origins), clock, metrics, log);
  await journal.start();
  const failures = (): number => lines.filter((line) => line.includes('origin_journal_failed')).length;
  return { journal, disk, restored, clock, failures };
}

describe('OriginJournal', () => {
  it('restores for the time that is left what it has recorded, and nothing of another form', async () => {
    const before = await setup();
    before.journal.add(streamOf('q1'));
    await vi.waitUntil(() => before.disk.writes.length === 1);
    const written = before.disk.writes.flat();
    const expiresAtUnixMs = written[0]?.expiresAtUnixMs ?? 0;
    const { restored, clock } = await setup([...written, { value: { other: 1 }, expiresAtUnixMs }]);
    const keepForMs = expiresAtUnixMs - clock.nowUnixMs();
    expect(restored).toEqual([{ ...streamOf('q1'), keepForMs }]);
  });

  it('makes one write at a time, with all that began meanwhile', async () => {
    const { journal, disk } = await setup();
    journal.add(streamOf('q1'));
    await vi.waitUntil(() => disk.writes.length === 1);
    Array.from({ length: 50 }).forEach((_, index) => journal.add(streamOf(`later-${String(index)}`)));
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(disk.writes.length).toBe(1);
    disk.end(ok(undefined));
    await vi.waitUntil(() => disk.writes.length === 2);
    expect(disk.writes[1]?.length).toBe(50);
  });

  it('goes on after a failed write, and reports failures in a row once', async () => {
    const { journal, disk, failures } = await setup();
    for (let count = 1; count <= 3; count += 1) {
      journal.add(streamOf(`q${String(count)}`));
      await vi.waitUntil(() => disk.writes.length === count);
      disk.end(fail('no space left on device'));
    }
    await vi.waitUntil(() => failures() > 0);
    expect(failures()).toBe(1);
  });

  it('keeps a bounded number of origins while the disk does not respond', async () => {
    const { journal, disk } = await setup();
    journal.add(streamOf('q1'));
    await vi.waitUntil(() => disk.writes.length === 1);
    Array.from({ length: 30_000 }).forEach((_, index) => journal.add(streamOf(`q${String(index)}`)));
    expect(journal.dump()).toMatchObject({ waiting: 20_000 });
  });
});

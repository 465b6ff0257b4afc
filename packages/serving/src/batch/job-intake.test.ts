import { sleep } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { JobIntake } from './job-intake.js';

const MEMORY_MB = 100;
/** With the memory that it takes while it is taken in, larger than half of the budget. */
const LARGE_BYTES = 700_000;

describe('JobIntake', () => {
  it('takes jobs in one after the other, in order of arrival, also after one has failed', async () => {
    const intake = new JobIntake(MEMORY_MB);
    const events: string[] = [];
    const job = async (name: string): Promise<void> => {
      events.push(`${name} begins`);
      await sleep(1);
      events.push(`${name} ends`);
      if (name === 'a') throw new Error('refused');
    };
    const names = ['a', 'b', 'c'];
    await Promise.allSettled(names.map((name) => intake.run(LARGE_BYTES, () => job(name))));
    expect(events).toEqual(names.flatMap((name) => [`${name} begins`, `${name} ends`]));
  });

  it('refuses a job that has waited too long as not run', async () => {
    const intake = new JobIntake(MEMORY_MB, 1);
    let finish: () => void = () => undefined;
    const slow = intake.run(LARGE_BYTES, () => new Promise<void>((resolve) => (finish = resolve)));
    const refused = await intake.run(LARGE_BYTES, () => Promise.resolve());
    expect(refused).toMatchObject({ ok: false, error: { code: 'overloaded', run: 'not_run' } });
    finish();
    await slow;
    expect(await intake.run(LARGE_BYTES, () => Promise.resolve('taken'))).toEqual({
      ok: true,
      value: 'taken',
    });
  });

  it('takes a job in that fits as soon as a larger one before it was refused', async () => {
    const intake = new JobIntake(MEMORY_MB, 100);
    let finish: () => void = () => undefined;
    const running = intake.run(LARGE_BYTES, () => new Promise<void>((resolve) => (finish = resolve)));
    const large = intake.run(LARGE_BYTES, () => Promise.resolve());
    await sleep(50);
    const small = intake.run(1, () => Promise.resolve('taken'));
    expect(await large).toMatchObject({ ok: false });
    expect(await small).toEqual({ ok: true, value: 'taken' });
    finish();
    await running;
  });
});

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { CallerCrowd, chunkedHead, chunks } from './caller-crowd.js';
import type { FleetEntry } from './fleet.js';
import { Fleet } from './fleet.js';
import { UsageWatch } from './process-usage.js';

/** Limits of the machine of the entry. */
const MEMORY_MB = 400;
const MAX_FDS = 2_000;
const ORGANISATION = 'obloha';
const MODEL = 'alert-modely';
const LARGE_CHUNK_BYTES = 65_535;

let fleet: Fleet;
let entry: FleetEntry;
let crowd: CallerCrowd;
let watch: UsageWatch;

beforeEach(async () => {
  fleet = await Fleet.start({
    failureDomains: ['zvolen-hala'],
    entrySettings: { memoryMb: MEMORY_MB, maxFds: MAX_FDS },
  });
  entry = fleet.entry(0);
  crowd = new CallerCrowd();
  const { pid } = entry.process;
  watch = new UsageWatch(pid, [addressOf(entry)], () => entry.process.running);
  await expectAnswer();
});

afterEach(async () => {
  crowd.leave();
  watch.stop();
  await fleet.stop();
});

function addressOf({ address }: FleetEntry): string {
  return address.replace('http://', '');
}

/** An ordinary request is served, after refusals if need be. */
async function expectAnswer(): Promise<void> {
  const outcome = await fleet
    .caller(entry, ORGANISATION)
    .complete({ model: MODEL, prompt: 'p', maxTokens: 2 });
  if (!outcome.ok && outcome.error.run === 'not_run' && outcome.error.code === 'overloaded')
    return expectAnswer();
  expect(outcome.ok).toBe(true);
}

async function expectService(): Promise<void> {
  await expectAnswer();
  crowd.leave();
  await expectAnswer();
  expect(watch.livesOn).toBe(true);
  expect(watch.memoryMb).toBeLessThan(MEMORY_MB);
  expect(watch.descriptors).toBeLessThan(MAX_FDS / 2);
}

/** Sends requests whose bodies in chunks stop short of their end. */
async function sendBodies(count: number, path: string, body: Buffer): Promise<void> {
  const headers = `Host: entry\r\nAuthorization: Bearer key-${ORGANISATION}\r\nContent-Type: application/json\r\n`;
  await crowd.send(addressOf(entry), count, () => [chunkedHead('POST', path, headers), body]);
}

describe('callers whose bodies stop short of their end', () => {
  it('and have a line of a batch job that does not end', async () => {
    await sendBodies(100, `/v1/jobs?model=${MODEL}`, chunks(128, LARGE_CHUNK_BYTES));
    await crowd.sent();
    await expectService();
  });

  it('and come in large chunks', async () => {
    await sendBodies(600, '/v1/completions', chunks(15, LARGE_CHUNK_BYTES));
    await crowd.sent();
    await expectService();
  });

  it('and come in chunks of one byte', async () => {
    await sendBodies(60, '/v1/completions', chunks(400_000, 1));
    await expectService();
  });

  it('and are as many as connections are served', async () => {
    await sendBodies(900, '/v1/completions', chunks(1, 1));
    await expectService();
  });

  it('and belong to requests that need no body', async () => {
    await sendBodies(300, '/v1/jobs/none/cancel', chunks(60_000, 1));
    await expectService();
  });
});

describe('callers that send nothing', () => {
  it('on more connections than there are descriptors for', async () => {
    await crowd.send(addressOf(entry), 1_800, () => []);
    await expectService();
  });
});

import {
  appendFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { ExpiringLog } from './expiring-log.js';

let folder: string;
let openLogs: ExpiringLog[] = [];

beforeEach(() => (folder = mkdtempSync(join(tmpdir(), 'fighub-log-'))));
afterEach(async () => {
  await Promise.all(openLogs.map((log) => log.close()));
  openLogs = [];
  rmSync(folder, { recursive: true, force: true });
});

async function openLog(nowUnixMs = 0) {
  const opened = await ExpiringLog.open(join(folder, 'data'), 'log', nowUnixMs);
  if (!opened.ok) throw new Error(opened.error);
  openLogs.push(opened.value.log);
  return opened.value;
}

const record = (value: unknown, expiresAtUnixMs = 1_000) => ({ value, expiresAtUnixMs });

/** The files that contain something. */
function writtenFiles(): string[] {
  const paths = readdirSync(join(folder, 'data')).map((name) => join(folder, 'data', name));
  return paths.filter((path) => statSync(path).size > 0);
}

describe('ExpiringLog', () => {
  it('returns after a restart what was appended and has not expired', async () => {
    const { log } = await openLog();
    await log.append([record('a'), record('b', 10)], 0);
    await log.append([record({ c: 1 })], 0);
    await log.close();
    expect((await openLog(10)).records.map(({ value }) => value)).toEqual(['a', { c: 1 }]);
  });

  it('leaves out a write that power was lost in, and keeps those before and after it', async () => {
    const { log } = await openLog();
    await log.append([record('a')], 0);
    await log.append([record('torn')], 0);
    const [path = ''] = writtenFiles();
    writeFileSync(path, readFileSync(path, 'utf8').slice(0, -8));
    const reopened = await openLog();
    await reopened.log.append([record('b')], 0);
    expect((await openLog()).records.map(({ value }) => value)).toEqual(['a', 'b']);
  });

  it('leaves out bytes that it did not write', async () => {
    const { log } = await openLog();
    await log.append([record('a')], 0);
    const [path = ''] = writtenFiles();
    appendFileSync(path, `\n0123456789abcdef [[1000,"false"]]\nnoise\0\n`);
    expect((await openLog()).records.map(({ value }) => value)).toEqual(['a']);
  });

  it('does not grow while records expire', async () => {
    const { log } = await openLog();
    const text = 'x'.repeat(100_000);
    for (let nowUnixMs = 0; nowUnixMs < 100; nowUnixMs += 1)
      await log.append([record(text, nowUnixMs + 5)], nowUnixMs);
    const bytes = writtenFiles().reduce((sum, path) => sum + statSync(path).size, 0);
    expect(bytes).toBeLessThan(2_500_000);
    expect((await openLog(98)).records.length).toBe(6);
  });

  it('fails without throwing where there is no such folder, and after it was closed', async () => {
    writeFileSync(join(folder, 'data'), 'a file');
    expect((await ExpiringLog.open(join(folder, 'data'), 'log', 0)).ok).toBe(false);
    rmSync(join(folder, 'data'));
    const { log } = await openLog();
    await log.close();
    expect((await log.append([record('a')], 0)).ok).toBe(false);
  });
});

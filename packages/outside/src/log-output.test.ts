import { execFileSync } from 'node:child_process';
import { constants, mkdtempSync, openSync, readFileSync, readSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { describe, expect, it } from 'vitest';

import { LogOutput } from './log-output.js';

async function eventually(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

const PIPE_BYTES = 65_536;
const LINE = `${'x'.repeat(999)}\n`;
const FULL_DEVICE = '/dev/full';

describe('the output of log lines', () => {
  it('writes all lines in their order, and the last one at the end', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'fighub-log-'));
    const path = join(folder, 'log');
    const output = new LogOutput(openSync(path, 'w'));
    const lines = Array.from({ length: 100 }, (_, index) => `line ${String(index)} ${'x'.repeat(100)}\n`);
    lines.forEach((line) => output.write(line));
    await eventually(() => readFileSync(path).length >= lines.join('').length - 4_096);
    await eventually(() => {
      output.flush();
      return readFileSync(path, 'utf8') === lines.join('');
    });
    output.write('held\n');
    expect(output.end('last\n', 1_000)).toBe(true);
    expect(readFileSync(path, 'utf8')).toBe(`${lines.join('')}held\nlast\n`);
    expect(output.droppedLines).toBe(0);
    rmSync(folder, { recursive: true, force: true });
  });

  it('completes a line that was written in part before the last one, for a reader that reads again', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'fighub-log-'));
    const path = join(folder, 'pipe');
    execFileSync('mkfifo', [path]);
    const reader = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    const output = new LogOutput(openSync(path, constants.O_WRONLY | constants.O_NONBLOCK));
    const buffer = Buffer.alloc(2 * PIPE_BYTES);
    const read = (): string => buffer.toString('latin1', 0, readSync(reader, buffer));
    Array.from({ length: 100 }, () => output.write(LINE));
    let text = '';
    await eventually(() => output.isWaiting);
    text += read();
    expect(output.end('last\n', 1_000)).toBe(true);
    text += read();
    expect(text).toBe(`${LINE.repeat(100)}last\n`);
    rmSync(folder, { recursive: true, force: true });
  });

  it('counts the lines that cannot be written, and goes on', async () => {
    const output = new LogOutput(openSync(FULL_DEVICE, 'w'));
    Array.from({ length: 50 }, () => output.write(LINE));
    await eventually(() => {
      output.flush();
      return output.droppedLines === 50;
    });
    expect(output.end('last\n', 1_000)).toBe(false);
  });

  it('holds a bounded number of bytes before they are written', () => {
    const output = new LogOutput(openSync(FULL_DEVICE, 'w'));
    Array.from({ length: 2_000 }, () => output.write(LINE));
    expect(output.droppedLines).toBe(2_000 - Math.floor(1_048_576 / LINE.length));
  });
});

import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { describe, expect, it } from 'vitest';

import { LogOutput } from './log-output.js';

async function eventually(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

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

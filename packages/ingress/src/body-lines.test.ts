import { PassThrough, Readable } from 'node:stream';

import { sleep } from '@fighub/core';
import { BufferBudget } from '@fighub/decisions';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BodyLines, LineFault } from './body-lines.js';
import { RequestBodies } from './request-bodies.js';

const MAX_LINE_BYTES = 50;
const BUDGET_BYTES = 1_000_000;
/** Characters that arrive together, which end within a line. */
const PART_LENGTH = 37;

/** Reads all lines; the last entry is the fault, if there is one. */
async function readAll(body: Readable, budgetBytes = BUDGET_BYTES): Promise<string[]> {
  const held = new RequestBodies(new BufferBudget(budgetBytes)).open();
  const lines: string[] = [];
  for await (const line of new BodyLines(body, MAX_LINE_BYTES, held).read())
    lines.push(line.ok ? line.value : `fault ${line.error}`);
  return lines;
}

/** The bytes of a text in parts of these sizes, by turns. */
function partsOf(text: string, sizes: readonly number[]): Readable {
  const bytes = Buffer.from(text);
  const cut = (from: number, index: number): Buffer[] => {
    const end = from + (sizes[index % sizes.length] ?? 1);
    return from >= bytes.length ? [] : [bytes.subarray(from, end), ...cut(end, index + 1)];
  };
  return Readable.from(cut(0, 0));
}

describe('BodyLines', () => {
  it('gives the lines of any body, however its bytes are split', async () => {
    const line = fc.string({ unit: fc.constantFrom('a', 'é', '\u2028', '"', ' '), maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(
        fc.array(line, { maxLength: 20 }),
        fc.constantFrom('\n', '\r\n'),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 10 }),
        async (lines, separator, sizes) => {
          const read = await readAll(partsOf(lines.map((text) => text + separator).join(''), sizes));
          expect(read).toEqual(lines);
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it('gives the last line also without a line feed', async () => {
    expect(await readAll(partsOf('a\nb', [1]))).toEqual(['a', 'b']);
  });

  it('takes no more of a line than the longest one', async () => {
    const body = new PassThrough();
    const read = readAll(body);
    body.write('first\n');
    let written = 0;
    while (written < 1_000_000 && body.write('a'.repeat(100))) written += 100;
    expect(await read).toEqual(['first', `fault ${LineFault.tooLong}`]);
  });

  it('takes no more than its reader has taken, and loses none', async () => {
    const all = Array.from({ length: 50_000 }, (_, index) => String(index));
    const body = Readable.from(all.map((line) => Buffer.from(`${line}\n`)));
    expect(await readAll(body, 10_000_000)).toEqual(all);
  });

  it('keeps the order of what arrives while its reader handles lines, and loses none when the body ends then', async () => {
    const all = Array.from({ length: 300 }, (_, index) => `line ${String(index)}`);
    const body = new PassThrough();
    const write = async (text: string): Promise<void> => {
      if (text === '') return void body.end();
      body.write(text.slice(0, PART_LENGTH));
      await sleep(1);
      return write(text.slice(PART_LENGTH));
    };
    const written = write(all.join('\n'));
    const held = new RequestBodies(new BufferBudget(BUDGET_BYTES)).open();
    const lines: string[] = [];
    for await (const line of new BodyLines(body, MAX_LINE_BYTES, held).read()) {
      lines.push(line.ok ? line.value : line.error);
      if (lines.length % 5 === 0) await sleep(4);
    }
    await written;
    expect(lines).toEqual(all);
  });

  it('ends when the body is given up, and when its connection closes', async () => {
    expect(await readAll(partsOf('a\n'.repeat(1_000), [100]), 10)).toEqual([`fault ${LineFault.noMemory}`]);
    const body = new PassThrough();
    const read = readAll(body);
    body.write('a\nhalf');
    setTimeout(() => body.destroy(), 20);
    expect(await read).toEqual(['a', `fault ${LineFault.closed}`]);
  });
});

import { request, validateHeaderName, validateHeaderValue } from 'node:http';

import { assert, constantFrom, oneof, property, string } from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  isExactHeaderValue,
  isFinalStatus,
  isHeaderName,
  isHeaderValue,
  isRequestTarget,
} from './http-text.js';

const RUNS = { seed: 47, numRuns: 2_000 };

/** Texts of all planes, and of the characters that are near the limits of what HTTP can hold. */
const TEXT = oneof(
  string({ unit: 'binary', maxLength: 6 }),
  string({
    unit: constantFrom(...'a-:/ \t\r\n\f\v\0\x1f\x7f\x80\xa0\xff\u0100\u2028\ufeffč'.split('')),
    maxLength: 6,
  }),
);

function accepts(attempt: () => unknown): boolean {
  try {
    attempt();
    return true;
  } catch {
    return false;
  }
}

/** Whether the HTTP library sends a request with this target. No connection is made. */
function canSendTarget(target: string): boolean {
  return accepts(() => {
    const req = request({ host: '127.0.0.1', port: 1, path: target, createConnection: () => undefined });
    req.on('error', () => undefined);
    req.destroy();
  });
}

describe('texts of HTTP messages', () => {
  it('are header names exactly where the HTTP library takes them', () => {
    assert(
      property(TEXT, (text) => {
        expect(isHeaderName(text)).toBe(accepts(() => validateHeaderName(text)));
      }),
      RUNS,
    );
  });

  it('are header values exactly where the HTTP library takes them', () => {
    assert(
      property(TEXT, (text) => {
        expect(isHeaderValue(text)).toBe(accepts(() => validateHeaderValue('x', text)));
      }),
      RUNS,
    );
  });

  it('are exact header values only where nothing is cut off at their ends', () => {
    assert(
      property(TEXT, (text) => {
        const isTrimmed = text.replace(/^[ \t]+|[ \t]+$/g, '') === text;
        expect(isExactHeaderValue(text)).toBe(isHeaderValue(text) && isTrimmed && text !== '');
      }),
      RUNS,
    );
  });

  it('are targets only where the HTTP library sends them', () => {
    assert(
      property(TEXT, (text) => {
        if (isRequestTarget(`/${text}`)) expect(canSendTarget(`/${text}`)).toBe(true);
        else expect(canSendTarget(`/${text}`) && !text.includes('\x7f')).toBe(false);
      }),
      RUNS,
    );
    expect(['', 'a', '*', 'http://a/', '/ a'].map(isRequestTarget)).toEqual([
      false,
      false,
      false,
      false,
      false,
    ]);
  });
});

describe('isFinalStatus', () => {
  it('takes the statuses of final responses only', () => {
    const statuses = [200, 204, 404, 599, 0, 99, 100, 199, 600, 999, 200.5, Number.NaN];
    expect(statuses.filter(isFinalStatus)).toEqual([200, 204, 404, 599]);
  });
});

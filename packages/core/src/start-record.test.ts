import { describe, expect, it } from 'vitest';

import type { ProcessEnd } from './process-life.js';
import { EndReason, ProcessPhase } from './process-life.js';
import { parseStartRecord, recordOfEnd, recordOfStart } from './start-record.js';

const { serving, stopping } = ProcessPhase;
const END: ProcessEnd = {
  reason: EndReason.signal,
  phase: stopping,
  exitStatus: 0,
  detail: 'SIGTERM',
  ranMs: 9,
  phaseMs: {},
};

describe('the record of starts', () => {
  it('counts starts and ends, and takes an end that was not recorded for an unknown one', () => {
    const first = recordOfStart(undefined, 1_000, serving);
    expect(first).toMatchObject({ starts: 1, ends: {}, hasEnded: false });
    const ended = recordOfEnd(first, END, 1_009);
    const second = recordOfStart(ended, 2_000, serving);
    expect(second).toMatchObject({
      starts: 2,
      ends: { signal: 1 },
      lastEnd: { reason: 'signal', atUnixMs: 1_009 },
    });
    const third = recordOfStart(second, 3_000, serving);
    expect(third).toMatchObject({
      starts: 3,
      ends: { signal: 1, unknown: 1 },
      lastEnd: { reason: 'unknown', phase: serving },
    });
    expect(parseStartRecord(JSON.stringify(third))).toEqual(third);
  });

  it('reads records of other builds, and ignores what is none', () => {
    expect(parseStartRecord('{"starts":4,"later":{"a":1}}')).toMatchObject({ starts: 4, hasEnded: false });
    expect([undefined, '', 'null', '7', '{"starts":"x"}'].map(parseStartRecord)).toEqual(
      new Array(5).fill(undefined),
    );
  });
});

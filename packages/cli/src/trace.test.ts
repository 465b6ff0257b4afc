import { describe, expect, it } from 'vitest';

import { formatLine, traceOf } from './trace.js';

const LINES = [
  '{"level":30,"time":2000,"instance":"store-1","event":"item_run","jobId":"j1","itemId":"i1","verdict":"done"}',
  '   0.69 front-1 {"level":30,"time":1000,"instance":"front-1","event":"job_accepted","jobId":"j1"}',
  '{"level":40,"time":1500,"instance":"front-1","event":"request_failed","requestId":"q1","reason":"no_place"}',
  'a line that is not JSON {',
  '{"time":"later","event":"item_run","jobId":"j1"}',
  '{"level":30,"time":1700,"instance":"store-1","event":"job_committed","jobId":"j10"}',
];

describe('traceOf', () => {
  it('collects the log lines about one id from all processes in order of time', () => {
    expect(traceOf('j1', LINES).map((line) => line.event)).toEqual(['job_accepted', 'item_run']);
  });

  it('finds the log line about a refused request with its reason', () => {
    const [line] = traceOf('q1', LINES);
    expect(line && formatLine(line, 1_000)).toBe(
      '   +500 ms  front-1  request_failed  requestId=q1 reason=no_place',
    );
  });
});

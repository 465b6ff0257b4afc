import { describe, expect, it } from 'vitest';

import { ManualClock } from './clock.js';
import { DecisionLog, LogCategory } from './decision-log.js';
import { Metrics } from './metrics.js';

function setup() {
  const lines: Record<string, unknown>[] = [];
  const write = (fields: object): number => lines.push(fields as Record<string, unknown>);
  const clock = new ManualClock();
  const metrics = new Metrics();
  return { lines, clock, metrics, log: new DecisionLog({ info: write, warn: write }, clock, metrics) };
}

describe('DecisionLog', () => {
  it('limits the lines of each event and reports how many were left out', () => {
    const { lines, clock, metrics, log } = setup();
    Array.from({ length: 100 }, () => log.record(LogCategory.routine, 'sent', {}));
    log.record(LogCategory.failure, 'request_failed', { requestId: 'q' });
    expect(lines).toHaveLength(41);
    clock.advance(1_000);
    log.record(LogCategory.routine, 'sent', {});
    expect(lines[41]).toMatchObject({ event: 'sent', leftOut: 60 });
    expect(metrics.value('decision_sent')).toBe(101);
  });

  it('writes every change of state', () => {
    const { lines, log } = setup();
    Array.from({ length: 100 }, () => log.record(LogCategory.state, 'store_lost', {}));
    expect(lines).toHaveLength(100);
  });

  it('bounds changes of state that come without end, and reports how many were left out', () => {
    const { lines, clock, log } = setup();
    Array.from({ length: 5_000 }, () => log.record(LogCategory.state, 'request_limit_changed', {}));
    expect(lines.length).toBeLessThan(500);
    const written = lines.length;
    clock.advance(1_000);
    log.record(LogCategory.state, 'request_limit_changed', {});
    expect(lines[written]).toMatchObject({ leftOut: 5_000 - written });
  });
});

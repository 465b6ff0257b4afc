import { describe, expect, it } from 'vitest';

import { LifeCycle } from './life-cycle.js';

/** A part whose drain lasts until it is aborted or `finish` is called. */
function drainingPart(log: string[]) {
  let finish = (): void => undefined;
  const part = {
    name: 'draining',
    drain: (abort: AbortSignal) =>
      new Promise<void>((resolve) => {
        finish = resolve;
        abort.addEventListener('abort', () => {
          log.push('aborted');
          resolve();
        });
      }),
    stop: () => void log.push('stopped'),
  };
  return { part, finish: () => finish() };
}

describe('LifeCycle', () => {
  it('does not end the drain on a repeated close', async () => {
    const log: string[] = [];
    const { part, finish } = drainingPart(log);
    const lifeCycle = new LifeCycle();
    await lifeCycle.start(part);
    const closed = lifeCycle.close();
    await Promise.resolve();
    expect(lifeCycle.close()).toBe(closed);
    finish();
    await closed;
    expect(log).toEqual(['stopped']);
  });

  it('ends the drain when it is to close now', async () => {
    const log: string[] = [];
    const lifeCycle = new LifeCycle();
    await lifeCycle.start(drainingPart(log).part);
    const closed = lifeCycle.close();
    await Promise.resolve();
    await lifeCycle.closeNow();
    await closed;
    expect(log).toEqual(['aborted', 'stopped']);
  });

  it('starts nothing more once the start is given up, and stops what was being started', async () => {
    const stopped: string[] = [];
    const abandon = new AbortController();
    const lifeCycle = new LifeCycle(abandon.signal);
    await lifeCycle.start({ name: 'a', stop: () => void stopped.push('a') });
    const starting = lifeCycle.start({
      name: 'b',
      start: () => abandon.abort(),
      stop: () => void stopped.push('b'),
    });
    await expect(starting).rejects.toBe(abandon.signal.reason);
    await lifeCycle.close();
    expect(stopped).toEqual(['b', 'a']);
  });
});

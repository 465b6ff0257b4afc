import type { ItemResult } from '@fighub/core';
import type { JournalEntry } from '@fighub/standins';
import { promptDigest } from '@fighub/standins';
import { describe, expect, it } from 'vitest';

import { compareResults, itemPrompt } from './batch-load.js';
import { missedBounds } from './experiment.js';
import type { KeyedResult } from './keyed-load.js';
import { checkKeyed } from './keyed-load.js';
import type { OnlineResult } from './online-load.js';
import { expectedText } from './online-load.js';
import { batchShareOfIdle, measureSlotTime } from './slot-time.js';
import { checkRefusals } from './refusal-check.js';

function journalEntry(prompt: string, changes: Partial<JournalEntry> = {}): JournalEntry {
  return {
    requestId: 'r',
    attemptId: 'a',
    organisation: 'o',
    promptDigest: promptDigest(prompt),
    fromToken: 0,
    receivedAtUnixMs: 100,
    tokens: 0,
    ...changes,
  };
}

function keyed(changes: Partial<KeyedResult> = {}): KeyedResult {
  return { prompt: 'p', notRunAtUnixMs: [], crossed: false, ...changes };
}

const JOB = { jobId: 'j', organisation: 'o', items: 3, tokens: 2, label: 'l' };

function results(): ItemResult[] {
  return [0, 1, 2].map((index) => ({
    index,
    customId: String(index),
    status: 'succeeded',
    text: expectedText(itemPrompt('l', index), 2),
  }));
}

describe('checkKeyed', () => {
  it('reports no violation when each request ran once', () => {
    expect(checkKeyed([keyed({ text: 't' })], [journalEntry('p')])).toEqual({
      ranTwice: 0,
      falseNotRun: 0,
      crossedAnswers: 0,
      answered: 1,
    });
  });

  it('counts a request that ran twice', () => {
    expect(checkKeyed([keyed()], [journalEntry('p'), journalEntry('p')]).ranTwice).toBe(1);
  });

  it('counts a not_run refusal that the caller received after the replica received the request', () => {
    const refusedAfterStart = keyed({ notRunAtUnixMs: [200] });
    expect(checkKeyed([refusedAfterStart], [journalEntry('p')]).falseNotRun).toBe(1);
  });

  it('accepts a run that began after a correct not_run refusal', () => {
    const resent = keyed({ notRunAtUnixMs: [50] });
    expect(checkKeyed([resent], [journalEntry('p')]).falseNotRun).toBe(0);
  });

  it('does not count requests that the replica refused', () => {
    const receivedRequests = [journalEntry('p', { refusal: 'leaving' }), journalEntry('p')];
    expect(checkKeyed([keyed()], receivedRequests).ranTwice).toBe(0);
  });

  it('counts a response that belongs to another request', () => {
    expect(checkKeyed([keyed({ crossed: true })], []).crossedAnswers).toBe(1);
  });
});

describe('checkRefusals', () => {
  it('counts a not_run refusal of a prompt that a replica received', () => {
    const arrival = { atMs: 0, organisation: 'o', entryIndex: 0, prompt: 'p', maxTokens: 1 };
    const error = { status: 503, code: 'x', detail: '', run: 'not_run' };
    const result: OnlineResult = {
      arrival,
      sentAtUnixMs: 0,
      endedAtUnixMs: 1,
      error,
      crossed: false,
      gaveUp: false,
    };
    expect(checkRefusals([result], [journalEntry('p')])).toBe(1);
    expect(checkRefusals([result], [journalEntry('q')])).toBe(0);
  });
});

describe('compareResults', () => {
  it('reports no error when every item has one successful result', () => {
    expect(compareResults(JOB, results())).toEqual({ lost: 0, doubled: 0, wrong: 0, failed: 0 });
  });

  it('counts an item without a result', () => {
    expect(compareResults(JOB, results().slice(1)).lost).toBe(1);
  });

  it('counts an item with two results', () => {
    const [first] = results();
    expect(compareResults(JOB, [...results(), ...(first ? [first] : [])]).doubled).toBe(1);
  });

  it('counts a result that belongs to another item', () => {
    const crossed = results().map((result) => ({ ...result, text: expectedText(itemPrompt('l', 0), 2) }));
    expect(compareResults(JOB, crossed).wrong).toBe(2);
  });

  it('counts items that failed', () => {
    const failed = results().map((result) => ({ ...result, status: 'failed' as const }));
    expect(compareResults(JOB, failed).failed).toBe(3);
  });
});

describe('missedBounds', () => {
  it('reports a figure that is absent, not a number or over its bound', () => {
    const bounds = [{ figure: 'a', atMost: 0 }];
    expect(missedBounds(bounds, {})).toEqual(['a']);
    expect(missedBounds(bounds, { a: Number.NaN })).toEqual(['a']);
    expect(missedBounds(bounds, { a: 1 })).toEqual(['a']);
    expect(missedBounds(bounds, { a: 0 })).toEqual([]);
  });
});

describe('slot time of replicas', () => {
  it('counts only the time inside the window', () => {
    const journal = [
      journalEntry('p', { requestId: 'job-1.0', startedAtUnixMs: 0, endedAtUnixMs: 150 }),
      journalEntry('q', { requestId: 'req-1', startedAtUnixMs: 120, endedAtUnixMs: 170 }),
    ];
    const time = measureSlotTime(journal, 2, 100, 200);
    expect(time).toEqual({ onlineMs: 50, batchMs: 50, totalMs: 200 });
    expect(batchShareOfIdle(time)).toBeCloseTo(1 / 3);
  });
});

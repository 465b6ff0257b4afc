/**
 * Decides when a second copy of a request is sent to another replica, because the first one takes unusually long to bring its
 * first event. Answers single slow replicas and paths; it must add no work while all replicas are slow or full.
 */
import { newHistogram } from '@fighub/core';

import { RetryBudget } from './retry-budget.js';

/** Part of the first events that arrive earlier than a copy is sent. */
const DELAY_PERCENTILE = 95;
/** A delay is known once this many first events were seen within a window. */
const MIN_SAMPLES = 50;
const WINDOW_MS = 10_000;
/** Copies are not sent earlier, so that differences of a few milliseconds cause none. */
const MIN_DELAY_MS = 20;
/** Copies that may follow one another when the limit has not been used for a while. */
const MAX_SAVED_COPIES = 5;

/** The delay after which a copy is sent, from the first events of a service that this instance has seen. */
export class HedgeDelay {
  private current = newHistogram();
  private previous = newHistogram();
  private rotateAtMs: number | undefined;

  /** Records the time to the first event of an attempt, in milliseconds. */
  observe(firstEventMs: number, nowMs: number): void {
    this.rotate(nowMs);
    this.current.recordValue(Math.max(0, Math.round(firstEventMs)));
  }

  /** The delay in milliseconds; undefined while too few first events are known. */
  delayMs(nowMs: number): number | undefined {
    this.rotate(nowMs);
    const known = [this.current, this.previous].find((histogram) => histogram.totalCount >= MIN_SAMPLES);
    return known && Math.max(MIN_DELAY_MS, known.getValueAtPercentile(DELAY_PERCENTILE));
  }

  private rotate(nowMs: number): void {
    this.rotateAtMs ??= nowMs + WINDOW_MS;
    if (nowMs < this.rotateAtMs) return;
    // After two windows without requests nothing recent is known.
    const isStale = nowMs >= this.rotateAtMs + WINDOW_MS;
    this.previous = isStale ? newHistogram() : this.current;
    this.current = newHistogram();
    this.rotateAtMs = nowMs + WINDOW_MS;
  }
}

/**
 * The limit on copies, which the owner of a pool applies for all instances: a fraction of the requests that it has granted,
 * whatever the reason why many are slow.
 */
export function copyBudget(maxCopyFraction: number): RetryBudget {
  return new RetryBudget(maxCopyFraction, 0, MAX_SAVED_COPIES);
}

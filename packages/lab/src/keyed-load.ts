/** Non-idempotent requests with an idempotency key, resent through random entries until their outcome is known. */
import type { ApiError } from '@fighub/client';
import type { JournalEntry } from '@fighub/standins';
import { promptDigest } from '@fighub/standins';

import type { Fleet } from './fleet.js';
import { expectedText } from './online-load.js';
import type { SeededRandom } from './random.js';

/** Outcome of one keyed request as its caller sees it. */
export interface KeyedResult {
  readonly prompt: string;
  /** Text of the response, if there was one. */
  readonly text?: string;
  /** Times at which the caller received a `not_run` refusal. */
  readonly notRunAtUnixMs: readonly number[];
  readonly lastError?: ApiError;
  /** Whether the response belongs to another prompt. */
  readonly crossed: boolean;
}

/** Numbers of keyed requests by outcome. */
export interface KeyedCheck {
  /** Requests that replicas accepted more than once. */
  readonly ranTwice: number;
  /** Requests that were refused as `not_run` although a replica had received them before. */
  readonly falseNotRun: number;
  readonly crossedAnswers: number;
  readonly answered: number;
}

const MAX_SEND_ATTEMPTS = 6;
const RESEND_DELAY_MS = 400;
const TOKENS = 6;
/**
 * Tolerance between the time of a refusal and the time at which a replica received the request. It is 0 as all processes
 * use the same clock. A refusal is also counted as false if the replica recorded the request after the refusal was sent
 * and before the caller had read it.
 */
const CLOCK_TOLERANCE_MS = 0;

/**
 * Sends one keyed request, and resends it with the same key until it succeeds, may have run, or has used all attempts.
 * It is also resent after an `in_progress` response, which means that an earlier attempt may still be running.
 */
export async function sendKeyed(fleet: Fleet, random: SeededRandom, index: number): Promise<KeyedResult> {
  const prompt = `order ${String(index)} ${String(random.below(1_000_000_000))}`;
  const notRunAtUnixMs: number[] = [];
  let lastError: ApiError | undefined;
  for (let send = 0; send < MAX_SEND_ATTEMPTS; send += 1) {
    const entry = fleet.entry(random.below(fleet.entries.length));
    const outcome = await fleet.caller(entry, 'obloha').complete({
      model: fleet.plan.model,
      prompt,
      maxTokens: TOKENS,
      idempotent: false,
      idempotencyKey: `key ${String(index)}`.replace(' ', '-'),
    });
    if (outcome.ok) {
      const crossed = outcome.value.text !== expectedText(prompt, TOKENS);
      return { prompt, text: outcome.value.text, notRunAtUnixMs, crossed };
    }
    lastError = outcome.error;
    if (lastError.run === 'not_run') notRunAtUnixMs.push(Date.now());
    const isFinal = lastError.run === 'may_have_run' && lastError.code !== 'in_progress';
    if (isFinal) break;
    await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MS * (1 + random.next())));
  }
  return { prompt, notRunAtUnixMs, lastError, crossed: false };
}

/** Compares the outcomes that callers saw with the requests that replicas received. */
export function checkKeyed(
  results: readonly KeyedResult[],
  receivedRequests: readonly JournalEntry[],
): KeyedCheck {
  const received = new Map<string, number[]>();
  receivedRequests
    .filter((entry) => entry.refusal === undefined)
    .forEach((entry) => {
      const times = received.get(entry.promptDigest) ?? [];
      times.push(entry.receivedAtUnixMs);
      received.set(entry.promptDigest, times);
    });
  const timesOf = (result: KeyedResult): number[] => received.get(promptDigest(result.prompt)) ?? [];
  return {
    ranTwice: results.filter((result) => timesOf(result).length > 1).length,
    falseNotRun: results.filter((result) =>
      result.notRunAtUnixMs.some((refusedAtUnixMs) =>
        timesOf(result).some((at) => at <= refusedAtUnixMs - CLOCK_TOLERANCE_MS),
      ),
    ).length,
    crossedAnswers: results.filter((result) => result.crossed).length,
    answered: results.filter((result) => result.text !== undefined).length,
  };
}

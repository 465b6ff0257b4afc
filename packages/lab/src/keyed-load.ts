/** Keyed non-idempotent requests that are resent through other instances until their outcome is known. */
import type { ApiError } from '@fighub/client';
import type { JournalEntry } from '@fighub/standins';
import { promptDigest } from '@fighub/standins';

import type { Fleet } from './fleet.js';
import { expectedText } from './online-load.js';
import type { SeededRandom } from './random.js';

/** What a caller saw of one keyed request. */
export interface KeyedResult {
  readonly prompt: string;
  readonly text?: string;
  /** Times at which the caller was told that nothing had run. */
  readonly notRunAtUnixMs: readonly number[];
  readonly lastError?: ApiError;
  readonly crossed: boolean;
}

/** Counts over all keyed requests. */
export interface KeyedCheck {
  readonly ranTwice: number;
  readonly falseNotRun: number;
  readonly crossedAnswers: number;
  readonly answered: number;
}

const MAX_SEND_ATTEMPTS = 6;
const RESEND_DELAY_MS = 400;
const TOKENS = 6;
/** Clocks are the same here, but a reception may be written while the refusal is read. */
const CLOCK_TOLERANCE_MS = 0;

/** Sends one keyed request and resends it while its outcome is open. */
export async function sendKeyed(fleet: Fleet, random: SeededRandom, index: number): Promise<KeyedResult> {
  const prompt = `order ${String(index)} ${String(random.below(1_000_000_000))}`;
  const notRunAtUnixMs: number[] = [];
  let lastError: ApiError | undefined;
  for (let send = 0; send < MAX_SEND_ATTEMPTS; send += 1) {
    const entry = fleet.entry(random.below(fleet.entries.length));
    const answer = await fleet.caller(entry, 'obloha').complete({
      model: fleet.plan.model,
      prompt,
      maxTokens: TOKENS,
      idempotent: false,
      idempotencyKey: `key ${String(index)}`.replace(' ', '-'),
    });
    if (answer.ok) {
      const crossed = answer.value.text !== expectedText(prompt, TOKENS);
      return { prompt, text: answer.value.text, notRunAtUnixMs, crossed };
    }
    lastError = answer.error;
    if (lastError.run === 'not_run') notRunAtUnixMs.push(Date.now());
    const isFinal = lastError.run === 'may_have_run' && lastError.code !== 'in_progress';
    if (isFinal) break;
    await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MS * (1 + random.next())));
  }
  return { prompt, notRunAtUnixMs, lastError, crossed: false };
}

/** Compares what callers were told with what the replicas received. */
export function checkKeyed(results: readonly KeyedResult[], receptions: readonly JournalEntry[]): KeyedCheck {
  const received = new Map<string, number[]>();
  receptions
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

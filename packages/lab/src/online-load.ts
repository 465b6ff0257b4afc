/** Online load: an open-loop trace of request arrivals, drawn from a seed, and the outcome of each request. */
import type { ApiError, StreamedCompletion } from '@fighub/client';
import { tokenText } from '@fighub/standins';

import type { Fleet } from './fleet.js';
import type { SeededRandom } from './random.js';

/** One request of a trace; `atMs` counts from the start of the trace. */
export interface Arrival {
  readonly atMs: number;
  readonly organisation: string;
  readonly entryIndex: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A section of a trace with a constant mean rate. */
export interface TracePhase {
  readonly lengthMs: number;
  readonly ratePerSecond: number;
}

/** Outcome of one request of a trace. */
export interface OnlineResult {
  readonly arrival: Arrival;
  readonly sentAtUnixMs: number;
  readonly endedAtUnixMs: number;
  readonly answer?: StreamedCompletion;
  readonly error?: ApiError;
  /** Whether the text of the response differs from the one that belongs to the prompt. */
  readonly crossed: boolean;
  /** Whether the caller stopped waiting for the first token. */
  readonly gaveUp: boolean;
}

/** A caller cancels its request when the first token has not arrived within this time. */
export const FIRST_TOKEN_TIMEOUT_MS = 5_000;
const SHARED_PREFIX_COUNT = 12;
const PREFIX_LENGTH_CHARS = 256;

/** Draws Poisson arrivals. Prompts share a few prefixes, like those of schools, which put a common text first. */
export function drawTrace(
  random: SeededRandom,
  phases: readonly TracePhase[],
  organisations: readonly string[],
  entries: number,
  maxTokens: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  let startMs = 0;
  phases.forEach((phase) => {
    let atMs = startMs + random.exponentialMs(1_000 / phase.ratePerSecond);
    while (atMs < startMs + phase.lengthMs) {
      const prefix = `prefix ${String(random.below(SHARED_PREFIX_COUNT))} `.padEnd(PREFIX_LENGTH_CHARS, '.');
      arrivals.push({
        atMs,
        organisation: random.pick(organisations),
        entryIndex: random.below(entries),
        prompt: `${prefix} request ${String(arrivals.length)} ${String(random.below(1_000_000))}`,
        maxTokens,
      });
      atMs += random.exponentialMs(1_000 / phase.ratePerSecond);
    }
    startMs += phase.lengthMs;
  });
  return arrivals;
}

/** Sends the requests of a trace at their times and waits until all have ended. */
export function runTrace(fleet: Fleet, trace: readonly Arrival[]): Promise<OnlineResult[]> {
  return Promise.all(trace.map((arrival) => sendAt(fleet, arrival)));
}

/** Text that the complete response to a prompt must have. */
export function expectedText(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => tokenText(prompt, index)).join('');
}

async function sendAt(fleet: Fleet, arrival: Arrival): Promise<OnlineResult> {
  await new Promise((resolve) => setTimeout(resolve, arrival.atMs));
  const caller = fleet.caller(fleet.entry(arrival.entryIndex), arrival.organisation);
  const call = { model: fleet.plan.model, prompt: arrival.prompt, maxTokens: arrival.maxTokens };
  const sentAtUnixMs = Date.now();
  const firstTokenTimeout = new AbortController();
  const timer = setTimeout(() => firstTokenTimeout.abort(), FIRST_TOKEN_TIMEOUT_MS);
  const outcome = await caller.stream(call, () => clearTimeout(timer), firstTokenTimeout.signal);
  clearTimeout(timer);
  const base = { arrival, sentAtUnixMs, endedAtUnixMs: Date.now(), gaveUp: firstTokenTimeout.signal.aborted };
  if (!outcome.ok) return { ...base, error: outcome.error, crossed: false };
  const crossed = outcome.value.text !== expectedText(arrival.prompt, arrival.maxTokens);
  return { ...base, answer: outcome.value, crossed };
}

/** Times to the first token of the answered requests, in milliseconds, ascending. */
export function firstTokenTimes(results: readonly OnlineResult[]): number[] {
  return results
    .flatMap((result) => (result.answer ? [result.answer.firstTokenMs] : []))
    .sort((a, b) => a - b);
}

/** Percentile of ascending values, by nearest rank; 0 when there are none. */
export function percentile(ascending: readonly number[], percent: number): number {
  const index = Math.min(ascending.length - 1, Math.ceil((percent / 100) * ascending.length) - 1);
  return ascending[Math.max(0, index)] ?? 0;
}

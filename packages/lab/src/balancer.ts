/**
 * Models the hosting platform's load balancer, which sends requests to running entries in turn and excludes an entry
 * only some time after the shutdown of the entry began.
 */
import type { ApiError, StreamedCompletion } from '@fighub/client';
import type { Outcome } from '@fighub/core';
import { fail } from '@fighub/core';

import type { Fleet, FleetEntry } from './fleet.js';
import { expectedText } from './online-load.js';

/** Outcome of a request that was sent through the balancer. */
export interface BalancedResult {
  readonly outcome: Outcome<StreamedCompletion, ApiError>;
  /**
   * Whether the response ended before the stream was complete, its text is not the one that belongs to the prompt, or
   * the request failed in a way that forbids a retry.
   */
  readonly cut: boolean;
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 60;

/** Round-robin load balancer that retries on the next entry after a `not_run` refusal or a refused connection. */
export class Balancer {
  private roundRobinIndex = 0;
  /** Entries that get no new requests. Experiments add an entry some time after they have sent it SIGTERM. */
  readonly excluded = new Set<FleetEntry>();

  constructor(private readonly fleet: Fleet) {}

  /** Sends one streamed request. It is not retried once a token has arrived. */
  async send(organisation: string, prompt: string, maxTokens: number): Promise<BalancedResult> {
    let outcome: Outcome<StreamedCompletion, ApiError> = fail({ status: 0, code: 'no_entry', detail: '' });
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      let firstTokenArrived = false;
      const call = { model: this.fleet.plan.model, prompt, maxTokens };
      outcome = await this.fleet
        .caller(this.next(), organisation)
        .stream(call, () => (firstTokenArrived = true));
      if (outcome.ok) return { outcome, cut: outcome.value.text !== expectedText(prompt, maxTokens) };
      const mayRetry = outcome.error.run === 'not_run' || outcome.error.detail.includes('ECONNREFUSED');
      if (firstTokenArrived || !mayRetry) return { outcome, cut: true };
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    return { outcome, cut: false };
  }

  private next(): FleetEntry {
    const usable = this.fleet.entries.filter((entry) => !this.excluded.has(entry) && entry.process.running);
    this.roundRobinIndex += 1;
    return usable[this.roundRobinIndex % usable.length] ?? this.fleet.entry(this.roundRobinIndex);
  }
}

/** The platform's balancer as callers see it: it sends to live entries and learns late of those that leave. */
import type { ApiError, StreamedAnswer } from '@fighub/client';
import type { Outcome } from '@fighub/core';
import { fail } from '@fighub/core';

import type { Fleet, FleetEntry } from './fleet.js';
import { expectedText } from './online-load.js';

/** End of a request through the balancer. */
export interface BalancedResult {
  readonly outcome: Outcome<StreamedAnswer, ApiError>;
  /** The answer broke off, or was not the request's own. */
  readonly cut: boolean;
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 60;

/** Sends requests in turn and tries the next entry after a "not run" refusal or a refused connection. */
export class Balancer {
  private roundRobinIndex = 0;
  readonly excluded = new Set<FleetEntry>();

  constructor(private readonly fleet: Fleet) {}

  /** Sends one request. */
  async send(organisation: string, prompt: string, maxTokens: number): Promise<BalancedResult> {
    let outcome: Outcome<StreamedAnswer, ApiError> = fail({ status: 0, code: 'no_entry', detail: '' });
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      let began = false;
      const call = { model: this.fleet.plan.model, prompt, maxTokens };
      outcome = await this.fleet.caller(this.next(), organisation).stream(call, () => (began = true));
      if (outcome.ok) return { outcome, cut: outcome.value.text !== expectedText(prompt, maxTokens) };
      const mayRetry = outcome.error.run === 'not_run' || outcome.error.detail.includes('ECONNREFUSED');
      if (began || !mayRetry) return { outcome, cut: true };
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

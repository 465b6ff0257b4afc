/** Closed-loop load: a constant number of requests is open at any time, which keeps a fleet overloaded. */
import type { Fleet } from './fleet.js';
import type { SeededRandom } from './random.js';

/** A completed request of a closed loop; `atMs` counts from the start of the experiment. */
export interface LoopCompletion {
  readonly organisation: string;
  readonly atMs: number;
  readonly tokens: number;
}

/**
 * Closed-loop load of one organisation. Each of the `open` workers sends its next request when the previous one has
 * ended. After a refusal it first waits for the delay that the refusal states, or for 100 ms if it states none.
 */
export class ClosedLoop {
  readonly completions: LoopCompletion[] = [];
  /** Error codes of the requests that failed. */
  readonly refusals: string[] = [];
  private running = true;
  private readonly workers: Promise<void>[];

  constructor(
    private readonly fleet: Fleet,
    private readonly organisation: string,
    private readonly random: SeededRandom,
    open: number,
    private readonly tokens: number,
    private readonly startedMs: number,
  ) {
    this.workers = Array.from({ length: open }, () => this.runWorker());
  }

  /** Sends no further requests and waits for the open ones. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.workers);
  }

  private async runWorker(): Promise<void> {
    while (this.running) {
      const entry = this.fleet.entry(this.random.below(this.fleet.entries.length));
      const prompt = `${this.organisation} ${String(this.random.below(1_000_000_000))}`;
      const call = { model: this.fleet.plan.model, prompt, maxTokens: this.tokens };
      const outcome = await this.fleet.caller(entry, this.organisation).stream(call);
      const atMs = performance.now() - this.startedMs;
      if (outcome.ok) {
        this.completions.push({ organisation: this.organisation, atMs, tokens: outcome.value.tokens });
        continue;
      }
      this.refusals.push(outcome.error.code);
      await new Promise((resolve) => setTimeout(resolve, outcome.error.retryAfterMs ?? 100));
    }
  }
}

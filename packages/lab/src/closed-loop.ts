/** Callers that always keep a number of requests open, for overload. */
import type { Fleet } from './fleet.js';
import type { SeededRandom } from './random.js';

/** A completed request of a closed loop. */
export interface LoopCompletion {
  readonly organisation: string;
  readonly atMs: number;
  readonly tokens: number;
}

/** Callers of one organisation. */
export class ClosedLoop {
  readonly completions: LoopCompletion[] = [];
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

  /** Ends the loop after the open requests. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.workers);
  }

  private async runWorker(): Promise<void> {
    while (this.running) {
      const entry = this.fleet.entry(this.random.below(this.fleet.entries.length));
      const prompt = `${this.organisation} ${String(this.random.below(1_000_000_000))}`;
      const call = { model: this.fleet.plan.model, prompt, maxTokens: this.tokens };
      const answer = await this.fleet.caller(entry, this.organisation).stream(call);
      const atMs = performance.now() - this.startedMs;
      if (answer.ok) {
        this.completions.push({ organisation: this.organisation, atMs, tokens: answer.value.tokens });
        continue;
      }
      this.refusals.push(answer.error.code);
      await new Promise((resolve) => setTimeout(resolve, answer.error.retryAfterMs ?? 100));
    }
  }
}

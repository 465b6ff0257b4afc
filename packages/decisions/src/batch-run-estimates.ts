/**
 * Recognises batch items that cannot meet their deadline, from the runs that the owner of a pool has observed. Answers
 * more batch work than fits beside online requests, for example after replicas were lost.
 */
import type { SlotRequest } from './pool-types.js';

/** What the owner observed of one run of a batch item. */
export interface ObservedRun {
  /** Kind of work of the item. */
  readonly workload: string;
  /** Tokens that earlier runs of the item had received. */
  readonly earlierTokens: number;
  /** Tokens that this run received. */
  readonly tokens: number;
  /** Time from the grant to the release, in milliseconds. */
  readonly ranMs: number;
  /** Whether the item was finished. */
  readonly completed: boolean;
}

/** Moving averages of the output length of the items of one kind of work, in tokens. */
interface OutputLength {
  mean: number;
  meanDeviation: number;
}

/** Weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Shorter runs are dominated by the time to the first token, which says nothing about the rate. */
const MIN_RATE_SAMPLE_TOKENS = 10;
/** Assumed time between tokens before a run was observed. */
const INITIAL_MS_PER_TOKEN = 20;

/** Keeps the moving averages, and derives the shortest remaining run times from them. */
export class BatchRunEstimates {
  private msPerToken = INITIAL_MS_PER_TOKEN;
  private readonly lengths = new Map<string, OutputLength>();

  /** Records a run that has ended. */
  observe(run: ObservedRun): void {
    if (run.tokens >= MIN_RATE_SAMPLE_TOKENS) {
      this.msPerToken += SMOOTHING_FACTOR * (run.ranMs / run.tokens - this.msPerToken);
    }
    if (!run.completed) return;
    const outputTokens = run.earlierTokens + run.tokens;
    const known = this.lengths.get(run.workload);
    if (!known) {
      this.lengths.set(run.workload, { mean: outputTokens, meanDeviation: outputTokens / 2 });
      return;
    }
    const difference = outputTokens - known.mean;
    known.mean += SMOOTHING_FACTOR * difference;
    known.meanDeviation += SMOOTHING_FACTOR * (Math.abs(difference) - known.meanDeviation);
  }

  /**
   * Whether an item that waits would be late even if it started now and were shorter than most items of its kind
   * of work. Before one of them has finished, only overdue items count as late.
   */
  isLate(item: SlotRequest, nowMs: number): boolean {
    return nowMs + this.shortestRunMs(item) >= item.deadlineMs;
  }

  private shortestRunMs({ organisation, workload = organisation, receivedTokens }: SlotRequest): number {
    const length = this.lengths.get(workload);
    if (!length) return 0;
    const shortTokens = length.mean - length.meanDeviation;
    return Math.max(0, shortTokens - (receivedTokens ?? 0)) * this.msPerToken;
  }
}

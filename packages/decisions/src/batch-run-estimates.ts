/** Estimates the remaining run times of batch items from the runs that the owner of a pool has observed. */
import type { Permit, SlotRequest } from './pool-types.js';

/** What the owner observed of one run of a batch item. */
export interface ObservedRun {
  readonly organisation: string;
  /** Tokens that earlier runs of the item had received. */
  readonly earlierTokens: number;
  /** Tokens that this run received. */
  readonly tokens: number;
  /** Time from the grant to the release, in milliseconds. */
  readonly ranMs: number;
  /** Whether the item was finished. */
  readonly completed: boolean;
}

/** Expected and long remaining run time of an item, in milliseconds. */
export interface RemainingRun {
  readonly expectedRunMs: number;
  readonly longRunMs: number;
}

/** Moving averages of the output length of an organisation's items, in tokens. */
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
const UNKNOWN_RUN: RemainingRun = { expectedRunMs: 0, longRunMs: 0 };

/** Keeps the moving averages, and derives the progress and remaining run times from them. */
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
    const known = this.lengths.get(run.organisation);
    if (!known) {
      this.lengths.set(run.organisation, { mean: outputTokens, meanDeviation: outputTokens / 2 });
      return;
    }
    const difference = outputTokens - known.mean;
    known.mean += SMOOTHING_FACTOR * difference;
    known.meanDeviation += SMOOTHING_FACTOR * (Math.abs(difference) - known.meanDeviation);
  }

  /** When a running item would have started if it had received all of its tokens without interruption. */
  uninterruptedStartMs({ request, grantedAtMs }: Permit): number {
    return grantedAtMs - (request.receivedTokens ?? 0) * this.msPerToken;
  }

  /** Remaining run time of an item that waits; 0 before an item of its organisation has finished. */
  remainingOf({ organisation, receivedTokens }: SlotRequest): RemainingRun {
    return this.remaining(organisation, receivedTokens ?? 0);
  }

  /** Remaining run time of an item that runs. */
  remainingOfRunning(permit: Permit, nowMs: number): RemainingRun {
    const ranMs = Math.max(0, nowMs - this.uninterruptedStartMs(permit));
    return this.remaining(permit.request.organisation, ranMs / this.msPerToken);
  }

  private remaining(organisation: string, receivedTokens: number): RemainingRun {
    const length = this.lengths.get(organisation);
    if (!length) return UNKNOWN_RUN;
    // An item that is longer than the mean has some tokens left, but it is not known how many.
    const expectedTokens = Math.max(length.mean - receivedTokens, length.meanDeviation / 2);
    return {
      expectedRunMs: expectedTokens * this.msPerToken,
      longRunMs: (expectedTokens + length.meanDeviation) * this.msPerToken,
    };
  }
}

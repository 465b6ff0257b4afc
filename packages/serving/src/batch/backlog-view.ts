import type { Clock, JobProgress } from '@fighub/core';
import type { BacklogEstimate } from '@fighub/decisions';
import { waitingTokensByBacklog } from '@fighub/decisions';
import type { JobBacklog } from '@fighub/peers';

/** A job that this instance accepted after the newest listing. `acceptedAtMs` is in monotonic time. */
interface LocallyAcceptedJob {
  readonly backlog: string;
  readonly tokens: number;
  readonly acceptedAtMs: number;
}

/**
 * Estimate of the tokens of unfinished batch items on each route, for each organisation apart: the sum over the newest listing of jobs, made by
 * this instance or by a coordinator, plus the jobs that this instance has accepted since.
 */
export class BacklogView {
  private tokensByRoute: Readonly<Record<string, number>> = {};
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private locallyAcceptedJobs: readonly LocallyAcceptedJob[] = [];

  constructor(private readonly clock: Clock) {}

  /** Applies a listing of all jobs that was requested at `requestedAtMs`, in monotonic time. */
  onListed(jobs: readonly JobProgress[], requestedAtMs: number): void {
    this.applyListing(waitingTokensByBacklog(jobs), requestedAtMs);
  }

  /** Applies the backlog that a coordinator pushed, unless the known listing is at least as new. */
  onPushed(backlog: JobBacklog): void {
    this.applyListing(backlog.tokensByRoute, this.clock.monotonicMs() - backlog.ageMs);
  }

  /** Counts a job that this instance accepted, until a listing is new enough to contain it. */
  onAccepted(backlog: string, tokens: number): void {
    this.locallyAcceptedJobs = [
      ...this.locallyAcceptedJobs,
      { backlog, tokens, acceptedAtMs: this.clock.monotonicMs() },
    ];
  }

  /** The waiting tokens under a name of `backlogName`, or undefined until a listing is known. */
  estimate(backlog: string): BacklogEstimate | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    const acceptedTokens = this.locallyAcceptedJobs
      .filter((job) => job.backlog === backlog)
      .reduce((sum, job) => sum + job.tokens, 0);
    return {
      waitingTokens: (this.tokensByRoute[backlog] ?? 0) + acceptedTokens,
      ageMs: this.clock.monotonicMs() - this.listedAtMs,
    };
  }

  /** The sums of the newest listing, to be pushed to other instances, or undefined until one is known. */
  snapshot(): JobBacklog | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    return { tokensByRoute: this.tokensByRoute, ageMs: this.clock.monotonicMs() - this.listedAtMs };
  }

  private applyListing(tokensByRoute: Readonly<Record<string, number>>, listedAtMs: number): void {
    if (listedAtMs <= this.listedAtMs) return;
    this.tokensByRoute = tokensByRoute;
    this.listedAtMs = listedAtMs;
    this.locallyAcceptedJobs = this.locallyAcceptedJobs.filter((job) => job.acceptedAtMs >= listedAtMs);
  }
}

import type { Clock, JobProgress } from '@fighub/core';
import type { BacklogEstimate } from '@fighub/decisions';
import { waitingTokensByBacklog } from '@fighub/decisions';
import type { JobBacklog } from '@fighub/peers';

/** A view that is pushed names at most so many backlogs, however many organisations have jobs. */
const MAX_PUSHED_BACKLOGS = 64;

/** A job that this instance accepted after the newest listing. `acceptedAtMs` is in monotonic time. */
interface LocallyAcceptedJob {
  readonly backlog: string;
  readonly tokens: number;
  readonly acceptedAtMs: number;
}

/**
 * Estimate of the tokens of unfinished batch items on each route, for each organisation apart: the sum over the newest
 * listing of jobs, made by this instance or by a coordinator, plus the jobs that this instance has accepted since. Of a
 * coordinator's listing only the largest backlogs are known; others are taken to be as large as the next one.
 */
export class BacklogView {
  private tokensByRoute: Readonly<Record<string, number>> = {};
  /** Upper bound of the backlogs that are not in `tokensByRoute`. */
  private othersAtMostTokens = 0;
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private locallyAcceptedJobs: readonly LocallyAcceptedJob[] = [];

  constructor(private readonly clock: Clock) {}

  /** Applies a listing of all jobs that was requested at `requestedAtMs`, in monotonic time. */
  onListed(jobs: readonly JobProgress[], requestedAtMs: number): void {
    this.applyListing({ tokensByRoute: waitingTokensByBacklog(jobs) }, requestedAtMs);
  }

  /** Applies the backlog that a coordinator pushed, unless the known listing is at least as new. */
  onPushed(backlog: JobBacklog): void {
    this.applyListing(backlog, this.clock.monotonicMs() - backlog.ageMs);
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
      waitingTokens: (this.tokensByRoute[backlog] ?? this.othersAtMostTokens) + acceptedTokens,
      ageMs: this.clock.monotonicMs() - this.listedAtMs,
    };
  }

  /** The largest backlogs of the newest listing, to be pushed to other instances, or undefined until one is known. */
  snapshot(): JobBacklog | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    const ageMs = this.clock.monotonicMs() - this.listedAtMs;
    const backlogs = Object.entries(this.tokensByRoute);
    if (backlogs.length <= MAX_PUSHED_BACKLOGS)
      return { tokensByRoute: this.tokensByRoute, othersAtMostTokens: this.othersAtMostTokens, ageMs };
    const descending = backlogs.sort(([, a], [, b]) => b - a);
    return {
      tokensByRoute: Object.fromEntries(descending.slice(0, MAX_PUSHED_BACKLOGS)),
      othersAtMostTokens: descending[MAX_PUSHED_BACKLOGS]?.[1],
      ageMs,
    };
  }

  private applyListing(
    { tokensByRoute, othersAtMostTokens = 0 }: Omit<JobBacklog, 'ageMs'>,
    listedAtMs: number,
  ): void {
    if (listedAtMs <= this.listedAtMs) return;
    this.tokensByRoute = tokensByRoute;
    this.othersAtMostTokens = othersAtMostTokens;
    this.listedAtMs = listedAtMs;
    this.locallyAcceptedJobs = this.locallyAcceptedJobs.filter((job) => job.acceptedAtMs >= listedAtMs);
  }
}

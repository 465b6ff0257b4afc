import type { Clock, JobProgress } from '@fighub/core';
import type { BacklogKnowledge } from '@fighub/decisions';
import { waitingTokensByRoute } from '@fighub/decisions';
import type { JobBacklog } from '@fighub/peers';

interface LocallyAcceptedJob {
  readonly routeName: string;
  readonly tokens: number;
  readonly atMs: number;
}

/** Tokens that wait on each route: as listed last, here or by a coordinator, and as accepted here since. */
export class BacklogView {
  private tokensByRoute: Readonly<Record<string, number>> = {};
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private locallyAcceptedJobs: readonly LocallyAcceptedJob[] = [];

  constructor(private readonly clock: Clock) {}

  /** Takes in a listing of all jobs that was asked for at `askedAtMs`. */
  onListed(jobs: readonly JobProgress[], requestedAtMs: number): void {
    this.applyListing(waitingTokensByRoute(jobs), requestedAtMs);
  }

  /** Takes in what a coordinator has listed. */
  onPushed(backlog: JobBacklog): void {
    this.applyListing(backlog.tokensByRoute, this.clock.monotonicMs() - backlog.ageMs);
  }

  /** Counts a job that was accepted here until a listing contains it. */
  onAccepted(routeName: string, tokens: number): void {
    this.locallyAcceptedJobs = [
      ...this.locallyAcceptedJobs,
      { routeName, tokens, atMs: this.clock.monotonicMs() },
    ];
  }

  /** Undefined until a listing is known. */
  forRoute(routeName: string): BacklogKnowledge | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    const acceptedTokens = this.locallyAcceptedJobs
      .filter((job) => job.routeName === routeName)
      .reduce((sum, job) => sum + job.tokens, 0);
    return {
      waitingTokens: (this.tokensByRoute[routeName] ?? 0) + acceptedTokens,
      ageMs: this.clock.monotonicMs() - this.listedAtMs,
    };
  }

  /** What is known, for other instances. */
  snapshot(): JobBacklog | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    return { tokensByRoute: this.tokensByRoute, ageMs: this.clock.monotonicMs() - this.listedAtMs };
  }

  private applyListing(tokensByRoute: Readonly<Record<string, number>>, listedAtMs: number): void {
    if (listedAtMs <= this.listedAtMs) return;
    this.tokensByRoute = tokensByRoute;
    this.listedAtMs = listedAtMs;
    this.locallyAcceptedJobs = this.locallyAcceptedJobs.filter((job) => job.atMs >= listedAtMs);
  }
}

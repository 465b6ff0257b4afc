import type { Clock, JobProgress } from '@fighub/core';
import type { BacklogKnowledge } from '@fighub/decisions';
import { waitingTokensByRoute } from '@fighub/decisions';
import type { JobBacklog } from '@fighub/peers';

interface AcceptedHere {
  readonly routeName: string;
  readonly tokens: number;
  readonly atMs: number;
}

/** Tokens that wait on each route: as listed last, here or by a coordinator, and as accepted here since. */
export class BacklogView {
  private tokensByRoute: Readonly<Record<string, number>> = {};
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private acceptedHere: readonly AcceptedHere[] = [];

  constructor(private readonly clock: Clock) {}

  /** Takes in a listing of all jobs that was asked for at `askedAtMs`. */
  onListed(jobs: readonly JobProgress[], askedAtMs: number): void {
    this.take(waitingTokensByRoute(jobs), askedAtMs);
  }

  /** Takes in what a coordinator has listed. */
  onPushed(backlog: JobBacklog): void {
    this.take(backlog.tokensByRoute, this.clock.monotonicMs() - backlog.ageMs);
  }

  /** Counts a job that was accepted here until a listing contains it. */
  onAccepted(routeName: string, tokens: number): void {
    this.acceptedHere = [...this.acceptedHere, { routeName, tokens, atMs: this.clock.monotonicMs() }];
  }

  /** Undefined until a listing is known. */
  of(routeName: string): BacklogKnowledge | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    const since = this.acceptedHere
      .filter((job) => job.routeName === routeName)
      .reduce((sum, job) => sum + job.tokens, 0);
    return {
      waitingTokens: (this.tokensByRoute[routeName] ?? 0) + since,
      ageMs: this.clock.monotonicMs() - this.listedAtMs,
    };
  }

  /** What is known, for other instances. */
  snapshot(): JobBacklog | undefined {
    if (!Number.isFinite(this.listedAtMs)) return undefined;
    return { tokensByRoute: this.tokensByRoute, ageMs: this.clock.monotonicMs() - this.listedAtMs };
  }

  private take(tokensByRoute: Readonly<Record<string, number>>, listedAtMs: number): void {
    if (listedAtMs <= this.listedAtMs) return;
    this.tokensByRoute = tokensByRoute;
    this.listedAtMs = listedAtMs;
    this.acceptedHere = this.acceptedHere.filter((job) => job.atMs >= listedAtMs);
  }
}

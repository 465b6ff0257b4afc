/** Forwards the requests of callers to replicas. */
import type { Route } from '@fighub/core';

import type { ForwardDependencies } from './forward-run.js';
import { ForwardRun } from './forward-run.js';
import type { ForwardedRequest, ResponseSink } from './forwarding.js';

/** Runs requests and counts those that are open. */
export class ForwardRunner {
  private open = 0;
  private readonly ended = new AbortController();

  constructor(private readonly dependencies: ForwardDependencies) {}

  /** Number of requests whose response has not ended. */
  get openRequests(): number {
    return this.open;
  }

  /** Ends all requests that are open, and all later ones, with an error or, where a response has begun, by breaking it off. */
  endAll(): void {
    this.ended.abort();
  }

  /** Forwards `request` and writes the response to `sink`. `signal` is aborted when the caller disconnects. */
  async run(request: ForwardedRequest, route: Route, sink: ResponseSink, signal: AbortSignal): Promise<void> {
    this.open += 1;
    try {
      await new ForwardRun(request, route, sink, signal, this.ended.signal, this.dependencies).run();
    } finally {
      this.open -= 1;
    }
  }
}

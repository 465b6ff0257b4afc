/**
 * Infers where a stream began that its caller resumes without naming the attempt that began it. While a route has led to
 * one service with one software version for longer than streams live, all of its streams began there. Load that it answers: streams that
 * are taken up at an instance that was cut off or stood still while replicas of a new version joined, and at which others began streams.
 */
import type { ReplicaRecord, Route } from '@fighub/core';

import type { ClockReading } from './knowledge-age.js';
import type { StreamOrigin } from './stream-origins.js';

/** Between readings that are further apart, replicas may have joined and left again. */
const MAX_READING_GAP_MS = 1_500;
/** A replica may begin streams for this long after it was listed for the last time. */
const LISTING_LAG_MS = 2_500;

/** What this instance has seen of routes and software versions. Times are monotonic. */
export class OriginHistory {
  /** When each software version of each service was listed for the last time. */
  private readonly listedAtMs = new Map<string, Map<string, number>>();
  /** The services of each route, and since when it has led there. */
  private readonly routes = new Map<string, { readonly services: string; readonly sinceMs: number }>();
  /** Since when the directory has been read without a gap. */
  private readSinceMs = Number.POSITIVE_INFINITY;
  private readAt: ClockReading = {
    monotonicMs: Number.NEGATIVE_INFINITY,
    unixMs: Number.NEGATIVE_INFINITY,
  };
  /** When this instance last began to read the directory from the store itself. */
  private ownReadAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Records the replicas that the directory listed at `readAt`. `isOwnRead` states that this instance has read the store itself since
   * then; what others pass on may have been held up on the way for any time.
   */
  observeReplicas(replicas: readonly ReplicaRecord[], readAt: ClockReading, isOwnRead: boolean): void {
    const readAtMs = readAt.monotonicMs;
    if (isOwnRead) this.ownReadAtMs = Math.max(this.ownReadAtMs, readAtMs);
    if (readAtMs < this.readAt.monotonicMs) return;
    // The monotonic clock stands still while the machine is suspended.
    const gapMs = Math.max(readAtMs - this.readAt.monotonicMs, readAt.unixMs - this.readAt.unixMs);
    if (gapMs > MAX_READING_GAP_MS) this.readSinceMs = readAtMs;
    this.readAt = readAt;
    replicas.forEach(({ service, softwareVersion }) => {
      const versions = this.listedAtMs.get(service) ?? new Map<string, number>();
      this.listedAtMs.set(service, versions.set(softwareVersion, readAtMs));
    });
  }

  /** Records the routes of a configuration that is applied at `nowMs`. */
  observeRoutes(routes: readonly Route[], nowMs: number): void {
    routes.forEach((route) => {
      const services = servicesOf(route).join(' ');
      if (this.routes.get(route.name)?.services !== services)
        this.routes.set(route.name, { services, sinceMs: nowMs });
    });
  }

  /**
   * Where every stream of the route began that may be taken up with a request that arrived at `arrivedAtMs`; undefined when that is not
   * certain. The stream may have begun at a replica that joined right before, so that only a reading of the store that was begun after the
   * arrival has all versions.
   */
  soleOrigin(route: Route, arrivedAtMs: number): StreamOrigin | undefined {
    return this.ownReadAtMs >= arrivedAtMs ? this.likelySoleOrigin(route, arrivedAtMs) : undefined;
  }

  /** As `soleOrigin`, as far as is known without another reading of the store. If it is undefined, a reading does not help. */
  likelySoleOrigin(route: Route, arrivedAtMs: number): StreamOrigin | undefined {
    const sinceMs = arrivedAtMs - route.timeoutMs - LISTING_LAG_MS;
    const [service, ...otherServices] = servicesOf(route);
    const isRouteOlder = (this.routes.get(route.name)?.sinceMs ?? arrivedAtMs) <= sinceMs;
    const isCovered = this.readSinceMs <= sinceMs;
    if (service === undefined || otherServices.length > 0 || !isRouteOlder || !isCovered) return undefined;
    const versions = [...(this.listedAtMs.get(service) ?? [])].filter(
      ([, listedAtMs]) => listedAtMs >= sinceMs,
    );
    const [sole, ...others] = versions;
    return sole && others.length === 0 ? { service, softwareVersion: sole[0] } : undefined;
  }
}

function servicesOf(route: Route): string[] {
  return route.backends.filter(({ weight }) => weight > 0).map(({ service }) => service);
}

/**
 * Infers where a stream began that its caller resumes without naming the attempt that began it. While a route has led to
 * one service with one software version for longer than streams live, all of its streams began there.
 */
import type { ReplicaRecord, Route } from '@fighub/core';

import type { StreamOrigin } from './stream-origins.js';

/** An older directory may lack replicas at which other instances have begun streams. */
const MAX_DIRECTORY_AGE_MS = 1_500;
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
  private readAtMs = Number.NEGATIVE_INFINITY;

  /** Records the replicas that the directory listed at `readAtMs`. */
  observeReplicas(replicas: readonly ReplicaRecord[], readAtMs: number): void {
    if (readAtMs < this.readAtMs) return;
    if (readAtMs - this.readAtMs > MAX_DIRECTORY_AGE_MS) this.readSinceMs = readAtMs;
    this.readAtMs = readAtMs;
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

  /** Where every stream of the route that is still alive began; undefined when that is not certain. */
  soleOrigin(route: Route, nowMs: number): StreamOrigin | undefined {
    const sinceMs = nowMs - route.timeoutMs - LISTING_LAG_MS;
    const [service, ...otherServices] = servicesOf(route);
    const isRouteOlder = (this.routes.get(route.name)?.sinceMs ?? nowMs) <= sinceMs;
    const isCovered = this.readSinceMs <= sinceMs && nowMs - this.readAtMs <= MAX_DIRECTORY_AGE_MS;
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

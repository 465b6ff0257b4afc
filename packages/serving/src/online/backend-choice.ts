/** Chooses the service that handles a request among the backends of its route. */
import type { RouteBackend } from '@fighub/core';

/**
 * Returns the service of a backend. With a uniformly random `share` (0 inclusive to 1 exclusive), backends are chosen
 * in proportion to their weights. Empty when there is no backend.
 */
export function pickBackend(backends: readonly RouteBackend[], share: number): string {
  const total = backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = share * total;
  const chosen = backends.find((backend) => {
    left -= backend.weight;
    return left < 0;
  });
  return (chosen ?? backends[backends.length - 1])?.service ?? '';
}

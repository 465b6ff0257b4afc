/** Chooses the service of a request among the backends of its route. */
import type { RouteBackend } from '@fighub/core';

/** The backend at `share` (0 up to 1) of the total weight. */
export function pickBackend(backends: readonly RouteBackend[], share: number): string {
  const total = backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = share * total;
  const chosen = backends.find((backend) => {
    left -= backend.weight;
    return left < 0;
  });
  return (chosen ?? backends[backends.length - 1])?.service ?? '';
}

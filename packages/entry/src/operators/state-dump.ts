/** The state dump of an instance, which operators read for diagnosis. */
import type { Container } from 'inversify';

import { Tokens } from '../life-cycle/tokens.js';

/** Returns the state of all components of the instance, such as table revisions, permits, upstreams and leases. */
export function dumpState(container: Container): Record<string, unknown> {
  const self = container.get(Tokens.self);
  const { membership } = container.get(Tokens.membership);
  const cpuUsage = process.cpuUsage();
  return {
    instanceId: self.instanceId,
    failureDomain: self.failureDomain,
    nowUnixMs: container.get(Tokens.clock).nowUnixMs(),
    memoryBytes: process.memoryUsage().rss,
    processorTimeMs: (cpuUsage.user + cpuUsage.system) / 1_000,
    openRequests: container.get(Tokens.gateway).openRequests,
    members: membership.all(),
    memberUpdatesToSpread: membership.pendingUpdateCount,
    table: {
      ...container.get(Tokens.tableReplication).dump(),
      rows: container.get(Tokens.table).rows().length,
    },
    pools: container.get(Tokens.host).dump(),
    permits: container.get(Tokens.permits).dump(),
    direct: container.get(Tokens.direct).dump(),
    upstreams: container.get(Tokens.upstreams).dump(),
    retriesAvailable: container.get(Tokens.runner).retriesAvailable,
    once: container.get(Tokens.once).dump(),
    batch: container.get(Tokens.batch).dump(),
    store: container.get(Tokens.store).dump(),
    peers: container.get(Tokens.peerNode).dump(),
    metrics: container.get(Tokens.metrics).dump(),
  };
}

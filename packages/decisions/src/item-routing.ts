/**
 * Decides whether the configuration in force may route an item of an accepted batch job. Load that it answers: jobs on a route that
 * was just added, accepted by an instance that has the new configuration, with a holder that has not. The holder would conclude from
 * its older configuration that the route was removed, or send the item where only the older version allows.
 */

/** The configuration in force at an instance. */
export interface ConfigurationKnowledge {
  readonly version: number;
  /** The store held no newer configuration at this monotonic time; minus infinity when that was never confirmed. */
  readonly confirmedAtMs: number;
}

/** What an instance knows about a job that it holds. */
export interface HeldJob {
  /** Version of the configuration under which the job was accepted; undefined in records of older releases. */
  readonly acceptedVersion: number | undefined;
  /** Monotonic time at which this instance learned of the job, which is later than its acceptance. */
  readonly learnedAtMs: number;
}

/** What to do with an item. */
export const ItemRouting = {
  run: 'run',
  /** It is not known yet how the item is routed. */
  wait: 'wait',
  /** The route was removed after the job was accepted. */
  routeRemoved: 'route_removed',
} as const;
export type ItemRouting = (typeof ItemRouting)[keyof typeof ItemRouting];

/**
 * A configuration is as new as the one under which the job was accepted if its version is not lower, or if the store was seen to hold
 * no newer one after the acceptance. The second also ends the wait when a restored store holds lower versions than before.
 */
function isAsNewAsJob(configuration: ConfigurationKnowledge, job: HeldJob): boolean {
  const hasVersion = job.acceptedVersion !== undefined && configuration.version >= job.acceptedVersion;
  return hasVersion || configuration.confirmedAtMs >= job.learnedAtMs;
}

/** What to do with an item for which the configuration has a route, or none (`hasRoute`). */
export function itemRouting(
  hasRoute: boolean,
  configuration: ConfigurationKnowledge,
  job: HeldJob,
): ItemRouting {
  if (isAsNewAsJob(configuration, job)) return hasRoute ? ItemRouting.run : ItemRouting.routeRemoved;
  // Without a version, nothing shows that a route that is known has changed since.
  return hasRoute && job.acceptedVersion === undefined ? ItemRouting.run : ItemRouting.wait;
}

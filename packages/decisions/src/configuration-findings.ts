/** Finds what is wrong with a routing configuration although it can be read. Answers mistakes before they reach callers. */
import type { Organisation, Route, RoutingConfiguration } from '@fighub/core';
import { RouteKind, isExactHeaderValue } from '@fighub/core';

/** How much a finding matters. The values appear in the output of tools. */
export const FindingSeverity = {
  /** Requests that the configuration means to serve would fail. */
  error: 'error',
  /** Probably not what was meant. */
  warning: 'warning',
} as const;
export type FindingSeverity = (typeof FindingSeverity)[keyof typeof FindingSeverity];

/** The lists of a configuration, whose entries findings refer to. */
export const ConfigurationSection = {
  routes: 'routes',
  services: 'services',
  organisations: 'organisations',
  limits: 'limits',
} as const;
export type ConfigurationSection = (typeof ConfigurationSection)[keyof typeof ConfigurationSection];

/** One finding, and the entry that it is about. */
export interface ConfigurationFinding {
  readonly severity: FindingSeverity;
  readonly section: ConfigurationSection;
  /** Position of the entry in its list; 0 for the limits. */
  readonly index: number;
  /** Name of the entry. */
  readonly name: string;
  readonly message: string;
}

/** What is known of the fleet for which a configuration is meant. */
export interface FleetCapacity {
  /** Services with a replica that takes requests; undefined when not known. */
  readonly servicesWithReplicas?: ReadonlySet<string>;
  /** Slots of all replicas, and the mean duration of an online request there; undefined when not known. */
  readonly slots?: number;
  readonly meanRequestMs?: number;
}

/** Headers that instances can receive, in bytes, whatever the configuration allows. */
const MAX_RECEIVED_HEADER_BYTES = 64 * 1_024;
const MS_PER_S = 1_000;

/** A finding without the entry that it is about. */
type Remark = Pick<ConfigurationFinding, 'severity' | 'message'>;

/** All findings, in the order of the entries. */
export function configurationFindings(
  configuration: RoutingConfiguration,
  fleet: FleetCapacity = {},
): ConfigurationFinding[] {
  const { routes, services, organisations = [] } = configuration;
  return [
    ...routes.flatMap((route, index) =>
      about(ConfigurationSection.routes, index, route.name, [
        ...reachabilityOf(route, routes.slice(0, index)),
        ...backendsOf(route, configuration, fleet),
        ...timesOf(route),
        ...accessOf(route, configuration),
      ]),
    ),
    ...services.flatMap(({ name }, index) =>
      about(ConfigurationSection.services, index, name, usesOf(name, routes)),
    ),
    ...organisations.flatMap((organisation, index) =>
      about(ConfigurationSection.organisations, index, organisation.name, [
        ...nameOf(organisation),
        ...quotasOf(organisation),
      ]),
    ),
    ...about(ConfigurationSection.limits, 0, 'limits', [
      ...limitsOf(configuration),
      ...promisesOf(organisations, fleet),
    ]),
  ];
}

function nameOf({ name }: Organisation): Remark[] {
  return remarkIf(
    !isExactHeaderValue(name),
    error('its requests are refused: replicas get the name in a header, which cannot hold this one'),
  );
}

function about(
  section: ConfigurationSection,
  index: number,
  name: string,
  remarks: readonly Remark[],
): ConfigurationFinding[] {
  return remarks.map((remark) => ({ ...remark, section, index, name }));
}

function error(message: string): Remark {
  return { severity: FindingSeverity.error, message };
}

function warning(message: string): Remark {
  return { severity: FindingSeverity.warning, message };
}

/** Returns the remark in a list if `condition` holds, and an empty list otherwise. */
function remarkIf(condition: boolean, remark: Remark): Remark[] {
  return condition ? [remark] : [];
}

function reachabilityOf({ host, pathPrefix }: Route, earlier: readonly Route[]): Remark[] {
  const shadowing = earlier.find(
    (other) => other.host.toLowerCase() === host.toLowerCase() && other.pathPrefix === pathPrefix,
  );
  return [
    ...remarkIf(
      shadowing !== undefined,
      error(`never matches: route ${shadowing?.name ?? ''} has the same host and prefix`),
    ),
    ...remarkIf(
      !pathPrefix.startsWith('/'),
      error(`never matches: the prefix ${pathPrefix} does not begin with /`),
    ),
    ...remarkIf(!pathPrefix.endsWith('/'), warning(`the prefix ${pathPrefix} also matches longer names`)),
  ];
}

function backendsOf(
  { backends }: Route,
  { services }: RoutingConfiguration,
  { servicesWithReplicas }: FleetCapacity,
): Remark[] {
  const declared = new Set(services.map(({ name }) => name));
  const used = backends.filter(({ weight }) => weight > 0);
  return [
    ...remarkIf(used.length === 0, error('leads to no service')),
    ...remarkIf(
      backends.some(({ weight }) => weight < 0),
      error('has a service of negative weight'),
    ),
    ...used
      .filter(({ service }) => !declared.has(service))
      .map(({ service }) => error(`leads to service ${service}, which is not declared`)),
    ...used
      .filter(({ service }) => servicesWithReplicas !== undefined && !servicesWithReplicas.has(service))
      .map(({ service }) => error(`leads to service ${service}, which has no replicas`)),
  ];
}

function timesOf({ kind, timeoutMs, targetMs, maxAttempts, batch }: Route): Remark[] {
  const isBatch = kind === RouteKind.batch;
  return [
    ...remarkIf(timeoutMs <= 0, error('the timeout is not positive')),
    ...remarkIf(
      !isBatch && timeoutMs < targetMs,
      warning(`the timeout of ${String(timeoutMs)} ms is shorter than the target of ${String(targetMs)} ms`),
    ),
    ...remarkIf(maxAttempts < 1, warning('allows less than one attempt; one is made')),
    ...remarkIf(
      isBatch && (batch?.dueAfterMs ?? 0) <= 0,
      warning('jobs are due as soon as they arrive, so that all results are late'),
    ),
    ...remarkIf(
      isBatch && (batch?.abandonAfterMs ?? 0) < (batch?.dueAfterMs ?? 0),
      error('items are given up before they are due'),
    ),
  ];
}

function accessOf({ anonymous }: Route, { organisations }: RoutingConfiguration): Remark[] {
  return remarkIf(
    anonymous === true && organisations === undefined,
    warning('is anonymous, which has no effect where there are no organisations'),
  );
}

function usesOf(service: string, routes: readonly Route[]): Remark[] {
  const isUsed = routes.some(({ backends }) =>
    backends.some((backend) => backend.service === service && backend.weight > 0),
  );
  return remarkIf(!isUsed, warning('no route leads to it'));
}

function quotasOf({ keyDigests, requestsPerSecond, burstRequests }: Organisation): Remark[] {
  return [
    ...remarkIf(keyDigests.length === 0, warning('has no key, so that it can send nothing')),
    ...remarkIf(
      requestsPerSecond === undefined && burstRequests > 0,
      warning('has a burst but no rate, so that it has no quota'),
    ),
    ...remarkIf(
      requestsPerSecond !== undefined && burstRequests < 1,
      warning('has a quota with a burst of less than one request'),
    ),
  ];
}

function limitsOf({ limits }: RoutingConfiguration): Remark[] {
  return remarkIf(
    limits.maxHeaderBytes > MAX_RECEIVED_HEADER_BYTES,
    warning(
      `headers of ${String(limits.maxHeaderBytes)} bytes are allowed, but instances receive at most ` +
        String(MAX_RECEIVED_HEADER_BYTES),
    ),
  );
}

/** Compares what quotas promise with what the replicas can serve, where both are known. */
function promisesOf(
  organisations: readonly Organisation[],
  { slots, meanRequestMs }: FleetCapacity,
): Remark[] {
  if (slots === undefined || meanRequestMs === undefined || meanRequestMs <= 0) return [];
  const promised = organisations.reduce((sum, { requestsPerSecond = 0 }) => sum + requestsPerSecond, 0);
  const servable = (slots * MS_PER_S) / meanRequestMs;
  return remarkIf(
    promised > servable,
    warning(
      `the quotas add up to ${promised.toFixed(0)} requests a second, the replicas serve about ${servable.toFixed(0)}`,
    ),
  );
}

/** Matches requests to the routes of the configuration. */
import type { Route, RoutingConfiguration } from '@fighub/core';

/** The routes of each host, in order of decreasing length of their path prefixes. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly configuration: RoutingConfiguration) {
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    });
    this.byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  }

  /**
   * The route with the longest prefix of `path`, or undefined when there is none. `host` may be in upper case and
   * may have a port.
   */
  match(host: string, path: string): Route | undefined {
    return this.byHost.get(hostName(host))?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Whether callers without a key may have jobs on a host. */
  hasAnonymousJobs(host: string): boolean {
    const routes = this.byHost.get(hostName(host)) ?? [];
    return routes.some(({ kind, anonymous }) => kind === 'batch' && anonymous === true);
  }
}

function hostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

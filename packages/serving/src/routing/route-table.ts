/** Finds the route of a request. */
import type { Route, RoutingConfiguration } from '@fighub/core';

/** Routes by host, the longest path prefix first. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly configuration: RoutingConfiguration) {
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    });
    this.byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  }

  /** The route of a host and path, or undefined when there is none. */
  match(host: string, path: string): Route | undefined {
    return this.byHost.get(hostName(host))?.find((route) => path.startsWith(route.pathPrefix));
  }
}

function hostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

import type { ReadView } from '../core/blackboard.js';
import type { Organisation, Route, RouteConfiguration } from '../schema/routeConfiguration.js';

/** Weight up to which a service of a route counts. */
const MAX_WEIGHT = 1e300;

interface HostRoutes {
  /** Lengths of the host's prefixes, longest first. */
  lengths: number[];
  byPrefix: Map<string, Route>;
}

/** A configuration indexed for matching requests. */
export interface RouteTable {
  readonly configuration: RouteConfiguration;
  readonly byHost: ReadonlyMap<string, HostRoutes>;
  readonly byName: ReadonlyMap<string, Route>;
  /** Undefined where requests need no keys. */
  readonly organisationByKey: ReadonlyMap<string, Organisation> | undefined;
}

/**
 * Indexes a configuration by host, route and key.
 *
 * @example
 * const table = buildRouteTable(configuration);
 * const route = findRoute(table, 'shop.example', '/orders/17');
 */
export function buildRouteTable(configuration: RouteConfiguration): RouteTable {
  const byHost = new Map<string, HostRoutes>();
  const byName = new Map<string, Route>();
  for (const route of configuration.routes) {
    byName.set(route.name, route);
    const host = route.host.toLowerCase();
    let routes = byHost.get(host);
    if (routes === undefined) byHost.set(host, (routes = { lengths: [], byPrefix: new Map() }));
    routes.byPrefix.set(route.pathPrefix, route);
  }
  for (const routes of byHost.values()) {
    const lengths = new Set([...routes.byPrefix.keys()].map((prefix) => prefix.length));
    routes.lengths = [...lengths].sort((left, right) => right - left);
  }
  return { configuration, byHost, byName, organisationByKey: buildOrganisationIndex(configuration) };
}

function buildOrganisationIndex({ organisations }: RouteConfiguration): Map<string, Organisation> | undefined {
  if (organisations === undefined) return undefined;
  const byKey = new Map<string, Organisation>();
  for (const organisation of organisations) for (const key of organisation.keys) byKey.set(key, organisation);
  return byKey;
}

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
 *
 * @param host The `Host` header as sent.
 * @example
 * const route = findRoute(table, 'shop.example:80', '/orders/17?full=1');
 */
export function findRoute(table: ReadView<RouteTable>, host: string, path: string): ReadView<Route> | undefined {
  const routes = table.byHost.get(host) ?? table.byHost.get(normalizeHost(host));
  if (routes === undefined) return undefined;
  for (const length of routes.lengths) {
    if (length > path.length) continue;
    const route = routes.byPrefix.get(path.slice(0, length));
    if (route !== undefined) return route;
  }
  return undefined;
}

function normalizeHost(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

/**
 * Lists the services to which a route sends requests, with their weights, whose sum is finite.
 *
 * @example
 * listParts(route); // [{ service: 'stock', weight: 1 }]
 */
export function listParts(route: ReadView<Route>): readonly { service: string; weight: number }[] {
  const { service, parts } = route;
  if (parts === undefined || parts === null || parts.length === 0)
    return typeof service === 'string' ? [{ service, weight: 1 }] : [];
  if (parts.every(({ weight }) => weight <= MAX_WEIGHT)) return parts;
  return parts.map((part) => ({ ...part, weight: Math.min(part.weight, MAX_WEIGHT) }));
}

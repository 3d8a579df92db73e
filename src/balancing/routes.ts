import type { ServiceName } from '../core/model/index.js';
import type { Route, RoutingTable, WeightedService } from './model.js';

/**
 * Finds the route of a request: the one of its host with the longest matching path prefix.
 * @param table - The current configuration.
 * @param host - Host header, with or without a port.
 * @param path - Path with its query string.
 * @example
 * findRoute(table, 'door.example', '/horaires/today')?.name;
 */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
  const hostName = host.replace(/:\d+$/, '').toLowerCase();
  const queryStart = path.indexOf('?');
  const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
  let best: Route | undefined;
  for (const route of table.routes) {
    if (route.host.toLowerCase() !== hostName || !pathname.startsWith(route.pathPrefix)) continue;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}

/**
 * Whether requests of a route may run more than once, by the configuration under which they arrived
 * and by the current one.
 * @param table - The current configuration, if any is known.
 * @param route - The route as it was when the request arrived.
 * @example
 * isRepeatable(state.table, pending.route);
 */
export function isRepeatable(table: RoutingTable | undefined, route: Route): boolean {
  if (!route.isIdempotent) return false;
  const current = table?.routes.find(
    ({ host, pathPrefix }) => host === route.host && pathPrefix === route.pathPrefix,
  );
  return current === undefined || current.isIdempotent;
}

/**
 * Picks one of a route's services by weight.
 * @param services - Services of the route; at least one.
 * @param chance - Uniform in [0, 1).
 */
export function pickService(services: readonly WeightedService[], chance: number): ServiceName {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = chance * total;
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services[services.length - 1].service;
}

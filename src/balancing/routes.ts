import type { ServiceName } from '../core/model/index.js';
import type { Route, RoutingTable, WeightedService } from './model.js';

/** What the route of a request is found by, and what it was on arrival. */
export interface RoutedRequest {
  /** Host header. */
  readonly host: string;
  /** Path with its query string. */
  readonly path: string;
  readonly route: Route;
}

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
 * Whether a request may run more than once, by the configuration under which it arrived and by the
 * current one.
 * @param table - The current configuration, if any is known.
 * @param request - Where it is sent, and its route on arrival.
 * @example
 * isRepeatable(state.table, pending);
 */
export function isRepeatable(
  table: RoutingTable | undefined,
  { host, path, route }: RoutedRequest,
): boolean {
  if (!route.isIdempotent) return false;
  const current = table === undefined ? undefined : findRoute(table, host, path);
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

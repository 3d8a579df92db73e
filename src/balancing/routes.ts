import type { ServiceName } from '../core/model/index.js';
import type { Route, RoutingTable, WeightedService } from './model.js';

/**
 * Finds the route of a request: of those of its host the one with the longest prefix of its path.
 * @param table - The configuration in force.
 * @param host - Host header, with or without a port.
 * @param path - Path with its query.
 * @example
 * findRoute(table, 'door.example', '/horaires/today')?.name;
 */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
  const name = host.replace(/:\d+$/, '').toLowerCase();
  const end = path.indexOf('?');
  const bare = end < 0 ? path : path.slice(0, end);
  let best: Route | undefined;
  for (const route of table.routes) {
    if (route.host.toLowerCase() !== name || !bare.startsWith(route.pathPrefix)) continue;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}

/**
 * Picks one of a route's services by weight.
 * @param services - Parts of the route; at least one.
 * @param chance - Uniform in [0, 1).
 */
export function pickService(services: readonly WeightedService[], chance: number): ServiceName {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let left = chance * total;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services[services.length - 1].service;
}

import type { RoutingTable } from '../balancing/index.js';

/** Name of the only service. */
export const SERVICE = 'soak';

/** A route of a soak; its path is its name. */
export interface SoakRoute {
  readonly name: string;
  readonly isIdempotent: boolean;
  readonly services: RoutingTable['routes'][number]['services'];
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Whether its requests need no API key. */
  readonly isAuthExempt?: boolean;
}

/**
 * Creates a route to the only service.
 * @param name - Its name.
 * @param isIdempotent - Whether its requests may run more than once.
 */
export function createSoakRoute(name: string, isIdempotent: boolean): SoakRoute {
  const services = [{ service: SERVICE, weight: 1 }];
  return { name, isIdempotent, services, objectiveMs: 300, timeoutMs: 1_500 };
}

/** Routes of a soak without others. */
export const DEFAULT_ROUTES: readonly SoakRoute[] = [
  createSoakRoute('read', true),
  createSoakRoute('book', false),
];

/** Route whose requests need no API key, in soaks with organisations. */
export const EXEMPT_ROUTE: SoakRoute = { ...createSoakRoute('open', true), isAuthExempt: true };

/**
 * Returns a route as the configuration has it.
 * @param route - The route.
 * @param maxTargets - Maximum number of targets that a request is sent to.
 */
export function toPublishedRoute(
  route: SoakRoute,
  maxTargets: number,
): RoutingTable['routes'][number] {
  const { name } = route;
  return { ...route, host: 'soak.example', pathPrefix: `/${name}/`, priority: 1, maxTargets };
}

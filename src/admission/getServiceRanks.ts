import type { RoutingTable, Route } from '../balancing/model.js';
import type { ServiceName } from '../core/model/index.js';

/** Priorities of the requests of one service. */
export interface ServiceRanks {
  /** Distinct priorities, the most urgent first; a request's rank is the index of its own. */
  readonly priorities: readonly number[];
  /** Routes that send requests to the service. */
  readonly routes: readonly Route[];
  /** Whether requests belong to organisations. */
  readonly hasOrganisations: boolean;
}

const ranksByTable = new WeakMap<RoutingTable, ReadonlyMap<ServiceName, ServiceRanks>>();

function computeRanks({
  routes,
  organisations = [],
}: RoutingTable): Map<ServiceName, ServiceRanks> {
  const routesByService = new Map<ServiceName, Route[]>();
  for (const route of routes) {
    for (const { service } of route.services) {
      routesByService.set(service, [...(routesByService.get(service) ?? []), route]);
    }
  }
  const ofOrganisations = organisations.flatMap(({ priority }) => priority ?? []);
  const ranks = new Map<ServiceName, ServiceRanks>();
  for (const [service, served] of routesByService) {
    const all = new Set([...served.map(({ priority }) => priority), ...ofOrganisations]);
    const priorities = [...all].sort((a, b) => a - b);
    const hasOrganisations = organisations.length > 0;
    if (priorities.length > 1 || hasOrganisations) {
      ranks.set(service, { priorities, routes: served, hasOrganisations });
    }
  }
  return ranks;
}

/**
 * Returns the priorities of a service's requests, or undefined if the configuration makes no
 * difference between them: no organisations, and one priority for all routes of the service.
 * Computed once for each table.
 * @param table - The configuration.
 * @param service - The service.
 */
export function getServiceRanks(
  table: RoutingTable | undefined,
  service: ServiceName,
): ServiceRanks | undefined {
  if (table === undefined) return undefined;
  let ranks = ranksByTable.get(table);
  if (ranks === undefined) {
    ranks = computeRanks(table);
    ranksByTable.set(table, ranks);
  }
  return ranks.get(service);
}

/**
 * Returns the rank of a priority among those of its service; 0 is the most urgent.
 * @param ranks - Priorities of the service.
 * @param priority - Priority of the request.
 */
export function getRank({ priorities }: ServiceRanks, priority: number): number {
  const rank = priorities.findIndex((each) => priority <= each);
  return rank < 0 ? priorities.length - 1 : rank;
}

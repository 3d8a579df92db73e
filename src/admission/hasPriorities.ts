import type { RoutingTable } from '../balancing/model.js';
import type { ServiceName } from '../core/model/index.js';

const servicesByTable = new WeakMap<RoutingTable, ReadonlySet<ServiceName>>();

/** Returns the services whose requests the configuration makes differences between. */
function findServices({ routes, organisations = [] }: RoutingTable): ReadonlySet<ServiceName> {
  const prioritiesByService = new Map<ServiceName, Set<number>>();
  for (const { services, priority } of routes) {
    for (const { service } of services) {
      const priorities = prioritiesByService.get(service) ?? new Set();
      prioritiesByService.set(service, priorities.add(priority));
    }
  }
  const differing = [...prioritiesByService].filter(
    ([, priorities]) => priorities.size > 1 || organisations.length > 0,
  );
  return new Set(differing.map(([service]) => service));
}

/**
 * Whether requests of a service differ in priority, or belong to organisations. Computed once for
 * each table.
 * @param table - The configuration.
 * @param service - The service.
 * @example
 * if (hasPriorities(state.table, 'horaires')) orderByPriority();
 */
export function hasPriorities(table: RoutingTable | undefined, service: ServiceName): boolean {
  if (table === undefined) return false;
  let services = servicesByTable.get(table);
  if (services === undefined) {
    services = findServices(table);
    servicesByTable.set(table, services);
  }
  return services.has(service);
}

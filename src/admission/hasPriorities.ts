import type { RoutingTable } from '../balancing/model.js';

/**
 * Whether requests are served by their priority. Where there are no organisations they are not, although
 * routes may differ in priority: routes that carry little but tests often have the highest one.
 * @param table - The configuration.
 * @example
 * if (hasPriorities(state.table)) orderByPriority();
 */
export function hasPriorities(table: RoutingTable | undefined): boolean {
  return (table?.organisations ?? []).length > 0;
}

/** Priorities of routes count up to this number, so that those of organisations go before them. */
const PRIORITY_RANGE = 1_000;

/**
 * Returns a number by which requests are ordered: by the priority of the organisation, then by that of
 * the route, which alone counts where there is no organisation with a priority. Less is more urgent.
 * @param organisation - Priority of the caller's organisation; undefined if it has none.
 * @param route - Priority of the request's route.
 * @example
 * combinePriorities(1, 2) < combinePriorities(2, 0); // true
 */
export function combinePriorities(organisation: number | undefined, route: number): number {
  return (organisation ?? route) * PRIORITY_RANGE + Math.min(route, PRIORITY_RANGE - 1);
}

import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { RequestArrived } from './events.js';
import { findRoute } from './routes.js';

/**
 * How long after its start a process holds requests, in milliseconds. By then it knows
 * configuration and targets if the store or another entry VM answers at all.
 */
const MAX_STARTUP_MS = 500;

/**
 * Minimum number of known targets per service while the list is incomplete, so that VMs which start
 * together do not overload the first few targets.
 */
const MIN_TARGETS_WHILE_READING = 8;

/** What a route is found by. */
type RequestLine = Pick<RequestArrived, 'host' | 'path'>;

/** Whether enough targets have been read to place a request. */
function hasEnoughTargets(state: BalancerState, { host, path }: RequestLine): boolean {
  const { table, targets, targetsByService, isTargetListPartial } = state;
  if (table === undefined || targets.size === 0) return false;
  if (!isTargetListPartial) return true;
  const services = findRoute(table, host, path)?.services ?? [];
  return services.every(
    ({ service }) => (targetsByService.get(service)?.length ?? 0) >= MIN_TARGETS_WHILE_READING,
  );
}

/**
 * Whether a request is held until this process knows configuration and targets.
 *
 * After a power loss all entry VMs restart at once, and no other VM can serve the callers. Each VM
 * accepts callers some 200 ms before it has read what it needs. If it refused them, they would
 * retry only after their objective has passed. A process that knows nothing after `MAX_STARTUP_MS`
 * can most likely reach neither store nor peers, and refuses requests at once.
 * @param state - State of this entry VM.
 * @param event - The request.
 * @param now - Monotonic milliseconds.
 */
export function shouldHold(state: BalancerState, event: RequestLine, now: number): boolean {
  if (now >= state.startedAt + MAX_STARTUP_MS) return false;
  const { versions } = state;
  return !hasEnoughTargets(state, event) || (versions.isEnabled && !versions.hasReadOrders);
}

/**
 * Holds a request until configuration and targets are known, or `MAX_STARTUP_MS` has passed.
 * @param state - State of this entry VM.
 * @param event - The request.
 */
export function holdRequest(state: BalancerState, event: RequestArrived): BalancerEffect[] {
  const { request, callerRequestId: id, host, path } = event;
  state.heldRequests.set(request, event);
  const fields = { id, host, path, configuration: state.table?.version };
  return [
    { kind: 'wake', request, at: state.startedAt + MAX_STARTUP_MS },
    { kind: 'log', event: 'request.kept', fields },
  ];
}

/**
 * Removes and returns the requests that need not be held any longer, in order of arrival.
 * @param state - State of this entry VM.
 * @param context - Clock and random source.
 */
export function releaseHeldRequests(
  state: BalancerState,
  { now }: BalancerContext,
): RequestArrived[] {
  const ready = [...state.heldRequests.values()].filter((event) => !shouldHold(state, event, now));
  for (const { request } of ready) state.heldRequests.delete(request);
  return ready;
}

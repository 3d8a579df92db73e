import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { RequestArrived } from './events.js';
import { findRoute } from './routes.js';

/**
 * A process that has started knows configuration and targets by then, if the store or another entry
 * VM answers at all; in milliseconds after its start.
 */
const START_MS = 500;

/**
 * While some targets are not read yet, a service is served by as many of them, so that VMs which start
 * together don't bury the first few.
 */
const ENOUGH_TARGETS = 8;

/** Whether the targets that were read so far are enough for a request. */
function hasTargets(state: BalancerState, { host, path }: RequestArrived): boolean {
  const { table, targets, byService, isPartial } = state;
  if (table === undefined || targets.size === 0) return false;
  if (!isPartial) return true;
  const services = findRoute(table, host, path)?.services ?? [];
  return services.every(({ service }) => (byService.get(service)?.length ?? 0) >= ENOUGH_TARGETS);
}

/**
 * Whether a request waits until this process knows configuration and targets.
 *
 * This answers to all entry VMs coming back at once, after a loss of power. Each accepts callers
 * before it has read what it needs, a matter of some 200 ms, and there is no other VM to go to.
 * Refused, callers come back when their objective is over. A process that knows nothing after
 * `START_MS` most likely can't be told anything now, and refuses at once.
 * @param state - What is known.
 * @param event - The request.
 * @param now - Monotonic milliseconds.
 */
export function isStarting(state: BalancerState, event: RequestArrived, now: number): boolean {
  if (now >= state.startedAt + START_MS) return false;
  const { versions } = state;
  return !hasTargets(state, event) || (versions.isUsed && !versions.isKnown);
}

/**
 * Keeps a request until configuration and targets are known, or the start has taken too long.
 * @param state - What is known.
 * @param event - The request.
 */
export function keepEarly(state: BalancerState, event: RequestArrived): BalancerEffect[] {
  const { request, callerRequestId: id, host, path } = event;
  state.early.set(request, event);
  const fields = { id, host, path, configuration: state.table?.version };
  return [
    { kind: 'wake', request, at: state.startedAt + START_MS },
    { kind: 'log', event: 'request.kept', fields },
  ];
}

/**
 * Takes out the requests that need not wait any longer, in the order in which they came.
 * @param state - What is known.
 * @param context - Time and chance.
 */
export function takeEarly(state: BalancerState, { now }: BalancerContext): RequestArrived[] {
  const events = [...state.early.values()].filter((event) => !isStarting(state, event, now));
  for (const { request } of events) state.early.delete(request);
  return events;
}

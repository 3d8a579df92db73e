import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { RequestArrived } from './events.js';

/**
 * A process that has started knows configuration and targets by then, if the store or another entry
 * VM answers at all; in milliseconds after its start.
 */
const START_MS = 500;

function knowsTargets({ table, targets, versions }: BalancerState): boolean {
  const knowsVersions = !versions.isUsed || versions.isKnown;
  return table !== undefined && targets.size > 0 && knowsVersions;
}

/**
 * Whether a request waits until this process knows configuration and targets.
 *
 * This answers to all entry VMs coming back at once, after a loss of power. Each accepts callers
 * before it has read what it needs, a matter of some 200 ms, and there is no other VM to go to.
 * Refused, callers come back when their objective is over. A process that knows nothing after
 * `START_MS` most likely can't be told anything now, and refuses at once.
 * @param state - What is known.
 * @param now - Monotonic milliseconds.
 */
export function isStarting(state: BalancerState, now: number): boolean {
  return now < state.startedAt + START_MS && !knowsTargets(state);
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
 * Takes out the requests that waited for the start, in the order in which they came.
 * @param state - What is known.
 * @param context - Time and chance.
 * @returns None while the process is still starting.
 */
export function takeEarly(state: BalancerState, { now }: BalancerContext): RequestArrived[] {
  if (state.early.size === 0 || isStarting(state, now)) return [];
  const events = [...state.early.values()];
  state.early.clear();
  return events;
}

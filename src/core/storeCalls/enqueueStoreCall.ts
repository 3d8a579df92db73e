import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { resolveCall, sendWaitingCalls } from './sendWaitingCalls.js';
import { CLASS_LIMITS } from './storeClasses.js';
import type { StoreCall } from './StoreCallsState.js';

/**
 * Queues a store call. Its result is raised as a `storeResolved` event with the same purpose and
 * tag. A call that can't be sent, because the budget is used up or the store is down, resolves to
 * `unavailable` after the waiting limit of its class. It does so at once if the queue is full, or
 * if the class fails fast and is backing off.
 * @param state - The process's state.
 * @param call - The operation, its purpose and tag, and the class that sets its urgency.
 * @param context - Current time and random source.
 * @example
 * enqueueStoreCall(state, {
 *   storeClass: 'configuration', purpose: 'rootRead', tag: '', op: { op: 'get', key: 'config/root' },
 * }, context);
 */
export function enqueueStoreCall(state: EntryState, call: StoreCall, context: Context): Effect[] {
  const queue = state.storeCalls.queues[call.storeClass];
  const limits = CLASS_LIMITS[call.storeClass];
  const isFailingFast = limits.failsFast && queue.failures > 0 && context.now < queue.backoffUntil;
  if (isFailingFast || queue.waiting.length >= limits.maxWaiting) {
    return [resolveCall(call, { kind: 'unavailable' }, context.now)];
  }
  queue.waiting.push({ call, queuedAt: context.now });
  return sendWaitingCalls(state, context);
}

import type { EntryState } from '../EntryState.js';
import type { StoreClass } from '../model/index.js';

/**
 * Returns the share of the fleet's store budget that this process may use, between 0 and 1.
 *
 * Half of the budget is divided by the largest allowed number of entry VMs; every process is
 * guaranteed that share. The other half is divided among the members that hold a lease. Dividing it
 * by the number of members that a process knows of would not be safe: while a fleet grows, some
 * members still divide by the smaller number, the fleet exceeds its budget, and the store throttles
 * calls whenever VMs are replaced. So a member uses the second half only if it belongs to the
 * current epoch and to every earlier unsettled one, and divides by the size of the largest of them.
 * All members that use the second half then belong to the oldest unsettled epoch, and none divides
 * by less than the size of that epoch.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 * @example
 * const writesPerSecond = getStoreBudgetShare(state, now) * settings.storeWritesPerSecond;
 */
export function getStoreBudgetShare(state: EntryState, now: number): number {
  const guaranteedShare = 1 / (2 * state.settings.maxEntryVms);
  const { assignment, leaseEnd } = state.fleet;
  if (now >= leaseEnd) return guaranteedShare;
  const self = state.settings.self.id;
  let largest = 0;
  for (const epoch of [assignment, ...assignment.earlier]) {
    if (!epoch.members.some((member) => member.id === self)) return guaranteedShare;
    largest = Math.max(largest, epoch.members.length);
  }
  return guaranteedShare + 1 / (2 * largest);
}

/** Consecutive failures after which the store counts as down for a class of calls. */
const DOWN_AFTER_FAILURES = 3;

/**
 * Whether calls of a class have failed repeatedly and are backing off, so that waiting for the
 * store is pointless. Once a backoff pause is over the store counts as up until the next failure,
 * since only another call can show whether it has recovered.
 * @param state - The process's state.
 * @param storeClass - The class of calls.
 * @param now - Monotonic milliseconds.
 */
export function isStoreDown(state: EntryState, storeClass: StoreClass, now: number): boolean {
  const { failures, backoffUntil } = state.storeCalls.queues[storeClass];
  return failures >= DOWN_AFTER_FAILURES && now < backoffUntil;
}

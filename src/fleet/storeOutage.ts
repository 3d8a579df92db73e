/**
 * The store counts as having been down if its confirmations are further apart than this and a call
 * of this VM has failed in between, in milliseconds.
 */
const STORE_OUTAGE_MS = 1_500;

/**
 * Without a failed call, it counts as down only if confirmations are this far apart, in
 * milliseconds. A VM that has lost its source hears nothing for up to two seconds although the
 * store is up, and targets miss several heartbeats before their entries expire.
 */
const UNSEEN_OUTAGE_MS = 3_000;

/**
 * Whether the store was down between two confirmations.
 * @param previous - Time of the earlier one; monotonic milliseconds.
 * @param at - Time of the later one.
 * @param failedAt - When a call of this VM last failed.
 * @example
 * isStoreOutage(1_000, 3_000, 2_000); // true
 */
export function isStoreOutage(previous: number, at: number, failedAt: number): boolean {
  return at - previous > (failedAt > previous ? STORE_OUTAGE_MS : UNSEEN_OUTAGE_MS);
}

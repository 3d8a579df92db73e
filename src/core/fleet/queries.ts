import type { EntryState } from '../EntryState.js';
import type { PartitionId } from '../model/index.js';
import { STOP_GRACE_MS } from './periods.js';

/**
 * Time at which this process must stop sending unless its lease is renewed; monotonic milliseconds.
 * @param state - The process's state.
 */
export function getLeaseEnd(state: EntryState): number {
  return state.fleet.leaseEnd;
}

/**
 * Whether this process may send to the targets of a partition now.
 * @param state - The process's state.
 * @param partition - The partition.
 * @param now - Monotonic milliseconds, read just before sending.
 */
export function canDrive(state: EntryState, partition: PartitionId, now: number): boolean {
  const { granted, leaseEnd } = state.fleet;
  return state.guards.leaseCheckBeforeSend(now, leaseEnd) && granted.has(partition);
}

/**
 * Whether the current configuration was recently confirmed to be the latest.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function isConfigurationFresh(state: EntryState, now: number): boolean {
  const { confirmedAt } = state.configuration;
  return state.guards.freshBeforeWork(now, confirmedAt, state.settings.freshnessMs);
}

/**
 * Whether a planned stop has reached its last phase: the address answers that name this process
 * have expired, and it takes no new requests.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function isClosing(state: EntryState, now: number): boolean {
  const { stopping, stopRequestedAt } = state.fleet;
  return stopping && now >= stopRequestedAt + state.settings.addressTtlMs + STOP_GRACE_MS;
}

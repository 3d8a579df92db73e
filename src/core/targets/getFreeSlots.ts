import type { EntryState } from '../EntryState.js';
import { canDrive } from '../fleet/index.js';
import type { LocalTarget } from './TargetsState.js';

/**
 * Whether a target gets no new requests now, however many slots are free: it is draining, removed,
 * slow, in a backoff, paused or used by an attempt that runs alone, or its partition may not be sent to.
 * @param state - The process's state.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function isUnavailable(state: EntryState, record: LocalTarget, now: number): boolean {
  if (record.hold !== undefined || record.slow) return true;
  if (now < Math.max(record.avoidUntil, record.pausedUntil) || record.alone !== undefined) {
    return true;
  }
  return !canDrive(state, record.partition, now);
}

/** Whether one more request would open more connections than the target may have now. */
function isConnectionLimited(record: LocalTarget): boolean {
  const { connections, outstanding, phase, service } = record;
  if (!record.connectionsKnown || outstanding.size < connections) return false;
  if (connections >= service.capacity.maxConnections) return true;
  // A target in cold start gets one new connection at a time, since each costs it work.
  return phase !== 'warm' && outstanding.size > connections;
}

/**
 * Number of requests that could be sent to a target now. It is exact: only the holder of a target
 * sends to it, and requests that the previous holder still has outstanding there are subtracted.
 * @param state - The process's state.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function getFreeSlots(state: EntryState, record: LocalTarget, now: number): number {
  const inherited = now < record.inheritedUntil ? record.inherited : 0;
  const limit = state.guards.coldLimit(record.phase, record.limit);
  const taken = record.outstanding.size + inherited + (record.probing ? 1 : 0);
  if (taken >= limit || isUnavailable(state, record, now) || isConnectionLimited(record)) return 0;
  return limit - taken;
}

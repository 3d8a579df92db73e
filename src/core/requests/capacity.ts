import { getTargetsOf } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import type { ServiceName } from '../model/index.js';
import { getFreeSlots, getMeanLatency, isUnavailable } from '../targets/index.js';
import { getTraffic } from './ServiceTraffic.js';

/** Capacity of the targets of a service that this process holds. */
export interface LocalCapacity {
  /** Requests that could be sent now. */
  readonly free: number;
  /** Sum of the limits of the available targets. */
  readonly limit: number;
  /** Requests whose answers have begun; their slots will be free shortly. */
  readonly answering: number;
}

/**
 * Adds up the capacity of the targets of a service that this process holds and may send to now.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param now - Monotonic milliseconds.
 */
export function getLocalCapacity(
  state: EntryState,
  service: ServiceName,
  now: number,
): LocalCapacity {
  let free = 0;
  let limit = 0;
  let answering = 0;
  for (const record of state.targets.byService.get(service) ?? []) {
    if (isUnavailable(state, record, now)) continue;
    free += getFreeSlots(state, record, now);
    limit += record.limit;
    for (const attempt of record.outstanding.values()) if (attempt.answered) answering += 1;
  }
  return { free, limit, answering };
}

/**
 * Estimates how long a request queued now would wait, in milliseconds; infinite if no target is
 * available.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param now - Monotonic milliseconds.
 */
export function getExpectedWaitMs(state: EntryState, service: ServiceName, now: number): number {
  const { limit } = getLocalCapacity(state, service, now);
  if (limit === 0) return Number.POSITIVE_INFINITY;
  return ((getTraffic(state, service).queue.length + 1) * getMeanLatency(state, service)) / limit;
}

/**
 * Retry delay if the wait can't be estimated, in milliseconds. Half of it is the lower bound for an
 * estimated wait. Both are spread afterwards.
 */
const DEFAULT_RETRY_AFTER_MS = 200;
/** Longest retry delay, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

/**
 * After how many milliseconds a refused caller may retry: about when the present queue has been
 * served, spread randomly so that refused callers don't all retry at once.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param now - Monotonic milliseconds.
 * @param random - Uniform in [0, 1).
 */
export function getRetryAfterMs(
  state: EntryState,
  service: ServiceName,
  now: number,
  random: number,
): number {
  const expectedWaitMs = getExpectedWaitMs(state, service, now);
  const baseMs = Number.isFinite(expectedWaitMs) ? expectedWaitMs : DEFAULT_RETRY_AFTER_MS;
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(DEFAULT_RETRY_AFTER_MS / 2, baseMs) * (0.5 + random),
  );
}

/**
 * How many requests of one service may be open in this process: its queue length plus twice the
 * slots of its targets. The bound keeps one service from using up the entry VM's memory and
 * connections.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param slots - Slots of one target.
 * @param queueLength - Requests that may wait in the queue.
 */
export function getMaxOpenRequests(
  state: EntryState,
  service: ServiceName,
  slots: number,
  queueLength: number,
): number {
  return queueLength + 2 * slots * getTargetsOf(state, service).length;
}

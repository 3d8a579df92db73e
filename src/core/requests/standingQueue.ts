import type { ServiceConfig } from '../model/index.js';
import type { QueueEntry } from './ServiceQueue.js';
import type { ServiceTraffic } from './ServiceTraffic.js';

/** Shortest time above the allowed wait that makes a queue a standing one, in milliseconds. */
const INTERVAL_MS = 100;

/**
 * Finds the requests that a standing queue is to shed.
 *
 * A queue that never empties delays every request without serving more of them: all answers are
 * late, many after their callers have left. As in CoDel, the time spent in the queue decides, not
 * its length, so a burst that drains is not shed.
 * @param traffic - The service's requests.
 * @param service - The service.
 * @param now - Monotonic milliseconds.
 * @returns The requests to reject; empty unless the queue is standing.
 */
export function findRequestsToShed(
  traffic: ServiceTraffic,
  service: ServiceConfig,
  now: number,
): QueueEntry[] {
  const { standingMs } = service.queue;
  const oldest = traffic.queue.getOldestEnqueuedAt();
  const oldestWaitMs = oldest === undefined ? 0 : now - oldest;
  if (oldestWaitMs <= standingMs) {
    traffic.belowTargetAt = now;
    if (oldestWaitMs <= standingMs / 2) traffic.isStanding = false;
    return [];
  }
  if (now - traffic.belowTargetAt > Math.max(INTERVAL_MS, standingMs)) traffic.isStanding = true;
  if (!traffic.isStanding) return [];
  return [...traffic.queue].filter((entry) => now - entry.enqueuedAt > standingMs);
}
